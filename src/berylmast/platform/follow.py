"""Keeps a reader up to date: list, then watch, and again after every failure."""

from collections.abc import Callable
from contextlib import aclosing
from random import Random
from typing import Any

import anyio

from .objects import (
    Listing,
    Platform,
    PlatformUnavailable,
    VersionTooOld,
    WatchEvent,
)

SILENCE_LIMIT_S = 3.0
"""Three bookmark intervals; a watch silent for longer is established again."""

FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0
"""Bounds the time from the end of an outage to the next list; 9 s are allowed."""

_FAILURES = (PlatformUnavailable, VersionTooOld, TimeoutError)


async def follow_objects(
    platform: Platform,
    kind: str,
    *,
    name: str | None = None,
    on_list: Callable[[Listing], None],
    on_event: Callable[[WatchEvent], None],
    on_lost: Callable[[], None] = lambda: None,
    rng: Random,
) -> None:
    """Report every state of the objects of a kind until cancelled.

    A dropped or silent watch resumes at the last version seen; only a failed resume
    lists again, so that a short fault costs one call. ``on_lost`` is called when a
    watch has failed, before the next attempt.
    """
    version: int | None = None
    backoff_s = FIRST_BACKOFF_S
    while True:
        progress = False

        def take(event: WatchEvent) -> None:
            nonlocal version, progress
            version = event.version
            progress = True
            on_event(event)

        try:
            if version is None:
                listing = await platform.list(kind, name)
                version = listing.version
                on_list(listing)
            await _watch(platform, kind, version, name, take)
        except _FAILURES as exc:
            on_lost()
            if isinstance(exc, VersionTooOld) or not progress:
                version = None
        if progress:
            backoff_s = FIRST_BACKOFF_S
        await anyio.sleep(backoff_s * rng.uniform(0.5, 1.0))
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)


async def _watch(
    platform: Platform,
    kind: str,
    version: int,
    name: str | None,
    take: Callable[[WatchEvent], None],
) -> None:
    events: Any = platform.watch(kind, version, name)
    async with aclosing(events):
        while True:
            with anyio.fail_after(SILENCE_LIMIT_S):
                try:
                    event = await anext(events)
                except StopAsyncIteration:
                    return
            take(event)

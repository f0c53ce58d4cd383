"""Follows the platform's objects that a registrar needs."""

from collections.abc import Callable
from functools import partial
from random import Random

import anyio

from ..operators.revisions import DOCUMENT_KIND
from ..platform import (
    EventType,
    Listing,
    Platform,
    PlatformObject,
    WatchEvent,
    follow_objects,
)
from .shard import ENDPOINT_KIND

Take = Callable[[PlatformObject], None]


async def follow_store(
    platform: Platform,
    environment: str,
    rng: Random,
    *,
    on_document: Callable[[str, int], None],
    on_shard: Take,
) -> None:
    """Report documents and endpoint objects until cancelled."""

    def take_document(item: PlatformObject) -> None:
        text, version = item.spec.get("text"), item.spec.get("version")
        if isinstance(text, str) and isinstance(version, int):
            on_document(text, version)

    follow = partial(follow_objects, platform, rng=rng)
    documents = partial(
        follow, DOCUMENT_KIND, name=environment, **_make_handlers(take_document)
    )
    shards = partial(follow, ENDPOINT_KIND, **_make_handlers(on_shard))
    async with anyio.create_task_group() as tg:
        for feed in (documents, shards):
            tg.start_soon(feed)


def _make_handlers(take: Take) -> dict[str, Callable[..., None]]:
    """Return handlers that report every object stored; deletions change nothing."""

    def take_listing(listing: Listing) -> None:
        for item in listing.items:
            take(item)

    def take_event(event: WatchEvent) -> None:
        if event.object is not None and event.type is not EventType.DELETED:
            take(event.object)

    return {"on_list": take_listing, "on_event": take_event}

"""Repeats failed calls to the store and tracks whether the store is reachable."""

from collections.abc import Awaitable, Callable
from random import Random

import anyio

from ..platform.objects import PlatformUnavailable
from ..telemetry import log_event

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.5
"""Limits the delay until calls resume after a store outage to less than two seconds."""


class StoreStatus:
    """Tracks whether the store is reachable; logs each change.

    ``up`` is None before the first call.
    """

    def __init__(self) -> None:
        self.up: bool | None = None

    def update(self, up: bool, reason: str = "") -> None:
        """Record whether a call reached the store."""
        if up == self.up:
            return
        self.up = up
        log_event("store_regained" if up else "store_lost", reason=reason)


class Backoff:
    """Delays the repetition of failed calls, for longer after each further failure."""

    def __init__(self, store_status: StoreStatus, rng: Random) -> None:
        self._store_status = store_status
        self._rng = rng
        self._delay_s = INITIAL_BACKOFF_S

    def reset(self) -> None:
        """Record a call that reached the store."""
        self._store_status.update(True)
        self._delay_s = INITIAL_BACKOFF_S

    async def wait(self, exc: PlatformUnavailable) -> None:
        """Record a failed call and sleep for a random part of the delay."""
        self._store_status.update(False, str(exc))
        await anyio.sleep(self._delay_s * self._rng.uniform(0.5, 1.0))
        self._delay_s = min(2 * self._delay_s, MAX_BACKOFF_S)

    async def retry(self, call: Callable[[], Awaitable[None]]) -> None:
        """Repeat a call until it succeeds."""
        while True:
            try:
                await call()
            except PlatformUnavailable as exc:
                await self.wait(exc)
                continue
            self.reset()
            return

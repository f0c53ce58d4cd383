"""Tracks the era of the store, which rises when it comes back from a copy of its data.

Fault: the store loses what was written since the copy and gives the same revisions out
again. A revision of an older era says nothing in a newer one.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from ..telemetry import log_event
from .objects import PlatformUnavailable, RevisionExpired

_Result = TypeVar("_Result")


class StoreEra:
    """The latest era that a response of the store has named, 0 before the first."""

    def __init__(self) -> None:
        self.current = 0
        self._risen = anyio.Event()
        self._listeners: list[Callable[[int], None]] = []

    def add_listener(self, listener: Callable[[int], None]) -> None:
        """Call ``listener`` with each later era, before the response is used."""
        self._listeners.append(listener)

    def observe(self, era: int) -> bool:
        """Record the era of a response; return False if the response is too old to use.

        A response that names no era is usable. The first era that is named is the one
        in which this process has begun, so it is no rise.
        """
        if era == 0:
            return True
        if era < self.current:
            return False
        if era > self.current:
            last, self.current = self.current, era
            if last:
                log_event("store_era", era=era, last=last)
                self._risen.set()
                self._risen = anyio.Event()
                for listener in self._listeners:
                    listener(era)
        return True

    async def run_in_era(self, call: Callable[[], Awaitable[_Result]]) -> _Result:
        """Run a call that waits for changes after a revision of the present era.

        Raises RevisionExpired if the era rises meanwhile: the store would count the
        revision among its new ones, and changes before it would be missed. A response
        of the call itself is returned.
        """
        if not self.current:
            return await call()
        risen = self._risen
        results: list[_Result] = []
        errors: list[Exception] = []
        async with anyio.create_task_group() as tg:

            async def end_at_rise() -> None:
                await risen.wait()
                tg.cancel_scope.cancel()

            tg.start_soon(end_at_rise)
            try:
                results.append(await call())
            except (PlatformUnavailable, RevisionExpired) as exc:
                errors.append(exc)
            tg.cancel_scope.cancel()
        if errors:
            raise errors[0]
        if not results:
            raise RevisionExpired("the store has come back from a copy of its data")
        return results[0]


def check_era(era: StoreEra, named: int) -> None:
    """Record the era of a response; raise PlatformUnavailable if it is too old."""
    if not era.observe(named):
        raise PlatformUnavailable(f"response of era {named} after {era.current}")

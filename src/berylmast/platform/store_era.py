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
        self._waiting: set[anyio.CancelScope] = set()
        self._listeners: list[Callable[[int], None]] = []

    def add_listener(self, listener: Callable[[int], None]) -> None:
        """Call ``listener`` with each later era, before the response is used."""
        self._listeners.append(listener)

    def observe(self, era: int) -> bool:
        """Record the era of a response; return False if the response is too old to use.

        A response without an era (0) is usable. The first era seen is not a rise.
        """
        if era == 0:
            return True
        if era < self.current:
            return False
        if era > self.current:
            last, self.current = self.current, era
            if last:
                log_event("store_era", era=era, last=last)
                for scope in self._waiting:
                    scope.cancel()
                for listener in self._listeners:
                    listener(era)
        return True

    async def run_in_era(self, call: Callable[[], Awaitable[_Result]]) -> _Result:
        """Run a call that waits for changes after a revision of the present era.

        Raises RevisionExpired if the era rises meanwhile: the store would take the
        revision for one of the new era, and changes before it would be missed.
        If the call has completed by then, its response is returned.
        """
        with anyio.CancelScope() as scope:
            self._waiting.add(scope)
            try:
                return await call()
            finally:
                self._waiting.discard(scope)
        raise RevisionExpired("the store has come back from a copy of its data")


def check_era(era: StoreEra, named: int) -> None:
    """Record the era of a response; raise PlatformUnavailable if it is too old."""
    if not era.observe(named):
        raise PlatformUnavailable(f"response of era {named} after {era.current}")

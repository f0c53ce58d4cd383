"""Tracks whether this instance accepts new requests, and waits for running ones."""

from collections.abc import Callable
from enum import StrEnum

import anyio

from .telemetry import log_event


class LeaveReason(StrEnum):
    """Why an instance accepts no new requests; several reasons may apply at once."""

    SIGNAL = "signal"
    OPERATOR = "operator"
    HEALTH = "health"


class Lifecycle:
    """Holds the reasons for accepting no new requests and notifies listeners.

    The instance is ready while there is no reason. Listeners are called with True when
    it starts leaving and with False when it is ready again.
    """

    def __init__(self, *reasons: LeaveReason) -> None:
        self._reasons = set(reasons)
        self._listeners: list[Callable[[bool], None]] = []
        self._stop_listeners: list[Callable[[], None]] = []

    @property
    def leaving(self) -> bool:
        """Return whether the instance accepts no new requests."""
        return bool(self._reasons)

    @property
    def reasons(self) -> list[str]:
        """Return the current reasons, sorted."""
        return sorted(self._reasons)

    @property
    def stopping(self) -> bool:
        """Return whether the process is shutting down."""
        return LeaveReason.SIGNAL in self._reasons

    def add_listener(self, listener: Callable[[bool], None]) -> None:
        """Register a function to call on each change between ready and leaving."""
        self._listeners.append(listener)

    def add_stop_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call once when the process starts to shut down."""
        self._stop_listeners.append(listener)

    def add(self, reason: LeaveReason) -> None:
        """Add a reason for accepting no new requests."""
        was_stopping = self.stopping
        self._update(lambda: self._reasons.add(reason))
        if self.stopping and not was_stopping:
            for listener in self._stop_listeners:
                listener()

    def remove(self, reason: LeaveReason) -> None:
        """Remove one reason; the others still apply."""
        self._update(lambda: self._reasons.discard(reason))

    def _update(self, update: Callable[[], None]) -> None:
        was_leaving = self.leaving
        update()
        if self.leaving == was_leaving:
            return
        reasons = ",".join(self.reasons)
        log_event("leaving" if self.leaving else "ready", reasons=reasons)
        for listener in self._listeners:
            listener(self.leaving)


async def wait_until_idle(
    count_requests: Callable[[], int], *, timeout_s: float, poll_s: float = 0.05
) -> bool:
    """Wait until no request is in progress; return False if the timeout is reached."""
    with anyio.move_on_after(timeout_s):
        while count_requests():
            await anyio.sleep(poll_s)
        return True
    return False

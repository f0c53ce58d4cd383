"""Whether this instance takes new work, and its orderly way out."""

from collections.abc import Callable
from enum import StrEnum

import anyio

from .telemetry import log_event


class LeaveReason(StrEnum):
    """Why an instance takes no new work; several may hold at once."""

    SIGNAL = "signal"
    OPERATOR = "operator"
    HEALTH = "health"


class Lifecycle:
    """Holds the reasons for taking no new work and tells listeners of each change.

    The instance is ready while there is no reason. Listeners are called with True when
    it starts to leave and with False when it is ready again.
    """

    def __init__(self, *reasons: LeaveReason) -> None:
        self._reasons = set(reasons)
        self._listeners: list[Callable[[bool], None]] = []
        self._stop_listeners: list[Callable[[], None]] = []

    @property
    def leaving(self) -> bool:
        """Tell whether the instance takes no new work."""
        return bool(self._reasons)

    @property
    def reasons(self) -> list[str]:
        """Return the reasons in force, sorted."""
        return sorted(self._reasons)

    @property
    def stopping(self) -> bool:
        """Tell whether the process is on its way out."""
        return LeaveReason.SIGNAL in self._reasons

    def add_listener(self, listener: Callable[[bool], None]) -> None:
        """Call a function at each change between ready and leaving."""
        self._listeners.append(listener)

    def add_stop_listener(self, listener: Callable[[], None]) -> None:
        """Call a function once when the process begins to exit."""
        self._stop_listeners.append(listener)

    def add(self, reason: LeaveReason) -> None:
        """Stop taking new work."""
        was_stopping = self.stopping
        self._change(lambda: self._reasons.add(reason))
        if self.stopping and not was_stopping:
            for listener in self._stop_listeners:
                listener()

    def remove(self, reason: LeaveReason) -> None:
        """Withdraw one reason; the others stay in force."""
        self._change(lambda: self._reasons.discard(reason))

    def _change(self, change: Callable[[], None]) -> None:
        before = self.leaving
        change()
        if self.leaving == before:
            return
        reasons = ",".join(self.reasons)
        log_event("leaving" if self.leaving else "ready", reasons=reasons)
        for listener in self._listeners:
            listener(self.leaving)


async def wait_idle(
    count_requests: Callable[[], int], *, timeout_s: float, poll_s: float = 0.05
) -> bool:
    """Wait until no request is under way; False if some are left at the timeout."""
    with anyio.move_on_after(timeout_s):
        while count_requests():
            await anyio.sleep(poll_s)
        return True
    return False

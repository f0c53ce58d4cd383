"""Gives up the requests that still wait at an owner when this daemon is about to end.

Load pattern: a daemon is stopped while the servers are full. Its callers can only be
told that a request has not run while the daemon is there to ask the owner.
"""

import anyio


class WaitingAttempt:
    """One attempt until its owner admits it; ``scope`` is cancelled to withdraw it."""

    def __init__(self, waiting: "set[WaitingAttempt]") -> None:
        self.scope = anyio.CancelScope()
        self._waiting = waiting
        waiting.add(self)

    @property
    def withdrawn(self) -> bool:
        """Return whether the attempt was withdrawn while it waited."""
        return self.scope.cancelled_caught

    def end(self) -> None:
        """Wait no longer: the owner has responded, or the attempt has ended."""
        self._waiting.discard(self)


class Withdrawals:
    """The attempts of one daemon that wait for admission."""

    def __init__(self) -> None:
        self._began = False
        self._waiting: set[WaitingAttempt] = set()

    @property
    def began(self) -> bool:
        """Return whether waiting attempts are withdrawn."""
        return self._began

    def begin(self) -> None:
        """Withdraw the attempts that wait, and make no others."""
        self._began = True
        for attempt in list(self._waiting):
            attempt.scope.cancel()

    def start_waiting(self) -> WaitingAttempt:
        """Return an attempt that waits until its ``end`` is called."""
        return WaitingAttempt(self._waiting)

"""The owner's record of attempts: no attempt id is dispatched twice."""

from enum import StrEnum

from ..model import AttemptId


class AttemptState(StrEnum):
    """What the owner knows of an attempt."""

    RUNNING = "running"
    FINISHED = "finished"
    REVOKED = "revoked"


class AttemptLedger:
    """Remembers every attempt of this incarnation."""

    def __init__(self) -> None:
        self._states: dict[AttemptId, AttemptState] = {}

    def begin(self, attempt: AttemptId) -> bool:
        """Record an attempt before dispatch; False if its id is already known."""
        if attempt in self._states:
            return False
        self._states[attempt] = AttemptState.RUNNING
        return True

    def finish(self, attempt: AttemptId) -> None:
        """Record that an attempt has ended."""
        self._states[attempt] = AttemptState.FINISHED

    def query(self, attempt: AttemptId) -> AttemptState:
        """Return the state of an attempt; an unknown one is refused from now on."""
        return self._states.setdefault(attempt, AttemptState.REVOKED)

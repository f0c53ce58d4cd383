"""Temporary exclusion of backend servers whose owner is unreachable."""

from dataclasses import dataclass

from ..errors import ErrorKind
from ..model import AttemptResult

INITIAL_EXCLUSION_S = 0.5
MAX_EXCLUSION_S = 4.0

_CONNECTION_ERRORS = frozenset({ErrorKind.PEER_UNREACHABLE, ErrorKind.PEER_LOST})


@dataclass(slots=True)
class _Exclusion:
    until_s: float
    pause_s: float


class UnreachableBackends:
    """Excludes backend servers after connection failures, with exponential backoff.

    A machine that is down does not refuse connections but leaves them unanswered, so
    each request sent to it would wait for the connect timeout.
    """

    def __init__(self) -> None:
        self._exclusions: dict[str, _Exclusion] = {}

    def record(self, backend: str, result: AttemptResult, now_s: float) -> None:
        """Record the result of an attempt.

        A success or a refusal by the owner ends the exclusion. A failure during the
        exclusion does not extend it.
        """
        if result.kind not in _CONNECTION_ERRORS:
            if result.ok or result.refused:
                self._exclusions.pop(backend, None)
            return
        last_exclusion = self._exclusions.get(backend)
        pause_s = INITIAL_EXCLUSION_S
        if last_exclusion is not None:
            if now_s < last_exclusion.until_s:
                return
            pause_s = min(2 * last_exclusion.pause_s, MAX_EXCLUSION_S)
        self._exclusions[backend] = _Exclusion(now_s + pause_s, pause_s)

    def prune(self, backends: frozenset[str]) -> None:
        """Delete the state of backend servers not in the given set."""
        for backend in [b for b in self._exclusions if b not in backends]:
            del self._exclusions[backend]

    def is_excluded(self, backend: str, now_s: float) -> bool:
        """Return whether a backend server is currently excluded."""
        exclusion = self._exclusions.get(backend)
        return exclusion is not None and now_s < exclusion.until_s

"""Temporary exclusion of backend servers whose owner is unreachable."""

from dataclasses import dataclass

from ..errors import ErrorKind
from ..model import AttemptResult

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0

_LOST = frozenset({ErrorKind.PEER_UNREACHABLE, ErrorKind.PEER_LOST})


@dataclass(slots=True)
class _Mark:
    until_s: float
    pause_s: float


class Unreachable:
    """Excludes backend servers after connection failures, with exponential backoff.

    A machine that is down does not refuse connections but leaves them unanswered, so
    each request sent to it would wait for the connect timeout.
    """

    def __init__(self) -> None:
        self._marks: dict[str, _Mark] = {}

    def record(self, backend: str, result: AttemptResult, now_s: float) -> None:
        """Record the result of an attempt.

        A success or a refusal by the owner ends the exclusion. A failure during the
        exclusion does not extend it.
        """
        if result.kind not in _LOST:
            if result.ok or result.refused:
                self._marks.pop(backend, None)
            return
        known = self._marks.get(backend)
        pause_s = FIRST_PAUSE_S
        if known is not None:
            if now_s < known.until_s:
                return
            pause_s = min(2 * known.pause_s, MAX_PAUSE_S)
        self._marks[backend] = _Mark(now_s + pause_s, pause_s)

    def prune(self, backends: frozenset[str]) -> None:
        """Delete the state of backend servers not in the given set."""
        for backend in [b for b in self._marks if b not in backends]:
            del self._marks[backend]

    def is_marked(self, backend: str, now_s: float) -> bool:
        """Return whether a backend server is currently excluded."""
        mark = self._marks.get(backend)
        return mark is not None and now_s < mark.until_s

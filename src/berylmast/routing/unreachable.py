"""Backend servers whose owner could not be reached a moment ago."""

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
    """Pauses that grow while an owner stays out of reach.

    A dead machine does not refuse connections but leaves them unanswered: each request
    sent there would wait for the connect timeout.
    """

    def __init__(self) -> None:
        self._marks: dict[str, _Mark] = {}

    def record(self, backend: str, result: AttemptResult, now_s: float) -> None:
        """Count the end of an attempt."""
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
        """Drop the marks of backend servers that are gone."""
        for backend in [b for b in self._marks if b not in backends]:
            del self._marks[backend]

    def is_marked(self, backend: str, now_s: float) -> bool:
        """Tell whether a backend server is left out for now."""
        mark = self._marks.get(backend)
        return mark is not None and now_s < mark.until_s

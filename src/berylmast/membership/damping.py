"""Holds back backend servers that come and go."""

from collections.abc import Callable

from ..model import Endpoint, EndpointState

FREE_STARTS = 3
"""Restarts in the window that are not delayed: a deployment, its rollback, a retry."""

WINDOW_S = 120.0
FIRST_DELAY_S = 2.0
MAX_DELAY_S = 60.0


def comes_up(new: Endpoint, old: Endpoint | None) -> bool:
    """Tell whether a record shows a backend server that was away or restarted.

    A drain that is called off is no restart: the daemon has run all the time.
    """
    return new.state is EndpointState.READY and (
        old is None
        or old.state is EndpointState.GONE
        or old.incarnation != new.incarnation
    )


class FlapDamper:
    """Counts how often each backend server came up lately."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._starts: dict[str, list[float]] = {}

    def observe(self, new: Endpoint, old: Endpoint | None) -> None:
        """Count a record that shows a backend server coming up again."""
        if old is not None and comes_up(new, old):
            self._starts[new.backend] = [*self._recent(new.backend), self._now()]

    def delay_s(self, backend: str) -> float:
        """Return for how long an announcement is held back, in seconds."""
        extra = len(self._recent(backend)) - FREE_STARTS - 1
        if extra < 0:
            return 0.0
        return float(min(MAX_DELAY_S, FIRST_DELAY_S * 2**extra))

    def _recent(self, backend: str) -> list[float]:
        starts = self._starts.get(backend)
        if starts is None:
            return []
        oldest_s = self._now() - WINDOW_S
        recent = [start for start in starts if start >= oldest_s]
        if recent:
            self._starts[backend] = recent
        else:
            del self._starts[backend]
        return recent

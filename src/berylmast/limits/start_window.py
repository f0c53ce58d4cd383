"""Counts the starts of requests in the last second that may reach a cold server.

Load pattern: full load on a server that becomes cold unnoticed. Starts since the server
was last known to be warm count towards the bound, and so do those that the previous run
of its owner may have made.
"""

import math
from bisect import bisect_left

WINDOW_S = 1.0

ARRIVAL_MARGIN_S = 0.02
"""Longest time in seconds from the start of a request to its arrival at the server."""

_ROUNDING_S = 1e-6

_MAX_OUTDATED = 256
"""Number of starts older than the window at which they are deleted together."""


class StartWindow:
    """Keeps the times of the starts within the last second.

    Times are seconds on the event loop's clock. ``began_s`` is the start of this
    process. Earlier starts are unknown: the bound may have been used up just then.
    """

    def __init__(self, began_s: float) -> None:
        self._began_s = began_s
        self._starts_s: list[float] = []

    def record_start(self, now_s: float) -> None:
        """Count a start."""
        self._starts_s.append(now_s)
        outdated = bisect_left(self._starts_s, _get_window_start_s(now_s))
        if outdated > _MAX_OUTDATED:
            del self._starts_s[:outdated]

    def count(self, now_s: float, warm_s: float) -> float:
        """Return the starts in the last second that a cold server may have got.

        ``warm_s`` is when the server was last known to be warm. Returns infinity while
        starts of the previous run of the owner may still count.
        """
        if self._is_beginning(now_s, warm_s):
            return math.inf
        return len(self._starts_s) - self._find_first(now_s, warm_s)

    def get_wait_s(self, now_s: float, warm_s: float, allowed: int) -> float:
        """Return the time in seconds until another start is allowed, 0 if it is now.

        At most ``allowed`` starts, at least 1, may be in the last second.
        """
        blocking_s = self._began_s
        if not self._is_beginning(now_s, warm_s):
            if self.count(now_s, warm_s) < allowed:
                return 0.0
            blocking_s = self._starts_s[-allowed]
        wait_s = blocking_s - _get_window_start_s(now_s)
        return wait_s if wait_s > _ROUNDING_S else 0.0

    def _is_beginning(self, now_s: float, warm_s: float) -> bool:
        return warm_s < self._began_s and self._began_s > _get_window_start_s(now_s)

    def _find_first(self, now_s: float, warm_s: float) -> int:
        first_s = max(warm_s - ARRIVAL_MARGIN_S, _get_window_start_s(now_s))
        return bisect_left(self._starts_s, first_s)


def _get_window_start_s(now_s: float) -> float:
    return now_s - WINDOW_S - ARRIVAL_MARGIN_S

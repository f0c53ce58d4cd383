"""Estimates how long a caller has already waited when it retries a request.

A caller that retries sends the deadline of its first attempt, reduced by the time that
has passed since. A deadline below the one that first attempts on the route usually send
is therefore taken for a retry, and the difference for the time waited.
"""

import math
from collections import deque

KEPT_ATTEMPTS = 50
"""Recent deadlines that are kept for each route."""

FIRST_SHARE = 0.9
"""Quantile of the kept deadlines that is taken for the deadline of first attempts.

It is below 1, so that a few callers with much longer deadlines do not make all other
requests look like retries.
"""

MAX_ROUTES = 2_000
"""Routes whose deadlines are kept; beyond it the route added first is dropped."""


class CallerWaits:
    """Estimates waiting times from the recent deadlines of each route."""

    def __init__(self) -> None:
        self._routes: dict[str, deque[int]] = {}

    def estimate_ms(self, route: str, deadline_ms: int) -> int:
        """Record the deadline of an attempt; return how long its caller has waited.

        All times are in milliseconds.
        """
        kept = self._routes.get(route)
        if kept is None:
            kept = self._routes[route] = deque(maxlen=KEPT_ATTEMPTS)
            if len(self._routes) > MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
        kept.append(deadline_ms)
        rank = math.ceil(FIRST_SHARE * len(kept)) - 1
        return max(0, sorted(kept)[rank] - deadline_ms)

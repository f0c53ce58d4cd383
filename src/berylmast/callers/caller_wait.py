"""Estimates how long a caller has already waited when it retries a request.

A caller that retries sends the deadline of its first attempt, reduced by the time that
has passed since. A deadline below the one that first attempts on the route usually send
is therefore taken for a retry, and the difference for the time waited.
"""

import math
from collections import deque

DEADLINES_PER_ROUTE = 50
"""Recent deadlines that are kept for each route."""

FIRST_ATTEMPT_QUANTILE = 0.9
"""Quantile of the kept deadlines that is taken for the deadline of first attempts.

It is below 1, so that a few callers with much longer deadlines do not make all other
requests look like retries.
"""

MAX_ROUTES = 2_000
"""Routes whose deadlines are kept; beyond it the route added first is dropped."""


class CallerWaitEstimator:
    """Estimates waiting times from the recent deadlines of each route."""

    def __init__(self) -> None:
        self._deadlines_ms: dict[str, deque[int]] = {}

    def estimate_wait_ms(self, route: str, deadline_ms: int) -> int:
        """Record the deadline of an attempt; return how long its caller has waited.

        All times are in milliseconds.
        """
        deadlines_ms = self._deadlines_ms.get(route)
        if deadlines_ms is None:
            deadlines_ms = self._deadlines_ms[route] = deque(maxlen=DEADLINES_PER_ROUTE)
            if len(self._deadlines_ms) > MAX_ROUTES:
                del self._deadlines_ms[next(iter(self._deadlines_ms))]
        deadlines_ms.append(deadline_ms)
        rank = math.ceil(FIRST_ATTEMPT_QUANTILE * len(deadlines_ms)) - 1
        return max(0, sorted(deadlines_ms)[rank] - deadline_ms)

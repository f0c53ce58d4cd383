"""How long a caller has waited before the attempt at hand.

A caller that comes again states the deadline of its first attempt, less what has passed
since. First attempts are taken to state the usual longest deadline of their route.
"""

import math
from collections import deque

KEPT_ATTEMPTS = 50
"""Attempts of a route whose deadlines are kept."""

FIRST_SHARE = 0.9
"""Quantile of the kept deadlines that stands for first attempts: a few callers that
allow much more than the others do not make all others late."""

MAX_ROUTES = 2_000
"""Routes kept; the one seen first is dropped beyond it."""


class CallerWaits:
    """Keeps the deadlines of the last attempts on each route, in milliseconds."""

    def __init__(self) -> None:
        self._routes: dict[str, deque[int]] = {}

    def estimate_ms(self, route: str, deadline_ms: int) -> int:
        """Count an attempt; return how long its caller has waited, in milliseconds."""
        kept = self._routes.get(route)
        if kept is None:
            kept = self._routes[route] = deque(maxlen=KEPT_ATTEMPTS)
            if len(self._routes) > MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
        kept.append(deadline_ms)
        rank = math.ceil(FIRST_SHARE * len(kept)) - 1
        return max(0, sorted(kept)[rank] - deadline_ms)

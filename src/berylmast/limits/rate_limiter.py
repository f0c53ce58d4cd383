"""Spaces the starts of requests so that a stated rate limit holds.

Load pattern: more requests than a limited backend server accepts, in bursts and after
rests. The limit must hold in any span of a few seconds, so unused starts are not saved
up beyond a short burst.
"""

BURST_S = 0.5
"""Unused starts are kept for this time in seconds, at least one of them."""

MIN_RATE_PER_S = 0.25
"""Rate at which a server is still tried that accepts fewer requests or none. Only its
responses tell when the limit ends."""

_ROUNDING_S = 1e-6


class RateLimiter:
    """Allows starts at a rate (generic cell rate algorithm, ITU-T I.371).

    Times are seconds on the event loop's clock. In any span of ``t`` seconds at most
    ``rate * (t + BURST_S) + 1`` starts are allowed. Lower rates than ``min_rate_per_s``
    count as that rate.
    """

    def __init__(self, min_rate_per_s: float = MIN_RATE_PER_S) -> None:
        self._min_rate_per_s = min_rate_per_s
        self._rate_per_s: float | None = None
        # The time at which the next start is due at an even spacing.
        self._due_s = float("-inf")

    @property
    def rate_per_s(self) -> float | None:
        """Return the rate in force, None if starts are not limited."""
        return self._rate_per_s

    def set_rate(self, rate_per_s: float | None, now_s: float) -> None:
        """Set the rate, None for no limit.

        A limit that comes into force begins without unused starts: the starts before it
        were not counted.
        """
        if rate_per_s is None:
            self._rate_per_s = None
            return
        began = self._rate_per_s is None
        self._rate_per_s = max(rate_per_s, self._min_rate_per_s)
        if began:
            self._due_s = now_s + self._get_tolerance_s()

    def get_wait_s(self, now_s: float) -> float:
        """Return the time in seconds until a start is allowed, 0 if it is now."""
        if self._rate_per_s is None:
            return 0.0
        wait_s = self._due_s - self._get_tolerance_s() - now_s
        return wait_s if wait_s > _ROUNDING_S else 0.0

    def get_full_wait_s(self, now_s: float) -> float:
        """Return the time in seconds until as many starts are unused as are kept."""
        if self._rate_per_s is None:
            return 0.0
        wait_s = self._due_s - now_s
        return wait_s if wait_s > _ROUNDING_S else 0.0

    def record_start(self, now_s: float) -> None:
        """Count a start."""
        if self._rate_per_s is not None:
            self._due_s = max(self._due_s, now_s) + 1 / self._rate_per_s

    def _get_tolerance_s(self) -> float:
        """Return how long before its due time a start is allowed."""
        assert self._rate_per_s is not None
        return max(0.0, BURST_S - 1 / self._rate_per_s)

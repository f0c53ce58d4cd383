"""How much a backend server slows down when nearly all of its slots are in use.

Some servers slow down so much when their last slots are in use that their throughput is
lower than with a slot free. If owners filled all slots of such servers, an overload
would outlast its cause: the servers slow down, and even the normal load exceeds their
reduced capacity.
"""

import math
from collections.abc import Callable

NEARLY_FULL_FRACTION = 0.75
"""Fraction of the slots in use above which a backend server counts as nearly full."""

MIN_SAMPLES = 12
"""Samples needed at each level; the error of the estimate is then about 10%."""

MAX_SAMPLES = 200
"""Most samples that a mean gives weight to; beyond it, older ones decay."""

UNKNOWN_SLOWDOWN = 0.0
_MIN_SERVICE_TIME_S = 1e-4


def count_slots_below_full(slots: int) -> int:
    """Return the highest number of requests at which a server is not nearly full."""
    return max(1, math.floor(NEARLY_FULL_FRACTION * slots))


def get_usable_slots(slots: int, full_slowdown: float) -> int:
    """Return the concurrency with the highest throughput.

    ``full_slowdown`` is the ratio of the service time while the server is nearly full
    to the service time while it is not.
    """
    below_full = count_slots_below_full(slots)
    return below_full if full_slowdown * below_full > slots else slots


class _DecayingMean:
    """A mean whose older samples decay once it has ``MAX_SAMPLES``."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, sample: float) -> None:
        self.samples = min(self.samples + 1, MAX_SAMPLES)
        self.value += (sample - self.value) / self.samples


class FullSlowdownEstimator:
    """Estimates the slowdown of one backend server while it is nearly full.

    Add only requests that make no nested calls, since the duration of those depends on
    the load of other servers. ``get_fallback`` returns the slowdown that other owners
    have estimated, or ``UNKNOWN_SLOWDOWN``; it is used until this one has enough
    samples.
    """

    def __init__(
        self, get_fallback: Callable[[], float] = lambda: UNKNOWN_SLOWDOWN
    ) -> None:
        self._get_fallback = get_fallback
        self._below_full = _DecayingMean()
        self._nearly_full = _DecayingMean()

    @property
    def estimate(self) -> float:
        """Return the estimated slowdown, ``UNKNOWN_SLOWDOWN`` with too few samples."""
        if min(self._below_full.samples, self._nearly_full.samples) < MIN_SAMPLES:
            return UNKNOWN_SLOWDOWN
        return math.exp(self._nearly_full.value - self._below_full.value)

    def add(self, service_time_s: float, in_flight: int, slots: int) -> None:
        """Add a service time.

        ``in_flight`` is the number of requests at the server when this one started,
        including it.
        """
        mean = (
            self._below_full
            if in_flight <= count_slots_below_full(slots)
            else self._nearly_full
        )
        mean.add(math.log(max(service_time_s, _MIN_SERVICE_TIME_S)))

    def reset(self) -> None:
        """Discard all samples, because they belong to a previous backend server."""
        self._below_full, self._nearly_full = _DecayingMean(), _DecayingMean()

    def get_usable_slots(self, slots: int) -> int:
        """Return the concurrency with which the server has the highest throughput."""
        return get_usable_slots(slots, self.estimate or self._get_fallback())

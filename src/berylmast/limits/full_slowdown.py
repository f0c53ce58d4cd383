"""How much a backend server slows down when nearly all of its slots are in use.

Some servers slow down so much when their last slots are in use that their throughput is
lower than with a slot free. Without a lower limit, an overload outlasts its cause: all
owners fill their slots, the servers slow down, and the load exceeds their reduced
capacity even after it has returned to normal.
"""

import math
from collections.abc import Callable

NEARLY_FULL_SHARE = 0.75
"""Share of the slots in use above which a backend server counts as nearly full."""

MIN_SAMPLES = 12
"""Samples needed at each level; the error of the estimate is then about 10%."""

MAX_SAMPLES = 200
"""Most samples that a mean gives weight to; beyond it, older ones decay."""

UNKNOWN = 0.0
_SHORTEST_S = 1e-4


def count_calm_slots(slots: int) -> int:
    """Return the highest number of requests at which a server is not nearly full."""
    return max(1, math.floor(NEARLY_FULL_SHARE * slots))


def count_useful_slots(slots: int, full_slowdown: float) -> int:
    """Return the concurrency with the highest throughput.

    ``full_slowdown`` is the ratio of the service time while the server is nearly full
    to the service time while it is not.
    """
    calm = count_calm_slots(slots)
    return calm if full_slowdown * calm > slots else slots


class _Mean:
    """A mean whose older samples decay once it has ``MAX_SAMPLES``."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, sample: float) -> None:
        self.samples = min(self.samples + 1, MAX_SAMPLES)
        self.value += (sample - self.value) / self.samples


class FullSlowdown:
    """Estimates the slowdown of one backend server while it is nearly full.

    Add only requests that make no nested calls, since the duration of those depends on
    the load of other servers. ``get_usual`` returns the slowdown that other owners have
    estimated, or UNKNOWN; it is used until this one has enough samples.
    """

    def __init__(self, get_usual: Callable[[], float] = lambda: UNKNOWN) -> None:
        self._get_usual = get_usual
        self._calm = _Mean()
        self._full = _Mean()

    @property
    def found(self) -> float:
        """Return the estimated slowdown, or UNKNOWN while there are too few samples."""
        if min(self._calm.samples, self._full.samples) < MIN_SAMPLES:
            return UNKNOWN
        return math.exp(self._full.value - self._calm.value)

    def add(self, work_s: float, in_flight: int, slots: int) -> None:
        """Add a service time.

        ``in_flight`` is the number of requests at the server when this one started,
        including it.
        """
        level = self._calm if in_flight <= count_calm_slots(slots) else self._full
        level.add(math.log(max(work_s, _SHORTEST_S)))

    def forget(self) -> None:
        """Discard all samples, because they belong to a previous backend server."""
        self._calm, self._full = _Mean(), _Mean()

    def count_useful_slots(self, slots: int) -> int:
        """Return the concurrency with which the server has the highest throughput."""
        return count_useful_slots(slots, self.found or self._get_usual())

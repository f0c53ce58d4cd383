"""How much longer work takes at a backend server that is nearly full.

Some servers slow down so much when their last slots are taken that they end fewer
requests than with a slot free. The load pattern that this answers: every owner fills
its slots in an overload, the servers slow down, and what is offered exceeds what they
can do also after the cause has gone.
"""

import math
from collections.abc import Callable

NEARLY_FULL_SHARE = 0.75
"""Share of the slots above which a backend server counts as nearly full."""

MIN_SAMPLES = 12
"""Samples at each level that make an estimate: its error is then about a tenth."""

MAX_SAMPLES = 200
"""Weight of what was seen before, in samples; older ones fade beyond it."""

UNKNOWN = 0.0
_SHORTEST_S = 1e-4


def count_calm_slots(slots: int) -> int:
    """Return the most requests at which a backend server is not nearly full."""
    return max(1, math.floor(NEARLY_FULL_SHARE * slots))


def count_useful_slots(slots: int, full_slowdown: float) -> int:
    """Return the number of requests at a time with which a server ends most.

    ``full_slowdown`` is how much longer work takes while it is nearly full.
    """
    calm = count_calm_slots(slots)
    return calm if full_slowdown * calm > slots else slots


class _Mean:
    """A mean that forgets slowly."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, sample: float) -> None:
        self.samples = min(self.samples + 1, MAX_SAMPLES)
        self.value += (sample - self.value) / self.samples


class FullSlowdown:
    """Compares service times of a calm and of a nearly full server.

    Give it only requests that make no calls of their own: the time of a call depends on
    the load of other servers. ``get_usual`` returns what other owners found, UNKNOWN if
    nobody has; it stands in until this one has seen enough.
    """

    def __init__(self, get_usual: Callable[[], float] = lambda: UNKNOWN) -> None:
        self._get_usual = get_usual
        self._calm = _Mean()
        self._full = _Mean()

    @property
    def found(self) -> float:
        """Return how much longer work takes while nearly full; UNKNOWN at first."""
        if min(self._calm.samples, self._full.samples) < MIN_SAMPLES:
            return UNKNOWN
        return math.exp(self._full.value - self._calm.value)

    def add(self, work_s: float, in_flight: int, slots: int) -> None:
        """Count a service time and the requests at the server when it began."""
        level = self._calm if in_flight <= count_calm_slots(slots) else self._full
        level.add(math.log(max(work_s, _SHORTEST_S)))

    def forget(self) -> None:
        """Start anew: another backend server runs now."""
        self._calm, self._full = _Mean(), _Mean()

    def count_useful_slots(self, slots: int) -> int:
        """Return the number of requests at a time with which the server ends most."""
        return count_useful_slots(slots, self.found or self._get_usual())

"""Selection of the priority that gets the next slot.

The floor of a priority is the share of slot time that it is guaranteed while it has
requests waiting. There are two rules:

1. A priority that has waiting requests and received less slot time than its floor gets
   the next slot. Of several, the one with the largest deficit relative to its floor
   comes first. If the most urgent came first, a flood that is itself below its floor
   from time to time would hold the least urgent priority at 60% of its floor.
2. Otherwise the most urgent priority with waiting requests gets the slot, unless the
   slot must stay free for other priorities.

The deficit is measured in slot time, not in slots in use: with 6 slots, a floor of 0.2
is 1.2 slots, so one slot would be below the floor and two would be above it.

Unused floors are lent to other priorities, except for what a sudden arrival needs.
Borrowed slots are back within milliseconds if requests are short, so a single free slot
is reserved for all more urgent priorities together. Requests longer than
``LONG_SLOT_TIME_S`` do not release their slots in time. A priority with such requests
therefore borrows nothing from the floor of a more urgent priority, or of a less urgent
one with recent demand.
"""

import math
from collections.abc import Sequence

from .moving_average import MovingAverage
from .tenant_queue import TenantQueue

LONG_SLOT_TIME_S = 0.25
"""Mean slot time in seconds above which borrowed slots are released too late."""

DEMAND_WINDOW_S = 2.5
"""Window in seconds for peak demand, which covers this window and the previous one."""

FLOOR_MARGIN = 1.15
"""Factor by which floors are raised if their sum allows it.

It makes up for slots that are held longer than the service time, and for queues that
are empty at times because arrivals are random. Without a margin, a flood leaves the
other priorities 4% to 6% short of their floors; 1.1 can still leave them 0.3% short.
"""

MAX_BORROWED_SLOT_S = 1.0
"""Most borrowed slot-seconds, beyond one slot time, that count against a borrower."""

_MIN_SLOT_TIME_S = 0.01
_ROUNDING_TOLERANCE = 1e-9


class PriorityClass:
    """Queue, slots in use and floor deficit of one priority."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.floor = 0.0
        self.queue = TenantQueue()
        self.in_use = 0
        self.slot_time_s = MovingAverage()
        self._start_time_sum_s = 0.0
        self._deficit_slot_s = 0.0
        self._updated_s = -math.inf
        self._window_index = 0
        self._demand_peaks = (0, 0)

    def acquire_slot(self, now_s: float) -> None:
        """Record that a request has started."""
        self.in_use += 1
        self._start_time_sum_s += now_s

    def release_slot(self, started_s: float) -> None:
        """Record that a request which started at ``started_s`` has ended."""
        self.in_use -= 1
        self._start_time_sum_s -= started_s

    def has_long_requests(self, now_s: float) -> bool:
        """Return whether requests of this priority hold their slots for long.

        The mean age of running requests counts too, because there is no estimate until
        the first one has ended.
        """
        if self.slot_time_s.value > LONG_SLOT_TIME_S:
            return True
        age_sum_s = self.in_use * now_s - self._start_time_sum_s
        return age_sum_s > self.in_use * LONG_SLOT_TIME_S

    def is_below_floor(self, limit: int) -> bool:
        """Return whether the floor entitles this priority to the next slot."""
        entitled = math.ceil(self.floor * limit - _ROUNDING_TOLERANCE)
        return self.in_use < entitled and self._deficit_slot_s >= -_ROUNDING_TOLERANCE

    def get_relative_deficit(self) -> float:
        """Return the deficit of this priority relative to its floor."""
        return self._deficit_slot_s / self.floor

    def update_deficit(self, now_s: float, limit: int) -> None:
        """Update the deficit; call it before ``in_use`` changes.

        A negative deficit is slot time borrowed from idle priorities. It is bounded by
        one slot time of every slot, or, for long requests, by ``MAX_BORROWED_SLOT_S``
        beyond one slot time. With a tighter bound, an overloaded priority that is above
        its floor would soon count as below it again. A positive deficit, missed while
        the queue was briefly empty, is made up for, up to two slot times.
        """
        elapsed_s = 0.0 if math.isinf(self._updated_s) else now_s - self._updated_s
        self._updated_s = now_s
        slot_s = max(self.slot_time_s.value, _MIN_SLOT_TIME_S)
        deficit = self._deficit_slot_s + (self.floor * limit - self.in_use) * elapsed_s
        max_deficit = 2 * slot_s if self.get_peak_demand(now_s) else 0.0
        min_deficit = -min(limit * slot_s, slot_s + MAX_BORROWED_SLOT_S)
        self._deficit_slot_s = max(min_deficit, min(deficit, max_deficit))

    def record_demand(self, now_s: float) -> None:
        """Record how many slots this priority could use now."""
        demand = self.in_use + len(self.queue)
        previous, current = self._get_demand_peaks(now_s)
        self._demand_peaks = (previous, max(current, demand))

    def get_peak_demand(self, now_s: float) -> int:
        """Return the recent peak demand in slots."""
        return max(self._get_demand_peaks(now_s))

    def _get_demand_peaks(self, now_s: float) -> tuple[int, int]:
        window = int(now_s // DEMAND_WINDOW_S)
        elapsed, self._window_index = window - self._window_index, window
        if elapsed == 1:
            self._demand_peaks = (self._demand_peaks[1], 0)
        elif elapsed > 1:
            self._demand_peaks = (0, 0)
        return self._demand_peaks


def scale_floors(floors: Sequence[float]) -> list[float]:
    """Return the floors times ``FLOOR_MARGIN``, or scaled to a sum of 1 if lower."""
    total = math.fsum(floors)
    factor = FLOOR_MARGIN if total * FLOOR_MARGIN <= 1 else 1 / total
    return [floor * factor for floor in floors]


def count_reserved_slots(limit: int, floors: Sequence[float]) -> list[int]:
    """Return the number of whole slots reserved for each priority by its floor.

    A floor is rounded to the nearest slot, but to one at least. One slot in total stays
    unreserved. If there are too few slots, the less urgent priorities get none.
    """
    unreserved = limit - 1
    reserved = []
    for floor in floors:
        wanted = max(1, math.floor(floor * limit + 0.5)) if floor > 0 else 0
        granted = min(wanted, unreserved)
        unreserved -= granted
        reserved.append(granted)
    return reserved


def select_class(
    classes: Sequence[PriorityClass], limit: int, now_s: float
) -> PriorityClass | None:
    """Return the priority that gets the next slot, or None if none may."""
    free = limit - sum(c.in_use for c in classes)
    if free <= 0:
        return None
    below_floor = [c for c in classes if c.queue and c.is_below_floor(limit)]
    if below_floor:
        return max(below_floor, key=PriorityClass.get_relative_deficit)
    reserved = count_reserved_slots(limit, [c.floor for c in classes])
    for rank, priority_class in enumerate(classes):
        if priority_class.queue and free > _count_kept_free(
            classes, reserved, rank, now_s
        ):
            return priority_class
    return None


def _count_kept_free(
    classes: Sequence[PriorityClass], reserved: Sequence[int], rank: int, now_s: float
) -> int:
    """Return how many free slots the priority of this rank must leave free."""
    has_long_requests = classes[rank].has_long_requests(now_s)
    kept_free = 0
    for other_rank, (other, slots) in enumerate(zip(classes, reserved, strict=True)):
        if other_rank == rank:
            continue
        if other_rank < rank:
            kept_free += max(0, slots - other.in_use)
        elif has_long_requests:
            kept_free += max(0, min(slots, other.get_peak_demand(now_s)) - other.in_use)
    return kept_free if has_long_requests else min(kept_free, 1)

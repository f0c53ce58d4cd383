"""Which priority gets the next slot, given the floors.

Two rules together. A priority that waits and has had less than its floor of slot time
is *owed*: it gets the next slot, whoever else waits. Otherwise the most urgent waiting
priority gets it, unless the slot must be kept free for others. Of several that are owed
the one furthest behind is next; by urgency, a flood that is itself owed now and then
would keep the least urgent at 60% of its floor.

Owed is counted in slot time and not in slots in use, because a floor of 0.2 of 6 slots
is 1.2 slots: one slot would be less than the floor and two would be more.

Floors that are not in use are lent, except for what a sudden arrival needs. Short
requests return slots within milliseconds, so one free slot is kept for all more urgent
priorities together. Requests longer than ``LONG_S`` do not return slots in time; a
priority whose requests are long borrows nothing of a more urgent one's floor, nor of a
less urgent one that was recently active.
"""

import math
from collections.abc import Sequence

from .estimate import MovingEstimate
from .tenants import TenantQueue

LONG_S = 0.25
"""Mean slot time in seconds from which lent slots come back too late."""

NEED_WINDOW_S = 2.5
"""The need of a priority is its peak in this window and the one before it."""

FLOOR_MARGIN = 1.15
"""Floors are applied with this margin if their sum allows: a slot is held longer than
the service time, and a queue of random arrivals is empty at times. Without it a flood
of real processes left the other priorities 4% to 6% short of their floors; with 1.1 one
run was 0.3% short."""

MAX_EXCESS_SLOT_S = 1.0
"""Slot seconds beyond one slot time that are held against a borrower."""

_MIN_DEBT_S = 0.01
_ROUNDING = 1e-9


class PriorityClass:
    """Queue, slots in use and floor account of one priority."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.floor = 0.0
        self.queue = TenantQueue()
        self.in_use = 0
        self.slot_time_s = MovingEstimate()
        self._started_sum_s = 0.0
        self._owed_slot_s = 0.0
        self._advanced_s = -math.inf
        self._window = 0
        self._peaks = (0, 0)

    def take_slot(self, now_s: float) -> None:
        """Count a request that starts."""
        self.in_use += 1
        self._started_sum_s += now_s

    def return_slot(self, started_s: float) -> None:
        """Count the end of a request that started at a time."""
        self.in_use -= 1
        self._started_sum_s -= started_s

    def is_long(self, now_s: float) -> bool:
        """Tell whether requests of this priority hold slots for long.

        The age of those that run counts too: the first ones have no estimate yet.
        """
        if self.slot_time_s.value > LONG_S:
            return True
        age_sum_s = self.in_use * now_s - self._started_sum_s
        return age_sum_s > self.in_use * LONG_S

    def is_owed(self, limit: int) -> bool:
        """Tell whether the floor entitles this priority to the next slot."""
        entitled = math.ceil(self.floor * limit - _ROUNDING)
        return self.in_use < entitled and self._owed_slot_s >= -_ROUNDING

    def get_arrears(self) -> float:
        """Return how far this priority is behind, in relation to its floor."""
        return self._owed_slot_s / self.floor

    def advance(self, now_s: float, limit: int) -> None:
        """Bring the account up to date; call it before ``in_use`` changes.

        An excess borrowed from idle priorities is held against the borrower for one
        slot time of every slot, but for long requests not much more than one: with less
        a flood that is over its floor would soon count as owed again. What was missed
        while the queue was empty for a moment is made up for, up to two slot times.
        """
        elapsed_s = 0.0 if math.isinf(self._advanced_s) else now_s - self._advanced_s
        self._advanced_s = now_s
        bound = max(self.slot_time_s.value, _MIN_DEBT_S)
        owed = self._owed_slot_s + (self.floor * limit - self.in_use) * elapsed_s
        most = 2 * bound if self.get_need(now_s) else 0.0
        least = -min(limit * bound, bound + MAX_EXCESS_SLOT_S)
        self._owed_slot_s = max(least, min(owed, most))

    def note_need(self, now_s: float) -> None:
        """Record how many slots this priority needs now."""
        need = self.in_use + len(self.queue)
        previous, current = self._get_peaks(now_s)
        self._peaks = (previous, max(current, need))

    def get_need(self, now_s: float) -> int:
        """Return the most slots that were needed recently."""
        return max(self._get_peaks(now_s))

    def _get_peaks(self, now_s: float) -> tuple[int, int]:
        window = int(now_s // NEED_WINDOW_S)
        steps, self._window = window - self._window, window
        if steps == 1:
            self._peaks = (self._peaks[1], 0)
        elif steps > 1:
            self._peaks = (0, 0)
        return self._peaks


def scale_floors(floors: Sequence[float]) -> list[float]:
    """Return the floors with their margin, but no more in all than there is."""
    total = math.fsum(floors)
    factor = FLOOR_MARGIN if total * FLOOR_MARGIN <= 1 else 1 / total
    return [floor * factor for floor in floors]


def reserve_slots(limit: int, floors: Sequence[float]) -> list[int]:
    """Return the whole slots that each priority's floor stands for.

    A floor is rounded to the nearest slot, but to at least one. One slot in all stays
    unreserved; where there are too few, the less urgent priorities get none.
    """
    left = limit - 1
    reserved = []
    for floor in floors:
        wanted = max(1, math.floor(floor * limit + 0.5)) if floor > 0 else 0
        given = min(wanted, left)
        left -= given
        reserved.append(given)
    return reserved


def choose_class(
    classes: Sequence[PriorityClass], limit: int, now_s: float
) -> PriorityClass | None:
    """Return the priority whose queue gets a slot now, None if none may."""
    free = limit - sum(item.in_use for item in classes)
    if free <= 0:
        return None
    owed = [item for item in classes if item.queue and item.is_owed(limit)]
    if owed:
        return max(owed, key=PriorityClass.get_arrears)
    reserved = reserve_slots(limit, [item.floor for item in classes])
    for rank, item in enumerate(classes):
        if item.queue and free > _count_kept(classes, reserved, rank, now_s):
            return item
    return None


def _count_kept(
    classes: Sequence[PriorityClass], reserved: Sequence[int], rank: int, now_s: float
) -> int:
    """Return the free slots that the priority of this rank must leave free."""
    is_long = classes[rank].is_long(now_s)
    kept = 0
    for other_rank, (other, slots) in enumerate(zip(classes, reserved, strict=True)):
        if other_rank == rank:
            continue
        if other_rank < rank:
            kept += max(0, slots - other.in_use)
        elif is_long:
            kept += max(0, min(slots, other.get_need(now_s)) - other.in_use)
    return kept if is_long else min(kept, 1)

"""The bounded admission queue of one owner, divided into priority classes."""

import math
from collections.abc import Sequence

from ..errors import ErrorKind, Refusal
from ..model import Priority
from .floors import PriorityClass, scale_floors, select_class
from .tenant_queue import Waiter

QUEUE_CAPACITY_PER_SLOT = 2
"""Capacity of the queue per slot.

A full queue means a wait of about two service times; beyond that the request is better
tried on another backend server.
"""

MIN_QUEUE_CAPACITY = 4

MAX_QUEUE_WAIT_S = 0.25
"""Longest wait for a slot in seconds; another backend server would be sooner.

It is longer for a priority whose slot time, or time between slots that its floor
provides, exceeds it.
"""


class AdmissionQueue:
    """The priority classes of one backend server, the most urgent first."""

    def __init__(self) -> None:
        self._classes: list[PriorityClass] = []
        self._priorities: Sequence[Priority] = ()

    @property
    def size(self) -> int:
        """Return the number of queued requests of all priorities."""
        return sum(len(c.queue) for c in self._classes)

    def set_priorities(self, priorities: Sequence[Priority]) -> None:
        """Apply the priorities of the document.

        A priority that the document no longer has stays, with no floor and after all
        others, until none of its requests is queued or running.
        """
        if priorities is self._priorities:
            return
        self._priorities = priorities
        known = {c.name: c for c in self._classes}
        floors = scale_floors([priority.floor for priority in priorities])
        classes = []
        for priority, floor in zip(priorities, floors, strict=True):
            priority_class = known.pop(priority.name, None) or PriorityClass(
                priority.name
            )
            priority_class.floor = floor
            classes.append(priority_class)
        for priority_class in known.values():
            if priority_class.queue or priority_class.in_use:
                priority_class.floor = 0.0
                classes.append(priority_class)
        self._classes = classes

    def find_class(self, name: str) -> PriorityClass:
        """Return a class by name, or the least urgent class for an unknown priority."""
        for priority_class in self._classes:
            if priority_class.name == name:
                return priority_class
        return self._classes[len(self._priorities) - 1]

    def update_deficits(self, now_s: float, limit: int) -> None:
        """Update the deficits of all classes; call it before anything changes."""
        for priority_class in self._classes:
            priority_class.update_deficit(now_s, limit)

    def grant_next(self, limit: int, now_s: float) -> Waiter | None:
        """Grant a slot to the next request and return it, or None if none may start."""
        priority_class = select_class(self._classes, limit, now_s)
        if priority_class is None:
            return None
        priority_class.acquire_slot(now_s)
        return priority_class.queue.pop(priority_class.slot_time_s.value)

    def find_eviction(self, slots: int) -> tuple[Waiter, Refusal] | None:
        """Return the request to evict if the queue is too long, with its refusal.

        Each priority is entitled to a share of the queue equal to its floor. A request
        of the least urgent priority that exceeds its share is evicted.
        """
        capacity = max(MIN_QUEUE_CAPACITY, QUEUE_CAPACITY_PER_SLOT * slots)
        if self.size <= capacity:
            return None
        queued = [c for c in reversed(self._classes) if c.queue]
        over = [c for c in queued if len(c.queue) > math.ceil(c.floor * capacity)]
        # Because shares are rounded up, their sum may exceed the capacity, and then it
        # is possible that no priority exceeds its share.
        largest = max(queued, key=lambda c: len(c.queue) - c.floor * capacity)
        waiter, over_share = (over[0] if over else largest).queue.find_newest_excess()
        if over_share:
            detail = "the tenant holds more than its share of a full queue"
            return waiter, Refusal(ErrorKind.TENANT_LIMIT, detail)
        return waiter, Refusal(ErrorKind.OVERLOADED, "the queue is full")

    def remove_all(self) -> list[Waiter]:
        """Remove and return all queued requests."""
        removed = []
        for priority_class in self._classes:
            for waiter in list(priority_class.queue):
                priority_class.queue.remove(waiter)
                removed.append(waiter)
        return removed

    def get_max_wait_s(self, priority_class: PriorityClass, limit: int) -> float:
        """Return the longest time in seconds that a request of a class may wait.

        It is at least one slot time, and the time in which the floor provides one slot.
        """
        interval_s = priority_class.slot_time_s.value
        if priority_class.floor > 0:
            interval_s = max(interval_s, interval_s / (priority_class.floor * limit))
        return max(MAX_QUEUE_WAIT_S, interval_s)

    def estimate_wait_s(self, priority_class: PriorityClass, limit: int) -> float:
        """Return the expected wait in seconds of the last queued request of a class.

        This is the shorter of two waits: until all slots have served the queues in
        order of urgency, and until the floor alone has served the queue of this class.
        """
        ahead_s = 0.0
        for other in self._classes:
            ahead_s += len(other.queue) * other.slot_time_s.value
            if other is priority_class:
                break
        wait_s = ahead_s / limit
        if priority_class.floor > 0:
            own_s = len(priority_class.queue) * priority_class.slot_time_s.value
            wait_s = min(wait_s, own_s / (priority_class.floor * limit))
        return wait_s

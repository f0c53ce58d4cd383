"""The bounded admission queue of one owner, divided into priority classes."""

import math
from collections.abc import Sequence

from ..errors import ErrorKind, Refusal
from ..model import Priority
from .floors import PriorityClass, choose_class, scale_floors
from .tenants import Waiter

PLACES_PER_SLOT = 2
"""Queue capacity per slot.

A full queue means a wait of about two service times; beyond that the request is better
tried on another backend server.
"""

MIN_PLACES = 4

MAX_QUEUE_WAIT_S = 0.25
"""Longest wait for a slot in seconds; another backend server would be sooner.

It is longer for a priority whose slot time, or time between slots that its floor
provides, exceeds it.
"""


class WaitingRoom:
    """The priority classes of one backend server, the most urgent first."""

    def __init__(self) -> None:
        self._classes: list[PriorityClass] = []
        self._adopted: Sequence[Priority] = ()

    @property
    def waiting(self) -> int:
        """Return the number of queued requests of all priorities."""
        return sum(len(item.queue) for item in self._classes)

    def adopt_priorities(self, priorities: Sequence[Priority]) -> None:
        """Apply the priorities of the document.

        A priority that the document no longer has stays, with no floor and after all
        others, until none of its requests is queued or running.
        """
        if priorities is self._adopted:
            return
        self._adopted = priorities
        known = {item.name: item for item in self._classes}
        floors = scale_floors([priority.floor for priority in priorities])
        classes = []
        for priority, floor in zip(priorities, floors, strict=True):
            item = known.pop(priority.name, None) or PriorityClass(priority.name)
            item.floor = floor
            classes.append(item)
        for item in known.values():
            if item.queue or item.in_use:
                item.floor = 0.0
                classes.append(item)
        self._classes = classes

    def find_class(self, name: str) -> PriorityClass:
        """Return a class by name, or the least urgent class for an unknown priority."""
        for item in self._classes:
            if item.name == name:
                return item
        return self._classes[len(self._adopted) - 1]

    def advance(self, now_s: float, limit: int) -> None:
        """Update the deficits of all classes; call it before anything changes."""
        for item in self._classes:
            item.advance(now_s, limit)

    def take_next(self, limit: int, now_s: float) -> Waiter | None:
        """Grant a slot to the next request and return it, or None if none may start."""
        item = choose_class(self._classes, limit, now_s)
        if item is None:
            return None
        item.take_slot(now_s)
        return item.queue.pop(item.slot_time_s.value)

    def find_surplus(self, slots: int) -> tuple[Waiter, Refusal] | None:
        """Return the request to evict if the queue is too long, with its refusal.

        Each priority is entitled to a share of the queue equal to its floor. A request
        of the least urgent priority that exceeds its share is evicted.
        """
        places = max(MIN_PLACES, PLACES_PER_SLOT * slots)
        if self.waiting <= places:
            return None
        queued = [item for item in reversed(self._classes) if item.queue]
        over = [i for i in queued if len(i.queue) > math.ceil(i.floor * places)]
        # Because shares are rounded up, their sum may exceed the capacity, and then it
        # is possible that no priority exceeds its share.
        loser = max(queued, key=lambda item: len(item.queue) - item.floor * places)
        waiter, over_share = (over[0] if over else loser).queue.find_excess()
        if over_share:
            detail = "the tenant holds more than its share of a full queue"
            return waiter, Refusal(ErrorKind.TENANT_LIMIT, detail)
        return waiter, Refusal(ErrorKind.OVERLOADED, "the queue is full")

    def get_longest_wait_s(self, item: PriorityClass, limit: int) -> float:
        """Return the longest time in seconds that a request of a class may wait.

        It is at least one slot time, and the time in which the floor provides one slot.
        """
        turn_s = item.slot_time_s.value
        if item.floor > 0:
            turn_s = max(turn_s, turn_s / (item.floor * limit))
        return max(MAX_QUEUE_WAIT_S, turn_s)

    def estimate_wait_s(self, item: PriorityClass, limit: int) -> float:
        """Return the expected wait in seconds of the last queued request of a class.

        This is the shorter of two waits: until all slots have served the queues in
        order of urgency, and until the floor alone has served the queue of this class.
        """
        ahead = 0.0
        for other in self._classes:
            ahead += len(other.queue) * other.slot_time_s.value
            if other is item:
                break
        wait_s = ahead / limit
        if item.floor > 0:
            own = len(item.queue) * item.slot_time_s.value
            wait_s = min(wait_s, own / (item.floor * limit))
        return wait_s

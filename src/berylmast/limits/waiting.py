"""The bounded queue of one owner: classes of the document and who gives way."""

import math
from collections.abc import Sequence

from ..errors import ErrorKind, Refusal
from ..model import Priority
from .floors import PriorityClass, choose_class, scale_floors
from .tenants import Waiter

PLACES_PER_SLOT = 2
"""Queue places per slot: about two service times of waiting; beyond that a request is
better tried elsewhere."""

MIN_PLACES = 4

MAX_QUEUE_WAIT_S = 0.25
"""Longest wait for a slot, or one turn of the priority if that is longer; beyond it
another backend server serves sooner."""


class WaitingRoom:
    """All classes of one backend server, the most urgent first."""

    def __init__(self) -> None:
        self._classes: list[PriorityClass] = []
        self._adopted: Sequence[Priority] = ()

    @property
    def waiting(self) -> int:
        """Return the number of requests in all queues."""
        return sum(len(item.queue) for item in self._classes)

    def adopt_priorities(self, priorities: Sequence[Priority]) -> None:
        """Follow the document; a removed priority stays last until it is empty."""
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
        """Return a class by name; an unknown priority counts as the least urgent."""
        for item in self._classes:
            if item.name == name:
                return item
        return self._classes[len(self._adopted) - 1]

    def advance(self, now_s: float, limit: int) -> None:
        """Bring all floor accounts up to date before anything changes."""
        for item in self._classes:
            item.advance(now_s, limit)

    def take_next(self, limit: int, now_s: float) -> Waiter | None:
        """Give a slot to the request whose turn it is, None if none may start."""
        item = choose_class(self._classes, limit, now_s)
        if item is None:
            return None
        item.take_slot(now_s)
        return item.queue.pop(item.slot_time_s.value)

    def find_surplus(self, slots: int) -> tuple[Waiter, Refusal] | None:
        """Return the request that gives way if the queue is too long.

        Each priority is entitled to its floor's share of the places; the least urgent
        priority beyond its own gives way.
        """
        places = max(MIN_PLACES, PLACES_PER_SLOT * slots)
        if self.waiting <= places:
            return None
        queued = [item for item in reversed(self._classes) if item.queue]
        over = [i for i in queued if len(i.queue) > math.ceil(i.floor * places)]
        # Rounded up, the shares may exceed the places: then nobody is beyond its own.
        loser = max(queued, key=lambda item: len(item.queue) - item.floor * places)
        waiter, over_share = (over[0] if over else loser).queue.find_excess()
        if over_share:
            detail = "the tenant holds more than its share of a full queue"
            return waiter, Refusal(ErrorKind.TENANT_LIMIT, detail)
        return waiter, Refusal(ErrorKind.OVERLOADED, "the queue is full")

    def get_longest_wait_s(self, item: PriorityClass, limit: int) -> float:
        """Return the longest wait in seconds: at least one turn of the floor."""
        turn_s = item.slot_time_s.value
        if item.floor > 0:
            turn_s = max(turn_s, turn_s / (item.floor * limit))
        return max(MAX_QUEUE_WAIT_S, turn_s)

    def estimate_wait_s(self, item: PriorityClass, limit: int) -> float:
        """Return the expected wait in seconds of the last request of a class.

        It is served either in the order of urgency by all slots or by its floor alone,
        whichever is sooner.
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

"""Fair queueing between the tenants of one priority; see ``fair_tags``."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from ..errors import Refusal
from .fair_tags import FairTags


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued request, until it is granted a slot, refused or removed."""

    priority: str
    tenant: str
    granted: bool = False
    granted_s: float = 0.0
    refusal: Refusal | None = None
    settled: anyio.Event = field(default_factory=anyio.Event)


class TenantQueue:
    """The queued requests of one priority, served fairly between tenants."""

    def __init__(self) -> None:
        self._tags = FairTags()
        self._backlogged: dict[str, deque[Waiter]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the requests, tenant by tenant."""
        return (w for waiters in self._backlogged.values() for w in waiters)

    @property
    def tracked_tenants(self) -> int:
        """Return the number of tenants with a tag in memory."""
        return len(self._tags)

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its tenant."""
        if waiter.tenant not in self._backlogged:
            self._tags.activate(waiter.tenant, self._backlogged)
            self._backlogged[waiter.tenant] = deque()
        self._backlogged[waiter.tenant].append(waiter)
        self._size += 1

    def pop(self, cost_s: float) -> Waiter:
        """Remove and return the next request; charge its tenant the expected cost."""
        tenant = min(self._backlogged, key=self._tags.get_backlogged)
        waiter = self._backlogged[tenant].popleft()
        self._finish_removal(tenant)
        self._tags.charge(tenant, cost_s)
        return waiter

    def correct_charge(self, tenant: str, correction_s: float) -> None:
        """Correct a charge once the actual slot time is known."""
        self._tags.correct(tenant, correction_s)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; do nothing if it is not queued."""
        waiters = self._backlogged.get(waiter.tenant)
        if waiters is not None and waiter in waiters:
            waiters.remove(waiter)
            self._finish_removal(waiter.tenant)

    def find_newest_excess(self) -> tuple[Waiter, bool]:
        """Return the newest request of the tenant with the most queued requests.

        The flag states whether that tenant has more than an equal share among several
        tenants. Among equals, the tenant that began to wait last is chosen.
        """
        queues = reversed(list(self._backlogged.values()))
        waiters = max(queues, key=len)
        over_share = len(waiters) * len(self._backlogged) > self._size
        return waiters[-1], over_share

    def _finish_removal(self, tenant: str) -> None:
        self._size -= 1
        if not self._backlogged[tenant]:
            del self._backlogged[tenant]

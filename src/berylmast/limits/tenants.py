"""Fair queueing between the tenants of one priority.

This is start-time fair queueing. Each tenant has a tag, the virtual time up to which it
has been served, and of the tenants with waiting requests the one with the lowest tag is
next. The cost of a request is its slot time, so that long requests count for more than
short ones. Deficit round robin, the alternative, needs a quantum that suits every
service time.
"""

from collections import deque
from dataclasses import dataclass, field

import anyio

from ..errors import Refusal

MAX_TENANTS = 256
"""Number of tracked tenants from which idle ones are evicted to make room."""

MAX_LEAD_S = 1.0
"""Most slot time in seconds by which a tenant's tag may be ahead after a correction, so
that one very long request does not block its tenant for equally long."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued request, until it is granted a slot, refused or removed."""

    priority: str
    tenant: str
    granted: bool = False
    granted_s: float = 0.0
    refusal: Refusal | None = None
    settled: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class _Lane:
    tag: float
    waiters: deque[Waiter] = field(default_factory=deque)


class TenantQueue:
    """The queued requests of one priority, served fairly between tenants."""

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane] = {}
        self._waiting: dict[str, _Lane] = {}
        self._virtual_s = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def tracked(self) -> int:
        """Return the number of tenants with a tag in memory."""
        return len(self._lanes)

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its tenant."""
        lane = self._lanes.get(waiter.tenant)
        if lane is None:
            self._forget_idle()
            lane = self._lanes[waiter.tenant] = _Lane(self._virtual_s)
        if not lane.waiters:
            lane.tag = max(lane.tag, self._virtual_s)
            self._waiting[waiter.tenant] = lane
        lane.waiters.append(waiter)
        self._size += 1

    def pop(self, cost_s: float) -> Waiter:
        """Remove and return the next request; charge its tenant the expected cost."""
        tenant, lane = min(self._waiting.items(), key=lambda item: item[1].tag)
        waiter = lane.waiters.popleft()
        self._drop_empty(tenant, lane)
        self._virtual_s = max(self._virtual_s, lane.tag)
        lane.tag += cost_s
        return waiter

    def correct_charge(self, tenant: str, extra_s: float) -> None:
        """Correct a charge once the actual slot time is known."""
        lane = self._lanes.get(tenant)
        if lane is not None:
            lane.tag = min(lane.tag + extra_s, self._virtual_s + MAX_LEAD_S)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; do nothing if it is not queued."""
        lane = self._waiting.get(waiter.tenant)
        if lane is not None and waiter in lane.waiters:
            lane.waiters.remove(waiter)
            self._drop_empty(waiter.tenant, lane)

    def find_excess(self) -> tuple[Waiter, bool]:
        """Return the newest request of the tenant with the most queued requests.

        The flag states whether that tenant has more than an equal share among several
        tenants. Among equals, the tenant that began to wait last is chosen.
        """
        lanes = reversed(list(self._waiting.values()))
        lane = max(lanes, key=lambda item: len(item.waiters))
        over_share = len(lane.waiters) * len(self._waiting) > self._size
        return lane.waiters[-1], over_share

    def _drop_empty(self, tenant: str, lane: _Lane) -> None:
        self._size -= 1
        if not lane.waiters:
            del self._waiting[tenant]

    def _forget_idle(self) -> None:
        """Make room for a tenant by evicting idle ones with the lowest tags.

        Tags restart at the virtual time, so the lowest tags change least.
        """
        if len(self._lanes) < MAX_TENANTS:
            return
        idle = [name for name in self._lanes if name not in self._waiting]
        idle.sort(key=lambda name: self._lanes[name].tag)
        for name in idle[: max(1, len(idle) // 2)]:
            del self._lanes[name]

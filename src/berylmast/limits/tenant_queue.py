"""Fair queueing between the tenants of one priority.

This is start-time fair queueing. Each tenant has a tag, the virtual time up to which it
has been served, and of the tenants with waiting requests the one with the lowest tag is
next. The cost of a request is its slot time, so that long requests count for more than
short ones. Deficit round robin, the alternative, needs a quantum that suits every
service time.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from ..errors import Refusal

MAX_TENANTS = 256
"""Number of tracked tenants from which idle ones are evicted to make room."""

MAX_TAG_LEAD_S = 1.0
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
class _TenantState:
    tag: float
    waiters: deque[Waiter] = field(default_factory=deque)


class TenantQueue:
    """The queued requests of one priority, served fairly between tenants."""

    def __init__(self) -> None:
        self._tenants: dict[str, _TenantState] = {}
        self._backlogged: dict[str, _TenantState] = {}
        self._virtual_time_s = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over the requests, tenant by tenant."""
        return (w for state in self._backlogged.values() for w in state.waiters)

    @property
    def tracked_tenants(self) -> int:
        """Return the number of tenants with a tag in memory."""
        return len(self._tenants)

    def push(self, waiter: Waiter) -> None:
        """Append a request to the queue of its tenant."""
        state = self._tenants.get(waiter.tenant)
        if state is None:
            self._evict_idle()
            state = self._tenants[waiter.tenant] = _TenantState(self._virtual_time_s)
        if not state.waiters:
            state.tag = max(state.tag, self._virtual_time_s)
            self._backlogged[waiter.tenant] = state
        state.waiters.append(waiter)
        self._size += 1

    def pop(self, cost_s: float) -> Waiter:
        """Remove and return the next request; charge its tenant the expected cost."""
        tenant, state = min(self._backlogged.items(), key=lambda item: item[1].tag)
        waiter = state.waiters.popleft()
        self._finish_removal(tenant, state)
        self._virtual_time_s = max(self._virtual_time_s, state.tag)
        state.tag += cost_s
        return waiter

    def correct_charge(self, tenant: str, correction_s: float) -> None:
        """Correct a charge once the actual slot time is known."""
        state = self._tenants.get(tenant)
        if state is not None:
            state.tag = min(
                state.tag + correction_s, self._virtual_time_s + MAX_TAG_LEAD_S
            )

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; do nothing if it is not queued."""
        state = self._backlogged.get(waiter.tenant)
        if state is not None and waiter in state.waiters:
            state.waiters.remove(waiter)
            self._finish_removal(waiter.tenant, state)

    def find_newest_excess(self) -> tuple[Waiter, bool]:
        """Return the newest request of the tenant with the most queued requests.

        The flag states whether that tenant has more than an equal share among several
        tenants. Among equals, the tenant that began to wait last is chosen.
        """
        states = reversed(list(self._backlogged.values()))
        state = max(states, key=lambda tenant: len(tenant.waiters))
        over_share = len(state.waiters) * len(self._backlogged) > self._size
        return state.waiters[-1], over_share

    def _finish_removal(self, tenant: str, state: _TenantState) -> None:
        self._size -= 1
        if not state.waiters:
            del self._backlogged[tenant]

    def _evict_idle(self) -> None:
        """Make room for a tenant by evicting idle ones with the lowest tags.

        Tags restart at the virtual time, so the lowest tags change least.
        """
        if len(self._tenants) < MAX_TENANTS:
            return
        idle = [name for name in self._tenants if name not in self._backlogged]
        idle.sort(key=lambda name: self._tenants[name].tag)
        for name in idle[: max(1, len(idle) // 2)]:
            del self._tenants[name]

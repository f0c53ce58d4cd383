"""The queue of requests that wait for a slot, in the order in which they start.

Load pattern: a rate limit, or a server that is slow at once, lets hundreds of requests
wait. The cost of a start must not grow with their number.
"""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from typing import Generic, NamedTuple, TypeVar

from .fair_tags import FairTags
from .scheduling import QueuedRequest, get_sort_key, is_exempt, is_late, order_fairly

_Request = TypeVar("_Request", bound=QueuedRequest)


class _Group(NamedTuple):
    """What the requests of a group have in common; groups sort in order of start."""

    late: bool
    rank: int
    duration_class: int
    short: bool
    tenant: str


@dataclass(slots=True)
class _RankTenants:
    """The tenants with waiting requests of one rank: their numbers and their tags."""

    counts: Counter[str] = field(default_factory=Counter)
    tags: FairTags = field(default_factory=FairTags)


class RequestQueue(Generic[_Request]):
    """Keeps requests in groups that start one after another.

    Within a group the newest request starts first. A request changes its group once,
    when it can no longer be on time. Tenants are served fairly from the first request
    of a tenant on, which sets ``has_tenants``.
    """

    def __init__(self) -> None:
        # The requests of a group are in order of arrival.
        self._groups: dict[_Group, dict[_Request, None]] = {}
        self._group_of: dict[_Request, _Group] = {}
        self._turning_late: list[tuple[float, int, _Request]] = []
        self._numbers = count()
        self._ranks: dict[int, _RankTenants] = {}
        self.has_tenants = False

    def __len__(self) -> int:
        return len(self._group_of)

    def __iter__(self) -> Iterator[_Request]:
        return iter(self._group_of)

    def add(self, request: _Request, now_s: float) -> None:
        """Add a request that has arrived."""
        late = is_late(request, now_s)
        if self.has_tenants or request.tenant:
            self._count(request)
        self._put(request, late)
        if not late and not request.short:
            item = (request.late_after_s, next(self._numbers), request)
            heapq.heappush(self._turning_late, item)

    def discard(self, request: _Request) -> None:
        """Remove a request if it is in the queue."""
        if request not in self._group_of:
            return
        self._take(request)
        if self.has_tenants:
            self._uncount(request)

    def start(self, request: _Request) -> None:
        """Remove a request that starts, and charge its tenant for it."""
        if self.has_tenants and not is_exempt(request):
            tags = self._ranks[request.rank].tags
            tags.charge(request.tenant, request.service_time_s)
        self.discard(request)

    def get_tag(self, request: QueuedRequest) -> float:
        """Return the tag of a request's tenant among the requests of its rank."""
        tenants = self._ranks.get(request.rank)
        return 0.0 if tenants is None else tenants.tags.get_limited(request.tenant)

    def list_heads(self, now_s: float) -> list[_Request]:
        """Return the first request of each group; one of them starts next."""
        self._regroup(now_s)
        return [next(reversed(requests)) for requests in self._groups.values()]

    def list_in_order(self, now_s: float) -> list[_Request]:
        """Return all requests in the order in which they start."""
        self._regroup(now_s)
        ordered: list[_Request] = []
        for group in sorted(self._groups):
            ordered += reversed(self._groups[group])
        # Short requests start among the others of their duration. The list is nearly in
        # order, which sorting takes advantage of.
        ordered.sort(key=lambda request: get_sort_key(request, now_s))
        if not any(len(tenants.counts) > 1 for tenants in self._ranks.values()):
            return ordered
        return order_fairly(ordered, now_s, self.get_tag)

    def _count(self, request: _Request) -> None:
        """Count a request that is being added for its tenant."""
        waiting = [request] if self.has_tenants else [*self._group_of, request]
        self.has_tenants = True
        for counted in waiting:
            tenants = self._ranks.setdefault(counted.rank, _RankTenants())
            if not tenants.counts[counted.tenant]:
                tenants.tags.activate(counted.tenant, tenants.counts)
            tenants.counts[counted.tenant] += 1

    def _uncount(self, request: _Request) -> None:
        tenants = self._ranks[request.rank]
        tenants.counts[request.tenant] -= 1
        if not tenants.counts[request.tenant]:
            del tenants.counts[request.tenant]
        if not tenants.counts:
            # Tags matter only between requests that wait.
            del self._ranks[request.rank]

    def _put(self, request: _Request, late: bool) -> None:
        group = _Group(
            late, request.rank, request.duration_class, request.short, request.tenant
        )
        self._group_of[request] = group
        self._groups.setdefault(group, {})[request] = None

    def _take(self, request: _Request) -> None:
        group = self._group_of.pop(request)
        requests = self._groups[group]
        del requests[request]
        if not requests:
            del self._groups[group]

    def _regroup(self, now_s: float) -> None:
        """Move the requests that can no longer be on time."""
        while self._turning_late and self._turning_late[0][0] < now_s:
            request = heapq.heappop(self._turning_late)[2]
            if request in self._group_of:
                self._take(request)
                self._put(request, late=True)

"""The queue of requests that wait for a slot, in the order in which they start.

Load pattern: a rate limit, or a server that is slow at once, lets hundreds of requests
wait. The cost of a start must not grow with their number.
"""

import heapq
from collections.abc import Iterator
from itertools import count
from typing import Generic, NamedTuple, TypeVar

from .scheduling import QueuedRequest, get_sort_key, is_late

_Request = TypeVar("_Request", bound=QueuedRequest)


class _Group(NamedTuple):
    """What the requests of a group have in common; groups sort in order of start."""

    late: bool
    rank: int
    duration_class: int
    short: bool


class RequestQueue(Generic[_Request]):
    """Keeps requests in groups that start one after another.

    Within a group the newest request starts first. A request changes its group once,
    when it can no longer be on time.
    """

    def __init__(self) -> None:
        # The requests of a group are in order of arrival.
        self._groups: dict[_Group, dict[_Request, None]] = {}
        self._group_of: dict[_Request, _Group] = {}
        self._turning_late: list[tuple[float, int, _Request]] = []
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._group_of)

    def __iter__(self) -> Iterator[_Request]:
        return iter(self._group_of)

    def add(self, request: _Request, now_s: float) -> None:
        """Add a request that has arrived."""
        late = is_late(request, now_s)
        self._put(request, late)
        if not late and not request.short:
            item = (request.late_after_s, next(self._numbers), request)
            heapq.heappush(self._turning_late, item)

    def discard(self, request: _Request) -> None:
        """Remove a request if it is in the queue."""
        group = self._group_of.pop(request, None)
        if group is None:
            return
        requests = self._groups[group]
        del requests[request]
        if not requests:
            del self._groups[group]

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
        return ordered

    def _put(self, request: _Request, late: bool) -> None:
        group = _Group(late, request.rank, request.duration_class, request.short)
        self._group_of[request] = group
        self._groups.setdefault(group, {})[request] = None

    def _regroup(self, now_s: float) -> None:
        """Move the requests that can no longer be on time."""
        while self._turning_late and self._turning_late[0][0] < now_s:
            request = heapq.heappop(self._turning_late)[2]
            if request in self._group_of:
                self.discard(request)
                self._put(request, late=True)

"""Scheduling of queued requests: which starts next, and which to refuse early.

The rules address three load patterns:

- Bursts of one to three times the capacity for some seconds, or all callers returning
  after a power loss: requests that can still be on time go first, by urgency, then
  newest first. In order of arrival, each request would wait until it is just too late,
  even long after the burst.
- Nested calls among long requests of the same urgency: short requests go first, because
  the caller's own request holds a slot while it waits for each of them.
- More requests than a rate limit allows: a late request takes none of the starts that
  one on time could use. While one on time waits it is refused at once, so that its
  caller tries elsewhere.
- Service times that change several-fold within a tenth of a second: a request that is
  expected to start too late for its deadline is refused as soon as that is known, not
  when the deadline has passed.
- A tenant that sends many times its usual load: among requests of the same urgency the
  tenant that has had the least slot time is next, so that the excess of one tenant
  waits and is refused, and not the requests of the others.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from itertools import groupby
from typing import TypeVar

MIN_SERVICE_TIME_FRACTION = 0.8
"""Fraction of the typical service time that must remain before the target for a
request to count as on time.

Half of the requests take less than the typical time.
"""

SHORT_REQUEST_FRACTION = 0.4
"""A request is short if its typical service time is at most this fraction of the
longest typical service time at its backend server."""

LATE_SLOT_FRACTION = 0.7
"""Fraction of the slots up to which late requests are started.

The remaining slots, at least one if there are two or more, are left to requests that
can be on time. If late requests could take all slots, a temporary overload would
persist, because callers retry after late responses.
"""

MAX_QUEUED_LATE_FRACTION = 0.5
"""Most late requests in the queue, as a fraction of the slots.

New requests overtake late ones, so that any more would wait without being served; it
is better for their callers to retry.
"""

SERVICE_TIME_MARGIN = 1.5
"""Multiple of the typical service time that must remain before the deadline.

A request that is aborted at its deadline has wasted its slot.
"""

_MIN_SERVICE_TIME_S = 0.001


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for a slot.

    ``service_time_s`` is the typical service time in seconds; the other times are
    seconds on the event loop's clock. The response is on time until ``target_s`` and
    useless after ``deadline_s``. ``short`` marks a request that takes a small fraction
    of the time that others take at this server: it may be a nested call, whose caller's
    request holds a slot elsewhere and fails if this one does. ``late_after_s`` is the
    time after which a start is too late for ``target_s``. Service times within a factor
    of about two have the same ``duration_class``.
    """

    rank: int
    service_time_s: float
    arrived_s: float
    target_s: float
    deadline_s: float
    short: bool = False
    tenant: str = ""
    late_after_s: float = field(init=False)
    duration_class: int = field(init=False)

    def __post_init__(self) -> None:
        needed_s = MIN_SERVICE_TIME_FRACTION * self.service_time_s
        self.late_after_s = self.target_s - needed_s
        shortest_s = max(self.service_time_s, _MIN_SERVICE_TIME_S)
        self.duration_class = round(math.log2(shortest_s))


_Request = TypeVar("_Request", bound=QueuedRequest)


@dataclass(frozen=True, slots=True)
class ExpectedStart:
    """The expected time until a waiting request gets its slot, in seconds."""

    item: QueuedRequest
    wait_s: float


def is_late(request: QueuedRequest, now_s: float) -> bool:
    """Return whether a request that starts now is unlikely to be on time.

    Short requests never count as late: refusing one saves little work and wastes all
    the work that its caller has done.
    """
    return not request.short and now_s > request.late_after_s


def get_sort_key(
    request: QueuedRequest, now_s: float, tag: float = 0.0
) -> tuple[bool, int, float, int, float]:
    """Return the sort key: on time first, then by rank, length and newest first.

    ``tag`` comes before the length; see ``fair_tags``.
    """
    late = is_late(request, now_s)
    return (late, request.rank, tag, request.duration_class, -request.arrived_s)


def is_exempt(request: QueuedRequest) -> bool:
    """Return whether a request is not held back for the sake of other tenants.

    It may be a nested call, whose caller's request holds a slot meanwhile.
    """
    return request.short and not request.tenant


def order_fairly(
    ordered: Iterable[_Request],
    now_s: float,
    get_tag: Callable[[QueuedRequest], float],
) -> list[_Request]:
    """Return requests in the order in which they start if tenants are served fairly.

    ``ordered`` are in the order in which they would start if all were of one tenant.
    """
    tags: dict[tuple[int, str], float] = {}
    fair: list[_Request] = []
    for _, group in groupby(ordered, key=lambda r: (is_late(r, now_s), r.rank)):
        tagged: list[tuple[float, _Request]] = []
        for request in group:
            if is_exempt(request):
                tagged.append((-math.inf, request))
                continue
            key = (request.rank, request.tenant)
            tag = tags[key] if key in tags else get_tag(request)
            tagged.append((tag, request))
            tags[key] = tag + request.service_time_s
        # Sorting is stable: requests with the same tag keep their order.
        tagged.sort(key=lambda pair: pair[0])
        fair += [request for _, request in tagged]
    return fair


def select_next(
    waiting: Collection[QueuedRequest],
    now_s: float,
    slots: int,
    in_use: int,
    reserved_slots: int = 0,
    *,
    late_may_start: bool = True,
    get_tag: Callable[[QueuedRequest], float] | None = None,
) -> QueuedRequest | None:
    """Return the request that gets the next slot, or None if none may start.

    ``reserved_slots`` is the number of slots that only short requests may use. Late
    requests start only if ``late_may_start`` is set. ``get_tag`` returns the tag of a
    request's tenant if tenants are to be served fairly.
    """
    if in_use >= slots:
        return None
    startable = [
        request
        for request in waiting
        if in_use < _get_slot_limit(request, now_s, slots, reserved_slots)
        and (late_may_start or not is_late(request, now_s))
    ]
    if get_tag is None or len({request.tenant for request in startable}) < 2:
        return min(
            startable, key=lambda request: get_sort_key(request, now_s), default=None
        )

    def get_fair_sort_key(
        request: QueuedRequest,
    ) -> tuple[bool, int, float, int, float]:
        tag = -math.inf if is_exempt(request) else get_tag(request)
        return get_sort_key(request, now_s, tag)

    return min(startable, key=get_fair_sort_key)


def _get_slot_limit(
    request: QueuedRequest, now_s: float, slots: int, reserved_slots: int
) -> float:
    """Return the most slots that may be in use, counting the slot of this request."""
    if request.short:
        return slots
    slot_limit = max(1, slots - reserved_slots)
    if is_late(request, now_s):
        return min(slot_limit, max(1, min(LATE_SLOT_FRACTION * slots, slots - 1)))
    return slot_limit


def estimate_starts(
    waiting: Collection[QueuedRequest],
    now_s: float,
    slots: int,
    next_start_s: float,
    min_interval_s: float = 0.0,
) -> list[ExpectedStart]:
    """Return the expected waits of all requests, in the order in which they start.

    ``next_start_s`` is the expected time in seconds until the first of them starts,
    ``min_interval_s`` the least time between two starts under a rate limit.
    """
    ordered = sorted(waiting, key=lambda request: get_sort_key(request, now_s))
    return sum_up_waits(ordered, slots, next_start_s, min_interval_s)


def sum_up_waits(
    ordered: Iterable[QueuedRequest],
    slots: int,
    next_start_s: float,
    min_interval_s: float,
) -> list[ExpectedStart]:
    """Return the expected waits of requests that are in the order of their starts.

    The other arguments are those of ``estimate_starts``.
    """
    expected_starts = []
    wait_s = next_start_s
    for request in ordered:
        expected_starts.append(ExpectedStart(request, wait_s))
        wait_s += max(request.service_time_s / slots, min_interval_s)
    return expected_starts


def find_requests_to_refuse(
    expected_starts: Collection[ExpectedStart],
    now_s: float,
    slots: int,
    *,
    rate_limited: bool = False,
) -> list[ExpectedStart]:
    """Return the requests to refuse now.

    These are late requests beyond the allowed number, and requests that are expected to
    finish after their deadline. Under a rate limit no late request waits beside one
    that can be on time.
    """
    late = [expected for expected in expected_starts if is_late(expected.item, now_s)]
    max_late = max(1, math.ceil(MAX_QUEUED_LATE_FRACTION * slots))
    if rate_limited and len(late) < len(expected_starts):
        max_late = 0
    excess_late = late[max_late:]
    excess_items = {expected.item for expected in excess_late}
    return excess_late + [
        expected
        for expected in expected_starts
        if expected.item not in excess_items
        and now_s + expected.wait_s + SERVICE_TIME_MARGIN * expected.item.service_time_s
        > expected.item.deadline_s
    ]

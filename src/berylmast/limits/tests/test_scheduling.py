"""Tests of request scheduling.

In a queue in order of arrival, an overload makes every request wait until it is late.
"""

import heapq
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from ..scheduling import (
    SERVICE_TIME_MARGIN,
    QueuedRequest,
    estimate_starts,
    find_requests_to_refuse,
    get_sort_key,
    select_next,
)

TARGET_S = 0.25
DEADLINE_S = 1.0
SERVICE_TIME_S = 0.1


def make_request(
    rank: int = 0,
    service_time_s: float = SERVICE_TIME_S,
    arrived_s: float = 0.0,
    target_s: float = TARGET_S,
    deadline_s: float = DEADLINE_S,
) -> QueuedRequest:
    return QueuedRequest(
        rank, service_time_s, arrived_s, arrived_s + target_s, arrived_s + deadline_s
    )


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (make_request(rank=0), make_request(rank=1)),
        (make_request(arrived_s=0.1), make_request(arrived_s=0.0)),
        (make_request(rank=1, arrived_s=0.2), make_request(rank=0, arrived_s=-0.1)),
        (
            make_request(service_time_s=0.02),
            make_request(service_time_s=0.1, arrived_s=0.1),
        ),
        (
            make_request(service_time_s=0.1, arrived_s=0.1),
            make_request(service_time_s=0.12),
        ),
    ],
    ids=["urgent", "new", "on-time", "short", "about-equal-length"],
)
def test_order_of_two_requests(first: QueuedRequest, second: QueuedRequest) -> None:
    now_s = 0.2
    assert get_sort_key(first, now_s) < get_sort_key(second, now_s)
    assert select_next([second, first], now_s, 4, 0) is first


@pytest.mark.parametrize(
    ("late", "slots", "in_use", "starts"),
    [
        (False, 9, 8, True),
        (False, 9, 9, False),
        (True, 9, 6, True),
        (True, 9, 7, False),
        (False, 3, 2, True),
        (True, 3, 1, True),
        (True, 3, 2, False),
        (True, 2, 0, True),
        (True, 2, 1, False),
        (True, 1, 0, True),
    ],
)
def test_late_requests_leave_slots_to_those_on_time(
    late: bool, slots: int, in_use: int, starts: bool
) -> None:
    """If late requests took every slot, an overload would persist."""
    request = make_request(arrived_s=-0.3 if late else 0.0)
    selected = select_next([request], 0.0, slots, in_use)
    assert (selected is request) == starts


@pytest.mark.parametrize(
    ("short", "in_use", "starts"),
    [(False, 1, True), (False, 2, False), (True, 2, True), (True, 3, False)],
)
def test_reserved_slots_go_to_short_requests(
    short: bool, in_use: int, starts: bool
) -> None:
    """Nested calls must not wait behind requests that would slow down their server."""
    request = replace(make_request(), short=short)
    selected = select_next([request], 0.0, 3, in_use, reserved_slots=1)
    assert (selected is request) == starts


def test_reserved_slot_is_not_blocked_by_long_request() -> None:
    """A reserved slot must not stay free because a long request is first in order."""
    urgent = make_request(rank=0)
    nested_call = replace(make_request(rank=1), short=True)
    assert (
        select_next([urgent, nested_call], 0.0, 3, 2, reserved_slots=1) is nested_call
    )


def test_late_short_request_is_served() -> None:
    """Refusing a late nested call would fail a request that holds a slot elsewhere."""
    nested_call = replace(make_request(service_time_s=0.02, arrived_s=-0.3), short=True)
    fresh = make_request()
    assert select_next([fresh, nested_call], 0.0, 9, 8) is nested_call
    assert select_next([replace(nested_call, rank=1), fresh], 0.0, 9, 8) is fresh


def test_late_requests_beyond_a_few_are_refused_the_oldest_first() -> None:
    """Late requests must not be kept waiting while all new requests overtake them."""
    late = [make_request(arrived_s=-0.3 - 0.01 * n) for n in range(8)]
    expected_starts = estimate_starts([*late, make_request()], 0.0, 9, 0.01)
    refused = [
        expected.item for expected in find_requests_to_refuse(expected_starts, 0.0, 9)
    ]
    assert refused == late[5:]


def test_empty_queue() -> None:
    assert select_next([], 0.0, 4, 0) is None
    assert estimate_starts([], 0.0, 4, 0.1) == []


def test_only_unmeetable_deadlines_are_refused() -> None:
    """A request must not be kept waiting until its deadline has passed."""
    waiting = [make_request(arrived_s=-0.1 + 0.001 * n) for n in range(40)]
    expected_starts = estimate_starts(waiting, 0.0, 4, 0.05)
    refused = find_requests_to_refuse(expected_starts, 0.0, 4)
    assert 0 < len(refused) < len(waiting)
    for expected in refused:
        assert (
            expected.wait_s + SERVICE_TIME_MARGIN * SERVICE_TIME_S
            > expected.item.deadline_s
        )
    assert {id(e) for e in expected_starts[-len(refused) :]} == {id(e) for e in refused}


@dataclass
class SimulatedServer:
    """A simulated server that serves requests in a given order.

    ``order`` is ``backlog`` for the scheduling under test, or the name of a baseline:
    ``arrival``, ``priority``, or ``refuse``, which refuses instead of queueing.
    """

    slots: int
    order: str
    waiting: list[QueuedRequest] = field(default_factory=list)
    end_times_s: list[float] = field(default_factory=list)
    on_time: int = 0
    served: int = 0

    def run(self, arrivals: list[QueuedRequest], rng: Random) -> None:
        """Simulate all arrivals, which are sorted by time."""
        for request in arrivals:
            self.advance(request.arrived_s, rng)
            if self.order == "refuse" and len(self.end_times_s) >= self.slots:
                continue
            self.waiting.append(request)
            self.start_requests(request.arrived_s, rng)
        self.advance(float("inf"), rng)

    def advance(self, now_s: float, rng: Random) -> None:
        while self.end_times_s and self.end_times_s[0] <= now_s:
            end_s = heapq.heappop(self.end_times_s)
            self.start_requests(end_s, rng)

    def start_requests(self, now_s: float, rng: Random) -> None:
        while len(self.end_times_s) < self.slots:
            request = self.take_next(now_s)
            if request is None:
                return
            end_s = now_s + request.service_time_s * rng.uniform(0.7, 1.4)
            heapq.heappush(self.end_times_s, end_s)
            self.on_time += end_s <= request.target_s
            self.served += end_s <= request.deadline_s

    def take_next(self, now_s: float) -> QueuedRequest | None:
        if self.order == "backlog":
            expected_starts = estimate_starts(self.waiting, now_s, self.slots, 0.0)
            for expected in find_requests_to_refuse(expected_starts, now_s, self.slots):
                self.waiting.remove(expected.item)
        else:
            self.waiting = [w for w in self.waiting if now_s < w.deadline_s]
        request: QueuedRequest | None
        if self.order == "priority":
            key = (
                min((w.rank, w.arrived_s) for w in self.waiting) if self.waiting else 0
            )
            request = next(
                (w for w in self.waiting if (w.rank, w.arrived_s) == key), None
            )
        elif self.order == "backlog":
            request = select_next(
                self.waiting, now_s, self.slots, len(self.end_times_s)
            )
        else:
            request = self.waiting[0] if self.waiting else None
        if request is not None:
            self.waiting.remove(request)
        return request


def make_burst(seed: int) -> list[QueuedRequest]:
    """Return 10 s of arrivals at 0.75 of the capacity, with 3 s at 2.5 times it."""
    rng = Random(seed)
    now_s, arrivals = 0.0, []
    while now_s < 10.0:
        factor = 2.5 if 2.0 <= now_s < 5.0 else 0.75
        now_s += rng.expovariate(factor * 9 / SERVICE_TIME_S)
        arrivals.append(make_request(arrived_s=now_s, rank=rng.choice((0, 0, 1))))
    return arrivals


def simulate(order: str, seed: int) -> SimulatedServer:
    server = SimulatedServer(9, order)
    server.run(make_burst(seed), Random(seed + 1))
    return server


@pytest.mark.parametrize("seed", range(5))
def test_burst_leaves_more_on_time_than_the_baselines(seed: int) -> None:
    """A burst of some seconds must not make every later request late."""
    scheduled = simulate("backlog", seed)
    for order in ("arrival", "refuse", "priority"):
        baseline = simulate(order, seed)
        assert scheduled.on_time >= baseline.on_time, order
    arrival = simulate("arrival", seed)
    assert scheduled.on_time > 1.3 * arrival.on_time
    assert scheduled.served > 0.9 * arrival.served

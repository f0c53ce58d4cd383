"""Tests of request scheduling.

In a queue in order of arrival, an overload makes every request wait until it is late.
"""

import heapq
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from ..backlog import (
    SERVICE_TIME_MARGIN,
    QueuedRequest,
    estimate_starts,
    find_requests_to_refuse,
    get_sort_key,
    select_next,
)

TARGET_S = 0.25
DEADLINE_S = 1.0
WORK_S = 0.1


def make_waiting(
    rank: int = 0,
    service_time_s: float = WORK_S,
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
        (make_waiting(rank=0), make_waiting(rank=1)),
        (make_waiting(arrived_s=0.1), make_waiting(arrived_s=0.0)),
        (make_waiting(rank=1, arrived_s=0.2), make_waiting(rank=0, arrived_s=-0.1)),
        (
            make_waiting(service_time_s=0.02),
            make_waiting(service_time_s=0.1, arrived_s=0.1),
        ),
        (
            make_waiting(service_time_s=0.1, arrived_s=0.1),
            make_waiting(service_time_s=0.12),
        ),
    ],
    ids=["urgent", "new", "on-time", "short", "about-equal-length"],
)
def test_order_of_two(first: QueuedRequest, second: QueuedRequest) -> None:
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
    item = make_waiting(arrived_s=-0.3 if late else 0.0)
    found = select_next([item], 0.0, slots, in_use)
    assert (found is item) == starts


@pytest.mark.parametrize(
    ("short", "in_use", "starts"),
    [(False, 1, True), (False, 2, False), (True, 2, True), (True, 3, False)],
)
def test_kept_slots_go_to_short_requests(
    short: bool, in_use: int, starts: bool
) -> None:
    """Nested calls must not wait behind requests that would slow down their server."""
    item = replace(make_waiting(), short=short)
    found = select_next([item], 0.0, 3, in_use, reserved_slots=1)
    assert (found is item) == starts


def test_kept_slot_is_not_blocked_by_what_may_not_take_it() -> None:
    """A reserved slot must not stay free because a long request is first in order."""
    urgent = make_waiting(rank=0)
    call = replace(make_waiting(rank=1), short=True)
    assert select_next([urgent, call], 0.0, 3, 2, reserved_slots=1) is call


def test_short_request_is_served_also_when_it_is_late() -> None:
    """Refusing a late nested call would fail a request that holds a slot elsewhere."""
    call = replace(make_waiting(service_time_s=0.02, arrived_s=-0.3), short=True)
    fresh = make_waiting()
    assert select_next([fresh, call], 0.0, 9, 8) is call
    assert select_next([replace(call, rank=1), fresh], 0.0, 9, 8) is fresh


def test_late_requests_beyond_a_few_are_refused_the_oldest_first() -> None:
    """Late requests must not be kept waiting while all new requests overtake them."""
    late = [make_waiting(arrived_s=-0.3 - 0.01 * n) for n in range(8)]
    turns = estimate_starts([*late, make_waiting()], 0.0, 9, 0.01)
    refused = [turn.request for turn in find_requests_to_refuse(turns, 0.0, 9)]
    assert refused == late[5:]


def test_nothing_waits() -> None:
    assert select_next([], 0.0, 4, 0) is None
    assert estimate_starts([], 0.0, 4, 0.1) == []


def test_only_what_would_end_after_its_deadline_is_hopeless() -> None:
    """A request must not be kept waiting until its deadline has passed."""
    waiting = [make_waiting(arrived_s=-0.1 + 0.001 * n) for n in range(40)]
    turns = estimate_starts(waiting, 0.0, 4, 0.05)
    hopeless = find_requests_to_refuse(turns, 0.0, 4)
    assert 0 < len(hopeless) < len(waiting)
    for turn in hopeless:
        assert turn.wait_s + SERVICE_TIME_MARGIN * WORK_S > turn.request.deadline_s
    assert {id(t) for t in turns[-len(hopeless) :]} == {id(t) for t in hopeless}


@dataclass
class Replay:
    """A simulated server that serves requests in a given order.

    ``order`` is ``backlog`` for the scheduling under test, or the name of a baseline:
    ``arrival``, ``priority``, or ``refuse``, which refuses instead of queueing.
    """

    slots: int
    order: str
    waiting: list[QueuedRequest] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    on_time: int = 0
    served: int = 0

    def run(self, arrivals: list[QueuedRequest], rng: Random) -> None:
        """Simulate all arrivals, which are sorted by time."""
        for item in arrivals:
            self.advance(item.arrived_s, rng)
            if self.order == "refuse" and len(self.ends) >= self.slots:
                continue
            self.waiting.append(item)
            self.start(item.arrived_s, rng)
        self.advance(float("inf"), rng)

    def advance(self, now_s: float, rng: Random) -> None:
        while self.ends and self.ends[0] <= now_s:
            ended_s = heapq.heappop(self.ends)
            self.start(ended_s, rng)

    def start(self, now_s: float, rng: Random) -> None:
        while len(self.ends) < self.slots:
            item = self.take(now_s)
            if item is None:
                return
            ended_s = now_s + item.service_time_s * rng.uniform(0.7, 1.4)
            heapq.heappush(self.ends, ended_s)
            self.on_time += ended_s <= item.target_s
            self.served += ended_s <= item.deadline_s

    def take(self, now_s: float) -> QueuedRequest | None:
        if self.order == "backlog":
            turns = estimate_starts(self.waiting, now_s, self.slots, 0.0)
            for turn in find_requests_to_refuse(turns, now_s, self.slots):
                self.waiting.remove(turn.request)
        else:
            self.waiting = [w for w in self.waiting if now_s < w.deadline_s]
        item: QueuedRequest | None
        if self.order == "priority":
            key = (
                min((w.rank, w.arrived_s) for w in self.waiting) if self.waiting else 0
            )
            item = next((w for w in self.waiting if (w.rank, w.arrived_s) == key), None)
        elif self.order == "backlog":
            item = select_next(self.waiting, now_s, self.slots, len(self.ends))
        else:
            item = self.waiting[0] if self.waiting else None
        if item is not None:
            self.waiting.remove(item)
        return item


def make_burst(seed: int) -> list[QueuedRequest]:
    """Return 10 s of arrivals at 0.75 of the capacity, with 3 s at 2.5 times it."""
    rng = Random(seed)
    now_s, arrivals = 0.0, []
    while now_s < 10.0:
        factor = 2.5 if 2.0 <= now_s < 5.0 else 0.75
        now_s += rng.expovariate(factor * 9 / WORK_S)
        arrivals.append(make_waiting(arrived_s=now_s, rank=rng.choice((0, 0, 1))))
    return arrivals


def replay(order: str, seed: int) -> Replay:
    found = Replay(9, order)
    found.run(make_burst(seed), Random(seed + 1))
    return found


@pytest.mark.parametrize("seed", range(5))
def test_burst_leaves_more_on_time_than_the_baselines(seed: int) -> None:
    """A burst of some seconds must not make every later request late."""
    ours = replay("backlog", seed)
    for order in ("arrival", "refuse", "priority"):
        other = replay(order, seed)
        assert ours.on_time >= other.on_time, order
    arrival = replay("arrival", seed)
    assert ours.on_time > 1.3 * arrival.on_time
    assert ours.served > 0.9 * arrival.served

"""Tests that the queue keeps the order of the scheduling rules at a bounded cost."""

from dataclasses import replace
from random import Random

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...model import AttemptResult
from ...tests.fake_parts import make_head, make_slice
from .. import slot_admission
from ..backend_notices import NoNotices
from ..request_queue import RequestQueue
from ..scheduling import (
    ExpectedStart,
    QueuedRequest,
    get_sort_key,
    select_next,
    sum_up_waits,
)
from ..slot_admission import FULL_CHECK_FRACTION, SlotAdmission

pytestmark = pytest.mark.anyio

SLOTS = 4

REQUESTS = st.builds(
    QueuedRequest,
    rank=st.integers(0, 2),
    service_time_s=st.sampled_from([0.01, 0.05, 0.06, 0.4]),
    arrived_s=st.just(0.0),
    target_s=st.floats(0.0, 2.0),
    deadline_s=st.just(4.0),
    short=st.booleans(),
)


@settings(derandomize=True)
@given(
    steps=st.lists(st.tuples(REQUESTS, st.floats(0.0, 0.2), st.booleans())),
    in_use=st.integers(0, SLOTS),
    late_may_start=st.booleans(),
)
def test_order_is_that_of_all_requests_sorted(
    steps: list[tuple[QueuedRequest, float, bool]], in_use: int, late_may_start: bool
) -> None:
    queue: RequestQueue[QueuedRequest] = RequestQueue()
    waiting: list[QueuedRequest] = []
    now_s = 0.0
    for number, (drawn, step_s, leaves) in enumerate(steps):
        # No two requests arrive at the same time, so that the order is unique.
        now_s += step_s + 1e-6
        request = replace(drawn, arrived_s=now_s, target_s=now_s + drawn.target_s)
        queue.add(request, now_s)
        waiting.append(request)
        if leaves:
            queue.discard(waiting.pop(number % len(waiting)))
        ordered = sorted(waiting, key=lambda r: get_sort_key(r, now_s))
        assert queue.list_in_order(now_s) == ordered
        assert len(queue) == len(waiting)
        first = [
            select_next(
                requests, now_s, SLOTS, in_use, 1, late_may_start=late_may_start
            )
            for requests in (queue.list_heads(now_s), waiting)
        ]
        assert first[0] is first[1]


class _Limit(NoNotices):
    """States a rate limit."""

    rate_limit = 100.0


async def _count_work(
    length: int, monkeypatch: pytest.MonkeyPatch
) -> tuple[float, float]:
    """Return the dispatches of one start, and the requests checked in one dispatch."""
    dispatches, checked, starts = 0, 0, 0
    dispatch = SlotAdmission._dispatch

    def count_dispatch(self: SlotAdmission, slots: int, now_s: float) -> None:
        nonlocal dispatches
        dispatches += 1
        dispatch(self, slots, now_s)

    def count_checked(
        ordered: list[QueuedRequest], slots: int, next_start_s: float, interval_s: float
    ) -> list[ExpectedStart]:
        nonlocal checked
        checked += len(ordered)
        return sum_up_waits(ordered, slots, next_start_s, interval_s)

    service = make_slice(slots=SLOTS)
    admission = SlotAdmission("b1", 1, lambda: service, rng=Random(1), notices=_Limit())
    head = replace(make_head(), deadline_ms=3_600_000, target_ms=3_600_000)

    async def run(tg: anyio.abc.TaskGroup) -> None:
        nonlocal starts
        permit = (await admission.acquire(head)).unwrap()
        starts += 1
        tg.start_soon(run, tg)
        await anyio.sleep(0.01)
        permit.release(AttemptResult(ok=True, refused=False, latency_s=0.01))

    async with anyio.create_task_group() as tg:
        for _ in range(length):
            tg.start_soon(run, tg)
        await anyio.sleep(1)
        monkeypatch.setattr(SlotAdmission, "_dispatch", count_dispatch)
        monkeypatch.setattr(slot_admission, "sum_up_waits", count_checked)
        starts = 0
        await anyio.sleep(2)
        monkeypatch.undo()
        tg.cancel_scope.cancel()
    assert starts > 100
    return dispatches / starts, checked / dispatches


@pytest.mark.parametrize("length", [10, 100, 1_000])
async def test_work_of_a_start_under_a_rate_limit_does_not_grow_with_the_queue(
    length: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each start woke all that waited, and each of them checked the whole queue.

    With some hundreds of requests the daemon answered nobody any more.
    """
    dispatches, checked = await _count_work(length, monkeypatch)
    assert dispatches <= 4, "an arrival, an end, a start that is due"
    assert checked <= 1.1 / FULL_CHECK_FRACTION

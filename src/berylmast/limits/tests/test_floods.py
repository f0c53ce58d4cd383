"""Tests that a flood of one priority leaves the floors of the others intact."""

import pytest

from ...model import Priority
from .traffic import PRIORITIES, Flow, make_adaptive_admission, run_flows

pytestmark = pytest.mark.anyio
SECONDS = 10.0
# Requests per second that 6 slots serve at 40 ms each.
CAPACITY_PER_S = 150.0


@pytest.mark.parametrize("slots", [6, 9])
async def test_low_priority_flood_does_not_delay_urgent_requests(slots: int) -> None:
    admission = make_adaptive_admission(slots=slots)
    urgent, normal = Flow("urgent", 15), Flow("normal", 25)
    flood = Flow("browse", 4 * CAPACITY_PER_S * slots / 6)
    await run_flows(admission, [urgent, normal, flood], SECONDS)
    assert urgent.share == 1.0
    assert normal.share == 1.0
    # With a p99 wait below one service time, the p99 latency stays well within twice
    # its value without the flood.
    assert sorted(urgent.waits_s)[int(0.99 * urgent.answered)] < 0.04
    total_s = urgent.slot_s + normal.slot_s + flood.slot_s
    assert total_s > 0.75 * slots * SECONDS, "unused floors were not lent"


@pytest.mark.parametrize("slots", [1, 2, 3, 6, 9])
@pytest.mark.parametrize("offered", [0.5, 4.0])
async def test_urgent_flood_leaves_floors(slots: int, offered: float) -> None:
    admission = make_adaptive_admission(slots=slots)
    capacity = CAPACITY_PER_S * slots / 6
    flood = Flow("urgent", 2 * capacity)
    others = [
        Flow(priority.name, capacity * priority.floor * offered)
        for priority in PRIORITIES[1:]
    ]
    await run_flows(admission, [flood, *others], SECONDS)
    for flow, priority in zip(others, PRIORITIES[1:], strict=True):
        entitled_s = min(priority.floor * slots * SECONDS, flow.offered * flow.mean_s)
        assert flow.slot_s > 0.8 * entitled_s, flow.priority
    # Slot time above the floors of the others, or not used by them, goes to the flood.
    assert flood.slot_s > 0.6 * slots * SECONDS


@pytest.mark.parametrize("flood_mean_s", [1.0, 10.0])
async def test_long_low_priority_requests_leave_urgent_slots_free(
    flood_mean_s: float,
) -> None:
    """Slots must not be lent to requests that release them too late."""
    admission = make_adaptive_admission()
    flood = Flow("browse", 10, mean_s=flood_mean_s, deadline_ms=60_000)
    # Lets the admission estimate the slot time of these requests before the flood.
    await run_flows(admission, [Flow("browse", 0.1, mean_s=flood_mean_s)], 60.0)
    urgent = Flow("urgent", 30, start_s=5.0)
    await run_flows(admission, [flood, urgent], 30.0)
    assert urgent.share == 1.0
    assert sorted(urgent.waits_s)[int(0.95 * urgent.answered)] < 0.02


async def test_long_urgent_requests_leave_floors_of_active_priorities() -> None:
    admission = make_adaptive_admission()
    await run_flows(admission, [Flow("urgent", 0.1, mean_s=5.0)], 60.0)
    uploads = Flow("urgent", 5, mean_s=5.0, deadline_ms=60_000)
    normal = Flow("normal", 10)
    await run_flows(admission, [uploads, normal], 60.0)
    assert normal.share > 0.8


async def test_floors_with_sum_above_one_are_scaled() -> None:
    """A document may contain floors whose sum exceeds 1."""
    priorities = (Priority("urgent", 1.0), Priority("browse", 1.0))
    admission = make_adaptive_admission(priorities=priorities)
    flows = [Flow("urgent", 2 * CAPACITY_PER_S), Flow("browse", 2 * CAPACITY_PER_S)]
    await run_flows(admission, flows, SECONDS)
    for flow in flows:
        assert flow.slot_s == pytest.approx(0.5 * 6 * SECONDS, rel=0.1)

"""Guards the bound on a tenant's requests in every window, whatever fails.

Hypothesis chooses restarts, cuts, suspensions, records that spread late and loads that
move. The bound is that of the settings, over all daemons together.
"""

from dataclasses import dataclass

import anyio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from .quota_fleet import SimulatedFleet, count_most, get_bound, run_quota_fleet

pytestmark = pytest.mark.anyio

SIZE = 6
NUMBERS = st.integers(0, SIZE - 1)
GROUPS = st.sets(NUMBERS, min_size=1, max_size=SIZE - 1)
SPAN_S = 14.0


@dataclass(frozen=True)
class Fault:
    """A fault of some daemons from a time on, for a while."""

    kind: str
    numbers: frozenset[int]
    at_s: float
    for_s: float


FAULTS = st.builds(
    Fault,
    st.sampled_from(["restart", "cut", "suspend", "late-record"]),
    GROUPS.map(frozenset),
    st.floats(0.0, SPAN_S),
    st.floats(0.1, 8.0),
)
LOADS = st.lists(
    st.tuples(GROUPS, st.sampled_from([0.3, 1.0, 3.0]), st.floats(0.2, 4.0)),
    min_size=1,
    max_size=6,
)

LATE_RECORD_S = 2.0
"""A record reaches all daemons that are in touch within this time."""


async def inject(fleet: SimulatedFleet, fault: Fault) -> None:
    """Cause a fault and end it."""
    await anyio.sleep(fault.at_s)
    daemons = [fleet.daemons[number] for number in fault.numbers]
    others = set(range(SIZE)) - fault.numbers
    match fault.kind:
        case "restart":
            for daemon in daemons:
                daemon.stop()
            await anyio.sleep(fault.for_s if fault.for_s > 4 else 0.0)
            for daemon in daemons:
                daemon.start()
        case "cut":
            cuts_before = set(fleet.cuts)
            fleet.cut(fault.numbers, others)
            await anyio.sleep(fault.for_s)
            fleet.cuts &= cuts_before
        case "suspend":
            suspended = [daemon.quotas for daemon in daemons]
            for quotas in suspended:
                quotas.suspended = True
            await anyio.sleep(fault.for_s)
            for quotas in suspended:
                quotas.suspended = False
        case _:
            # The daemons are new; some of the others hear of them late.
            late = [fleet.daemons[n] for n in others if n % 2]
            new = {daemon.endpoint.backend for daemon in daemons}
            for daemon in daemons:
                daemon.stop()
            for other in late:
                other.known = tuple(e for e in other.known if e.backend not in new)
            for daemon in daemons:
                daemon.start()
            await anyio.sleep(min(fault.for_s, LATE_RECORD_S))
            fleet.know(fleet.daemons)


@settings(
    max_examples=40,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
@given(
    quota=st.sampled_from([(3.0, 3.0), (40.0, 0.0), (40.0, 120.0), (100.0, 20.0)]),
    faults=st.lists(FAULTS, max_size=6),
    loads=LOADS,
)
async def test_no_window_exceeds_the_bound(
    quota: tuple[float, float],
    faults: list[Fault],
    loads: list[tuple[set[int], float, float]],
) -> None:
    rate, burst = quota
    async with (
        run_quota_fleet(SIZE, {"t": quota}) as fleet,
        anyio.create_task_group() as tg,
    ):
        for fault in faults:
            tg.start_soon(inject, fleet, fault)
        for numbers, factor, span_s in loads * 2:
            load = max(5.0, rate * factor)
            await fleet.load("t", load, sorted(numbers), span_s)
        tg.cancel_scope.cancel()
    assert count_most(fleet.runs.get("t", [])) <= get_bound(rate, burst)


async def test_a_small_tenant_at_many_daemons_keeps_the_bound() -> None:
    """A whole token at each of 66 daemons would exceed the bound of 39.8."""
    async with run_quota_fleet(66, {"t": (3, 3)}) as fleet:
        await anyio.sleep(20.0)
        for number in range(0, 66, 7):
            fleet.daemons[number].stop()
            fleet.daemons[number].start()
        fleet.cut(range(33), range(33, 66))
        await fleet.load("t", 200, range(66), 3.0)
        fleet.cuts.clear()
        await fleet.load("t", 200, range(66), 6.0)
    assert count_most(fleet.runs["t"]) <= get_bound(3, 3) == pytest.approx(39.8)

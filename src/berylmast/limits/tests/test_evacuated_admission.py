"""Guards against requests that reach a server of an evacuated failure domain."""

from collections.abc import Callable
from random import Random

import anyio
import pytest
from result import Result

from ...errors import ErrorKind, Refusal
from ...model import AttemptResult
from ...tests.fake_parts import make_head, make_slice
from ..admission import AdaptiveAdmission, Admission, Permit
from ..slot_admission import SlotAdmission
from .test_slot_admission import FakeMeter

pytestmark = pytest.mark.anyio

SUCCESS = AttemptResult(ok=True, refused=False, latency_s=0.01)
HEAD = make_head(deadline_ms=60_000, target_ms=60_000)
SLICE = make_slice(slots=1)


def make_slot_admission(meter: FakeMeter | None = None) -> Admission:
    return SlotAdmission("b1", 1, lambda: SLICE, meter, Random(1))


def make_adaptive_admission() -> Admission:
    return AdaptiveAdmission("b1", 1, lambda: SLICE)


both = pytest.mark.parametrize(
    "make_admission", [make_slot_admission, make_adaptive_admission]
)


@both
async def test_new_and_queued_requests_are_refused_at_once_while_evacuated(
    make_admission: Callable[[], Admission],
) -> None:
    """Running requests finish, and the load report doesn't say that it drains."""
    admission = make_admission()
    running = (await admission.acquire(HEAD)).unwrap()
    results: list[Result[Permit, Refusal]] = []

    async def wait() -> None:
        results.append(await admission.acquire(HEAD))

    async with anyio.create_task_group() as tg:
        tg.start_soon(wait)
        tg.start_soon(wait)
        await anyio.wait_all_tasks_blocked()
        started_s = anyio.current_time()
        admission.evacuated = True
        await anyio.wait_all_tasks_blocked()
        tg.start_soon(wait)
        await anyio.wait_all_tasks_blocked()
        assert anyio.current_time() == started_s
        assert len(results) == 3
    for result in results:
        refusal = result.unwrap_err()
        assert refusal.not_run
        assert refusal.kind is ErrorKind.DRAINING
        assert "evacuated" in refusal.detail
    report = admission.report()
    assert (report.in_flight, report.queued, report.draining) == (1, 0, False)
    running.release(SUCCESS)
    assert admission.in_flight == 0
    assert (await admission.acquire(HEAD)).is_err()


@both
async def test_requests_are_admitted_at_once_after_the_removal(
    make_admission: Callable[[], Admission],
) -> None:
    admission = make_admission()
    for _ in range(2):
        admission.evacuated = True
        assert (await admission.acquire(HEAD)).is_err()
        admission.evacuated = False
        (await admission.acquire(HEAD)).unwrap().release(SUCCESS)


@both
async def test_drain_and_evacuation_are_independent(
    make_admission: Callable[[], Admission],
) -> None:
    """The end of one must not end the other."""
    admission = make_admission()
    admission.draining = admission.evacuated = True
    admission.evacuated = False
    assert admission.report().draining
    assert (await admission.acquire(HEAD)).is_err()
    admission.evacuated = True
    admission.draining = False
    assert not admission.report().draining
    assert (await admission.acquire(HEAD)).is_err()


async def test_evacuation_during_the_load_query_refuses_the_request() -> None:
    class EvacuatingMeter(FakeMeter):
        async def refresh(self) -> None:
            admission.evacuated = True

    admission = make_slot_admission(EvacuatingMeter())
    result = await admission.acquire(make_head(target_ms=250, may_spill=True))
    assert "evacuated" in result.unwrap_err().detail

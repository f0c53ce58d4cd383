"""Tests of refusals, queueing, release of slots and load reports."""

from dataclasses import replace

import anyio
import pytest
from result import Result

from ...errors import ErrorKind, Refusal
from ...model import AttemptResult, Priority
from ..admission import AdaptiveAdmission, Permit
from .traffic import HEAD, Flow, make_adaptive_admission, run_flows

pytestmark = pytest.mark.anyio
SUCCESS = AttemptResult(True, False, 0.04)
Admitted = Result[Permit, Refusal]


async def occupy_slots(
    admission: AdaptiveAdmission, count: int, **head: object
) -> None:
    """Occupy slots permanently; every request must be admitted."""
    for _ in range(count):
        admitted = await admission.acquire(replace(HEAD, **head))  # type: ignore[arg-type]
        assert admitted.is_ok()


async def test_request_without_slice_is_refused_as_not_run() -> None:
    """A failed assertion would end the exchange with an unknown outcome instead."""
    admission = AdaptiveAdmission("b1", 1, lambda: None)
    refusal = (await admission.acquire(HEAD)).unwrap_err()
    assert (refusal.kind, refusal.not_run) == (ErrorKind.NO_BACKEND, True)
    assert admission.report().limit == 0


@pytest.mark.parametrize(
    ("deadline_ms", "kind", "after_s"),
    [
        (0, ErrorKind.DEADLINE_NOT_RUN, 0.0),
        (100, ErrorKind.DEADLINE_NOT_RUN, 0.1),
        (5_000, ErrorKind.OVERLOADED, 0.25),
    ],
)
async def test_wait_ends_at_the_deadline_or_the_queue_limit(
    deadline_ms: int, kind: ErrorKind, after_s: float
) -> None:
    admission = make_adaptive_admission()
    await occupy_slots(admission, 6)
    started_s = anyio.current_time()
    head = replace(HEAD, deadline_ms=deadline_ms)
    refusal = (await admission.acquire(head)).unwrap_err()
    assert (refusal.kind, refusal.not_run) == (kind, True)
    assert anyio.current_time() - started_s == pytest.approx(after_s, abs=0.001)
    assert admission.report().queued == 0


async def test_deadline_that_cannot_be_met_is_refused_at_once() -> None:
    """Waiting would only delay the retry on another backend server."""
    admission = make_adaptive_admission()
    for _ in range(30):
        permit = (await admission.acquire(HEAD)).unwrap()
        permit.release(AttemptResult(True, False, 0.2))
    await occupy_slots(admission, 6)
    started_s = anyio.current_time()
    refusal = (await admission.acquire(replace(HEAD, deadline_ms=210))).unwrap_err()
    assert refusal.kind is ErrorKind.OVERLOADED
    assert anyio.current_time() == started_s


async def test_short_deadline_runs_when_a_slot_is_free() -> None:
    """Otherwise a high estimate would refuse all requests and never be corrected."""
    admission = make_adaptive_admission()
    (await admission.acquire(HEAD)).unwrap().release(AttemptResult(True, False, 9.0))
    assert (await admission.acquire(replace(HEAD, deadline_ms=50))).is_ok()


async def test_waiters_are_served_in_order_of_arrival() -> None:
    """A free slot must not wake all waiters, which would then race for it."""
    admission = make_adaptive_admission(slots=1)
    order: list[int] = []

    async def run_request(number: int) -> None:
        permit = (await admission.acquire(HEAD)).unwrap()
        order.append(number)
        await anyio.sleep(0.04)
        permit.release(SUCCESS)

    async with anyio.create_task_group() as tg:
        for number in range(4):
            tg.start_soon(run_request, number)
            await anyio.sleep(0.001)
    assert order == [0, 1, 2, 3]


@pytest.mark.parametrize("repeat", [1, 3])
async def test_permit_is_released_once(repeat: int) -> None:
    admission = make_adaptive_admission()
    permit = (await admission.acquire(HEAD)).unwrap()
    for _ in range(repeat):
        permit.release(SUCCESS)
    assert admission.report().in_flight == 0


async def test_cancelled_request_leaves_queue_and_frees_slot() -> None:
    """A slot granted to a request whose caller has gone must be released."""
    admission = make_adaptive_admission(slots=1)
    permit = (await admission.acquire(HEAD)).unwrap()
    admitted: list[Admitted] = []

    async def acquire() -> None:
        admitted.append(await admission.acquire(HEAD))

    async with anyio.create_task_group() as leaving:
        leaving.start_soon(acquire)
        await anyio.sleep(0.01)
        assert admission.report().queued == 1
        leaving.cancel_scope.cancel()
    assert admission.report().queued == 0
    async with anyio.create_task_group() as leaving:
        leaving.start_soon(acquire)
        await anyio.sleep(0.01)
        permit.release(SUCCESS)
        leaving.cancel_scope.cancel()
    assert admission.report().in_flight == len(admitted)
    for result in admitted:
        result.unwrap().release(None)
    assert admission.report().in_flight == 0


@pytest.mark.parametrize(
    ("queued", "arriving", "evicted"),
    [
        # A request of the least urgent priority above its queue share is evicted.
        ([("browse", "a")] * 12, ("urgent", "a"), ("browse", ErrorKind.OVERLOADED)),
        ([("urgent", "a")] * 12, ("browse", "a"), ("urgent", ErrorKind.OVERLOADED)),
        ([("urgent", "a")] * 12, ("urgent", "a"), ("urgent", ErrorKind.OVERLOADED)),
        (
            [("urgent", "a")] * 10 + [("browse", "a")] * 2,
            ("browse", "a"),
            ("browse", ErrorKind.OVERLOADED),
        ),
        # Within a priority, the tenant with the most queued requests loses one.
        ([("browse", "a")] * 12, ("browse", "b"), ("browse", ErrorKind.TENANT_LIMIT)),
    ],
)
async def test_full_queue_evicts_least_entitled_request(
    queued: list[tuple[str, str]],
    arriving: tuple[str, str],
    evicted: tuple[str, ErrorKind],
) -> None:
    admission = make_adaptive_admission()
    await occupy_slots(admission, 6, deadline_ms=60_000)
    refusals: list[tuple[str, str, ErrorKind]] = []

    async def acquire(priority: str, tenant: str) -> None:
        head = replace(HEAD, priority=priority, tenant=tenant)
        admitted = await admission.acquire(head)
        kind = admitted.unwrap_err().kind
        refusals.append((priority, tenant, kind))

    async with anyio.create_task_group() as tg:
        for priority, tenant in [*queued, arriving]:
            tg.start_soon(acquire, priority, tenant)
            await anyio.sleep(0.001)
        assert admission.report().queued == 12
        await anyio.sleep(0.01)
        assert [(p, kind) for p, _, kind in refusals] == [evicted]
        assert refusals[0][1] == "a"
        tg.cancel_scope.cancel()


async def test_flood_does_not_exceed_queue_capacity() -> None:
    admission = make_adaptive_admission()
    flood = Flow("browse", 600)
    async with anyio.create_task_group() as tg:
        tg.start_soon(run_flows, admission, [flood], 3.0)
        for _ in range(60):
            await anyio.sleep(0.05)
            report = admission.report()
            assert report.queued <= 12
            assert report.in_flight <= report.limit == 6
    assert admission.report().in_flight == 0


async def test_tenant_flood_leaves_another_tenant_its_share() -> None:
    """The flood of one tenant must not fill the queue and slots of its priority."""
    admission = make_adaptive_admission()
    flood = Flow("browse", 600, tenant="flood")
    steady = [Flow("browse", 20, tenant=f"t{number}") for number in range(2)]
    await run_flows(admission, [flood, *steady], 10.0)
    assert min(flow.share for flow in steady) > 0.99
    assert flood.refused[ErrorKind.TENANT_LIMIT] > 1_000


@pytest.mark.parametrize(
    ("result", "error_rate"),
    [
        (AttemptResult(True, False, 0.1), 0.0),
        (AttemptResult(False, False, 0.001), 1.0),
        (AttemptResult(False, False, 0.01, cut_short=True), 0.0),
        (AttemptResult(False, False, 2.0, cut_short=True), 1.0),
    ],
)
async def test_report_follows_within_tens_of_requests(
    result: AttemptResult, error_rate: float
) -> None:
    """Short deadlines must not count as errors, nor failures as fast responses."""
    admission = make_adaptive_admission()
    for _ in range(20):
        (await admission.acquire(HEAD)).unwrap().release(SUCCESS)
    for _ in range(40):
        (await admission.acquire(HEAD)).unwrap().release(result)
    report = admission.report()
    assert report.error_rate == pytest.approx(error_rate, abs=0.05)
    counted = result.ok or (result.cut_short and result.latency_s > 0.08)
    expected_ms = result.latency_s * 1000 if counted else 40
    assert report.latency_ms == pytest.approx(expected_ms, rel=0.05)


async def test_priorities_may_change_while_requests_run() -> None:
    """No slot may be lost when a new document removes a priority in use."""
    service = [replace(make_adaptive_admission()._get_slice(), slots=1)]  # type: ignore[type-var]
    admission = AdaptiveAdmission("b1", 1, lambda: service[0])
    permit = (await admission.acquire(replace(HEAD, priority="browse"))).unwrap()
    service[0] = replace(service[0], priorities=(Priority("all", 1.0),))  # type: ignore[type-var]
    async with anyio.create_task_group() as tg:
        tg.start_soon(admission.acquire, HEAD)
        await anyio.sleep(0.01)
        assert admission.report().queued == 1
        permit.release(SUCCESS)
    assert (admission.report().in_flight, admission.report().queued) == (1, 0)

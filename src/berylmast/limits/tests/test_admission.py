"""Tests of refusals, queueing, release of slots and load reports."""

from dataclasses import replace

import anyio
import pytest
from result import Result

from ...errors import ErrorKind, Refusal
from ...model import AttemptResult, Priority
from ..admission import AdaptiveAdmission, Permit
from .driver import HEAD, Flow, make_controller, run_flows

pytestmark = pytest.mark.anyio
GOOD = AttemptResult(True, False, 0.04)
Admitted = Result[Permit, Refusal]


async def fill(controller: AdaptiveAdmission, count: int, **head: object) -> None:
    """Occupy slots permanently; every request must be admitted."""
    for _ in range(count):
        admitted = await controller.acquire(replace(HEAD, **head))  # type: ignore[arg-type]
        assert admitted.is_ok()


async def test_request_before_the_slice_is_refused_as_not_run() -> None:
    """A failed assertion would end the exchange with an unknown outcome instead."""
    controller = AdaptiveAdmission("b1", 1, lambda: None)
    refusal = (await controller.acquire(HEAD)).unwrap_err()
    assert (refusal.kind, refusal.not_run) == (ErrorKind.NO_BACKEND, True)
    assert controller.report().limit == 0


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
    controller = make_controller()
    await fill(controller, 6)
    began_s = anyio.current_time()
    head = replace(HEAD, deadline_ms=deadline_ms)
    refusal = (await controller.acquire(head)).unwrap_err()
    assert (refusal.kind, refusal.not_run) == (kind, True)
    assert anyio.current_time() - began_s == pytest.approx(after_s, abs=0.001)
    assert controller.report().queued == 0


async def test_deadline_that_cannot_be_met_is_refused_at_once() -> None:
    """Waiting would only delay the retry on another backend server."""
    controller = make_controller()
    for _ in range(30):
        permit = (await controller.acquire(HEAD)).unwrap()
        permit.release(AttemptResult(True, False, 0.2))
    await fill(controller, 6)
    began_s = anyio.current_time()
    refusal = (await controller.acquire(replace(HEAD, deadline_ms=210))).unwrap_err()
    assert refusal.kind is ErrorKind.OVERLOADED
    assert anyio.current_time() == began_s


async def test_short_deadline_runs_when_a_slot_is_free() -> None:
    """Otherwise a high estimate would refuse all requests and never be corrected."""
    controller = make_controller()
    (await controller.acquire(HEAD)).unwrap().release(AttemptResult(True, False, 9.0))
    assert (await controller.acquire(replace(HEAD, deadline_ms=50))).is_ok()


async def test_waiters_are_served_in_order_of_arrival() -> None:
    """A free slot must not wake all waiters, which would then race for it."""
    controller = make_controller(slots=1)
    order: list[int] = []

    async def run_one(number: int) -> None:
        permit = (await controller.acquire(HEAD)).unwrap()
        order.append(number)
        await anyio.sleep(0.04)
        permit.release(GOOD)

    async with anyio.create_task_group() as tg:
        for number in range(4):
            tg.start_soon(run_one, number)
            await anyio.sleep(0.001)
    assert order == [0, 1, 2, 3]


@pytest.mark.parametrize("repeat", [1, 3])
async def test_permit_is_released_once(repeat: int) -> None:
    controller = make_controller()
    permit = (await controller.acquire(HEAD)).unwrap()
    for _ in range(repeat):
        permit.release(GOOD)
    assert controller.report().in_flight == 0


async def test_caller_that_leaves_frees_its_place() -> None:
    """A slot granted to a request whose caller has gone must be released."""
    controller = make_controller(slots=1)
    permit = (await controller.acquire(HEAD)).unwrap()
    admitted: list[Admitted] = []

    async def acquire() -> None:
        admitted.append(await controller.acquire(HEAD))

    async with anyio.create_task_group() as leaving:
        leaving.start_soon(acquire)
        await anyio.sleep(0.01)
        assert controller.report().queued == 1
        leaving.cancel_scope.cancel()
    assert controller.report().queued == 0
    async with anyio.create_task_group() as leaving:
        leaving.start_soon(acquire)
        await anyio.sleep(0.01)
        permit.release(GOOD)
        leaving.cancel_scope.cancel()
    assert controller.report().in_flight == len(admitted)
    for item in admitted:
        item.unwrap().release(None)
    assert controller.report().in_flight == 0


@pytest.mark.parametrize(
    ("queued", "arriving", "lost"),
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
async def test_full_queue_drops_who_is_entitled_to_least(
    queued: list[tuple[str, str]],
    arriving: tuple[str, str],
    lost: tuple[str, ErrorKind],
) -> None:
    controller = make_controller()
    await fill(controller, 6, deadline_ms=60_000)
    refusals: list[tuple[str, str, ErrorKind]] = []

    async def acquire(priority: str, tenant: str) -> None:
        head = replace(HEAD, priority=priority, tenant=tenant)
        admitted = await controller.acquire(head)
        kind = admitted.unwrap_err().kind
        refusals.append((priority, tenant, kind))

    async with anyio.create_task_group() as tg:
        for priority, tenant in [*queued, arriving]:
            tg.start_soon(acquire, priority, tenant)
            await anyio.sleep(0.001)
        assert controller.report().queued == 12
        await anyio.sleep(0.01)
        assert [(p, kind) for p, _, kind in refusals] == [lost]
        assert refusals[0][1] == "a"
        tg.cancel_scope.cancel()


async def test_full_flood_holds_the_queue_bound() -> None:
    controller = make_controller()
    flood = Flow("browse", 600)
    async with anyio.create_task_group() as tg:
        tg.start_soon(run_flows, controller, [flood], 3.0)
        for _ in range(60):
            await anyio.sleep(0.05)
            report = controller.report()
            assert report.queued <= 12
            assert report.in_flight <= report.limit == 6
    assert controller.report().in_flight == 0


async def test_tenant_flood_leaves_another_tenant_its_share() -> None:
    """The flood of one tenant must not fill the queue and slots of its priority."""
    controller = make_controller()
    flood = Flow("browse", 600, tenant="flood")
    steady = [Flow("browse", 20, tenant=f"t{number}") for number in range(2)]
    await run_flows(controller, [flood, *steady], 10.0)
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
    controller = make_controller()
    for _ in range(20):
        (await controller.acquire(HEAD)).unwrap().release(GOOD)
    for _ in range(40):
        (await controller.acquire(HEAD)).unwrap().release(result)
    report = controller.report()
    assert report.error_rate == pytest.approx(error_rate, abs=0.05)
    counted = result.ok or (result.cut_short and result.latency_s > 0.08)
    expected_ms = result.latency_s * 1000 if counted else 40
    assert report.latency_ms == pytest.approx(expected_ms, rel=0.05)


async def test_priorities_may_change_while_requests_run() -> None:
    """No slot may be lost when a new document removes a priority in use."""
    service = [replace(make_controller()._get_slice(), slots=1)]  # type: ignore[type-var]
    controller = AdaptiveAdmission("b1", 1, lambda: service[0])
    permit = (await controller.acquire(replace(HEAD, priority="browse"))).unwrap()
    service[0] = replace(service[0], priorities=(Priority("all", 1.0),))  # type: ignore[type-var]
    async with anyio.create_task_group() as tg:
        tg.start_soon(controller.acquire, HEAD)
        await anyio.sleep(0.01)
        assert controller.report().queued == 1
        permit.release(GOOD)
    assert (controller.report().in_flight, controller.report().queued) == (1, 0)

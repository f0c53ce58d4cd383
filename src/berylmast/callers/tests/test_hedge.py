"""Tests of second copies of late requests.

They guard against copies that harm: parts of two responses, a copy of a request that
may run once only, work that goes on after its response is not needed, and copies to
servers that have no time for them.
"""

from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
import pytest
from result import Err

from ...daemons import frames
from ...daemons.frames import Frame
from ...errors import ErrorKind, Refusal
from ...limits.hedging import BURST_COPIES, CopyResult, Hedging, UnsentReason
from ...model import Endpoint
from ...tests.fakes import (
    SERVICE,
    FailurePoint,
    FakeEntry,
    FakeFleet,
    FakeResponse,
    FakeStream,
    make_body,
    make_head,
    run_fleet,
)
from ..classify import ClassifiedRequest
from ..context import RequestProgress
from ..forward import forward_request
from ..hedge import _Attempt, _get_result
from ..race import Race

pytestmark = pytest.mark.anyio

DELAY_S = 0.1
FAST_S = 0.02
SLOW_S = 5.0
FIRST, OTHER = "b1", "b2"


def make_hedging(tokens: float = BURST_COPIES, delay_s: float = DELAY_S) -> Hedging:
    """Return a decider that takes requests for late after a fixed time."""
    hedging = Hedging(1.0, lambda _times, _extra_ratio: delay_s)
    for _ in range(int(tokens)):
        hedging.record_request(SERVICE)
    hedging.record_time(f"{SERVICE} ", FAST_S, anyio.current_time())
    return hedging


def report_loads(fleet: FakeFleet, entry: FakeEntry) -> None:
    router = entry.forwarding_context.router
    for admission in fleet.admissions.values():
        router.record_load(admission.report(), 1)


@asynccontextmanager
async def run_hedging_fleet(
    *names: str, tokens: float = BURST_COPIES
) -> AsyncIterator[tuple[FakeFleet, FakeEntry, Hedging]]:
    """Run a fleet whose first choice is FIRST, which is slow; the others are fast."""
    async with run_fleet(*(names or (FIRST, OTHER))) as fleet:
        entry = fleet.entry()
        hedging = make_hedging(tokens)
        entry.forwarding_context = replace(entry.forwarding_context, hedging=hedging)
        for name, backend in fleet.backends.items():
            backend.service_time_s = SLOW_S if name == FIRST else FAST_S
            backend.part_pause_s = 0.01
        # The random policy is made to choose FIRST while nothing is excluded.
        for name in fleet.backends:
            async with entry.open_exchange(fleet.endpoint(name)):
                pass
        await anyio.sleep(0.001)  # The frames of these exchanges are sent.
        report_loads(fleet, entry)
        prefer(entry, FIRST)
        yield fleet, entry, hedging


def prefer(entry: FakeEntry, name: str) -> None:
    """Make the router choose one backend server where it may."""
    router = entry.forwarding_context.router
    choose_in_region = router._choose_in_region

    def choose(
        service: Any, endpoints: Any, untried: Sequence[Endpoint], *rest: Any
    ) -> Endpoint | None:
        for endpoint in untried:
            if endpoint.backend == name:
                return endpoint
        return choose_in_region(service, endpoints, untried, *rest)

    router._choose_in_region = choose  # type: ignore[assignment,method-assign]


async def test_copy_on_a_fast_server_wins_and_the_slow_attempt_is_cancelled() -> None:
    async with run_hedging_fleet() as (fleet, entry, hedging):
        resets: list[tuple[str, Frame]] = []

        def on_frame(link: FakeStream, frame: Frame) -> bool:
            if isinstance(frame, frames.Reset) and link.to_owner:
                resets.append((link.owner, frame))
            return True

        for links in fleet._links.values():
            for link in links:
                link.on_frame = on_frame
        call = await entry.call(idempotent=True)
        assert call.outcome == "answered"
        assert call.response.body == b"onetwo"
        assert call.duration_s == pytest.approx(DELAY_S + FAST_S + 0.01, abs=0.001)
        assert call.progress.backend == OTHER
        assert (call.progress.attempts, call.progress.sent) == (2, 2)
        assert (call.progress.copies, call.progress.copy_result) == (1, "won")
        assert [owner for owner, _ in resets] == [FIRST]
        await anyio.sleep(0.01)
        assert [a.in_flight for a in fleet.admissions.values()] == [0, 0]
        assert not fleet.backends[FIRST].ledger[0].completed
        values, _ = fleet.backends[OTHER].received[0]
        assert b"berylmast-retry" in values
        assert (hedging.sent, hedging.results[CopyResult.WON]) == (1, 1)


async def test_cancelled_attempt_is_no_error_of_its_server() -> None:
    """Guards against ejecting a server because its requests were copied."""
    async with run_hedging_fleet(tokens=5) as (fleet, entry, _):
        for _ in range(5):
            await entry.call(idempotent=True)
            report_loads(fleet, entry)
        router = entry.forwarding_context.router
        assert router.summarize()["ejected"] == []
        now_s = anyio.current_time()
        for name in (FIRST, OTHER):
            assert router._loads.count_own_in_flight(name) == 0
            assert router._loads._get_or_create(name).get_error_rate(now_s) == 0.0


@pytest.mark.parametrize(
    ("first_s", "copies", "result"),
    [(0.05, 0, ""), (0.11, 1, "lost"), (1.0, 1, "won")],
)
async def test_only_late_requests_are_copied(
    first_s: float, copies: int, result: str
) -> None:
    async with run_hedging_fleet() as (fleet, entry, _):
        fleet.backends[FIRST].service_time_s = first_s
        call = await entry.call(idempotent=True)
        assert call.response.body == b"onetwo"
        assert (call.progress.copies, call.progress.copy_result) == (copies, result)
        assert call.progress.backend == (OTHER if result == "won" else FIRST)
        await anyio.sleep(0.01)
        assert [a.in_flight for a in fleet.admissions.values()] == [0, 0]


@pytest.mark.parametrize(
    ("changes", "length"),
    [
        ({"idempotent": False}, 0),
        ({"idempotent": True, "idempotency_key": "k"}, 0),
        ({"idempotent": True, "retry": True}, 0),
        ({"idempotent": True, "has_body": True}, None),
        ({"idempotent": True, "has_body": True}, 70_000),
    ],
    ids=["runs-once", "key", "retry", "chunked", "long"],
)
async def test_request_that_may_not_be_sent_twice_is_not_copied(
    changes: dict[str, Any], length: int | None
) -> None:
    async with run_hedging_fleet() as (fleet, entry, hedging):
        size = 10 if length is None else length
        body = make_body(b"x" * size, length=length) if size else make_body(length=0)
        call = await entry.call(body=body, **changes)
        assert call.outcome == "answered"
        assert hedging.sent == 0
        assert fleet.count_runs()["r1"] == 1


async def test_copy_sends_the_whole_body() -> None:
    async with run_hedging_fleet() as (fleet, entry, _):
        body = make_body(b"a" * 6000, b"b" * 6000, length=12_000)
        call = await entry.call(body=body, idempotent=True, has_body=True)
        assert call.progress.copy_result == "won"
        received = [b.received[0][1] for b in fleet.backends.values()]
        assert received == [b"a" * 6000 + b"b" * 6000] * 2


def spend_retries(fleet: FakeFleet, entry: FakeEntry) -> None:
    while entry.retry_budget.try_spend(SERVICE, "urgent"):
        pass


def change_report(**changes: Any) -> Callable[[FakeFleet, FakeEntry], None]:
    def change(fleet: FakeFleet, entry: FakeEntry) -> None:
        report = replace(fleet.admissions[OTHER].report(), **changes)
        entry.forwarding_context.router.record_load(report, 1)

    return change


def spend_copies(fleet: FakeFleet, entry: FakeEntry) -> None:
    assert entry.forwarding_context.hedging is not None
    for _ in range(int(BURST_COPIES)):
        entry.forwarding_context.hedging.spend(SERVICE)
    entry.forwarding_context.hedging._extra_ratio = 0.0


def stop_entry(fleet: FakeFleet, entry: FakeEntry) -> None:
    async def begin() -> None:
        await anyio.sleep(DELAY_S / 2)
        entry.forwarding_context.withdrawals.begin()

    fleet._tg.start_soon(begin)


def refuse_others(fleet: FakeFleet, entry: FakeEntry) -> None:
    assert entry.forwarding_context.hedging is not None
    for _ in range(20):
        entry.forwarding_context.hedging.record_attempt(
            SERVICE, ErrorKind.OVERLOADED, anyio.current_time()
        )


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (change_report(rate_limit=100.0, rate_share=50.0), UnsentReason.NO_SERVER),
        (change_report(in_flight=6, queued=6), UnsentReason.OVERLOAD),
        (spend_retries, UnsentReason.RETRY_BUDGET),
        (spend_copies, UnsentReason.BUDGET),
        (stop_entry, UnsentReason.STOPPING),
        (refuse_others, UnsentReason.OVERLOAD),
    ],
)
async def test_no_copy_without_a_fit_server_or_a_budget(
    prepare: Callable[[FakeFleet, FakeEntry], None], reason: UnsentReason
) -> None:
    async with run_hedging_fleet() as (fleet, entry, hedging):
        prepare(fleet, entry)
        sent = hedging.sent
        call = await entry.call(idempotent=True)
        assert call.outcome == "answered"
        assert call.progress.copies == 0
        assert hedging.sent == sent
        assert dict(hedging.unsent) == {reason: 1}
        assert fleet.backends[OTHER].runs == []


async def test_owner_refuses_a_copy_that_would_wait() -> None:
    """Guards against copies in the queue of a server that has just filled up."""
    async with run_hedging_fleet() as (fleet, entry, _):
        fleet.set_slots(1)
        other = fleet.entry("e2")
        prefer(other, OTHER)
        fleet.backends[FIRST].service_time_s = 0.5
        fleet.backends[OTHER].service_time_s = SLOW_S
        async with anyio.create_task_group() as tg:
            tg.start_soon(other.call)
            await anyio.sleep(0.01)
            call = await entry.call(idempotent=True, request_id="r2")
            tg.cancel_scope.cancel()
        assert (call.outcome, call.progress.copy_result) == ("answered", "refused")
        assert call.duration_s == pytest.approx(0.51, abs=0.001)
        assert fleet.count_runs()["r2"] == 1


@pytest.mark.parametrize(
    ("first_fails", "copy_fails", "outcome", "kind"),
    [
        (FailurePoint.RUN, None, "answered", None),
        (None, FailurePoint.RUN, "answered", None),
        (None, FailurePoint.CONNECT, "answered", None),
        (FailurePoint.RUN, FailurePoint.RUN, "unknown", ErrorKind.BACKEND_CUT),
        (FailurePoint.RUN, FailurePoint.CONNECT, "unknown", ErrorKind.BACKEND_CUT),
    ],
)
async def test_failure_of_one_attempt_waits_for_the_other(
    first_fails: FailurePoint | None,
    copy_fails: FailurePoint | None,
    outcome: str,
    kind: ErrorKind | None,
) -> None:
    async with run_hedging_fleet() as (fleet, entry, _):
        spend_all = outcome != "answered"
        fleet.backends[FIRST].service_time_s = DELAY_S + FAST_S / 2
        fleet.backends[FIRST].cut_at = first_fails
        fleet.backends[OTHER].cut_at = copy_fails
        if spend_all:
            spend_retries(fleet, entry)
            entry.retry_budget.record_first_attempt(SERVICE, "urgent", 0.95)
        call = await entry.call(idempotent=True)
        assert call.outcome == outcome
        assert call.progress.copies == 1
        assert (call.refusal.kind if call.refusal else None) is kind
        assert call.progress.sent <= 3


@pytest.mark.parametrize(
    ("first", "copy", "status"),
    [
        (500, 200, 200),
        (200, 500, 200),
        (404, 200, 200),
        (500, 404, 404),
        (503, 500, 503),
    ],
)
async def test_success_is_preferred_to_an_error_response(
    first: int, copy: int, status: int
) -> None:
    async with run_hedging_fleet() as (fleet, entry, _):
        fleet.backends[FIRST].service_time_s = DELAY_S + FAST_S / 2
        fleet.backends[FIRST].status = first
        fleet.backends[OTHER].status = copy
        call = await entry.call(idempotent=True)
        assert call.response.status == status
        assert call.response.body == b"onetwo"


async def test_error_response_is_passed_on_if_the_copy_fails() -> None:
    async with run_hedging_fleet() as (fleet, entry, _):
        fleet.backends[FIRST].service_time_s = DELAY_S + FAST_S / 2
        fleet.backends[FIRST].status = 500
        fleet.backends[OTHER].cut_at = FailurePoint.RUN
        call = await entry.call(idempotent=True)
        assert (call.response.status, call.response.body) == (500, b"onetwo")
        assert call.progress.copy_result == "failed"


async def test_route_with_one_attempt_gets_no_copy() -> None:
    """Guards against more arrivals at servers than the route allows."""
    async with run_hedging_fleet() as (fleet, entry, hedging):
        head = make_head(idempotent=True)
        req = ClassifiedRequest(head, fleet.slice, 0, max_attempts=1)
        response, progress = FakeResponse(), RequestProgress()
        result = await forward_request(
            entry.forwarding_context, req, make_body(length=0), response, progress
        )
        assert result.is_ok()
        assert fleet.count_runs()["r1"] == 1
        assert dict(hedging.unsent) == {UnsentReason.ATTEMPTS: 1}


NOT_RUN = Refusal(ErrorKind.OVERLOADED, "")
MAY_HAVE_RUN = Refusal(ErrorKind.BACKEND_CUT, "")


@pytest.mark.parametrize(
    ("first", "copy", "expected"),
    [
        (NOT_RUN, None, NOT_RUN),
        (NOT_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN),
        (MAY_HAVE_RUN, NOT_RUN, MAY_HAVE_RUN),
        (NOT_RUN, Refusal(ErrorKind.BUSY, ""), NOT_RUN),
        (MAY_HAVE_RUN, Refusal(ErrorKind.PEER_LOST, ""), MAY_HAVE_RUN),
    ],
)
async def test_refusal_does_not_hide_that_one_attempt_may_have_run(
    first: Refusal, copy: Refusal | None, expected: Refusal
) -> None:
    race = Race(FakeResponse())
    attempts = [
        _Attempt(race.add(), result=None if refusal is None else Err(refusal))
        for refusal in (first, copy)
    ]
    assert _get_result(race, *attempts).unwrap_err() is expected


@pytest.mark.parametrize("cause", ["deadline", "caller"])
async def test_end_of_the_request_cancels_both_attempts(cause: str) -> None:
    async with run_hedging_fleet() as (fleet, entry, _):
        fleet.backends[OTHER].service_time_s = SLOW_S
        if cause == "deadline":
            call = await entry.call(idempotent=True, deadline_ms=500)
            assert call.refusal is not None
            assert call.refusal.kind is ErrorKind.DEADLINE_UNKNOWN
            assert call.duration_s == pytest.approx(0.5)
        else:
            with anyio.move_on_after(0.5):
                await entry.call(idempotent=True)
        await anyio.sleep(0.01)
        assert fleet.count_runs()["r1"] == 2
        assert [a.in_flight for a in fleet.admissions.values()] == [0, 0]


async def test_times_of_cancelled_first_attempts_keep_the_delay() -> None:
    """Guards against a delay that sinks because copied requests count as fast ones."""
    async with run_hedging_fleet() as (_, entry, hedging):
        await entry.call(idempotent=True)
        times = hedging._routes[f"{SERVICE} "].times.summarize(anyio.current_time())
        assert times.count == 2
        assert times.get_s(1.0) >= DELAY_S

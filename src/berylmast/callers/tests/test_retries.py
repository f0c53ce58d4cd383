"""Guards against unsafe retries and against retry amplification."""

import anyio
import pytest

from ...daemons import frames
from ...errors import ErrorKind
from ...tests.fakes import FailurePoint, make_body, run_fleet
from ..classify import DEFAULT_MAX_ATTEMPTS
from .test_at_most_once import inject_fault_at

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("cut_at", "idempotent", "retry_mark", "attempts"),
    [
        (FailurePoint.CONNECT, False, False, 2),
        (FailurePoint.CONNECT, False, True, 1),
        (FailurePoint.CONNECT, True, False, 2),
        (FailurePoint.RUN, False, False, 1),
        (FailurePoint.RUN, True, False, 2),
        (FailurePoint.RUN, True, True, 1),
        (FailurePoint.RESPONSE, True, False, 1),
    ],
)
async def test_retried_only_where_safe(
    cut_at: FailurePoint, idempotent: bool, retry_mark: bool, attempts: int
) -> None:
    async with run_fleet() as fleet:
        for backend in fleet.backends.values():
            backend.cut_at = cut_at
        call = await fleet.entry().call(idempotent=idempotent, retry=retry_mark)
        assert call.progress.attempts == attempts


@pytest.mark.parametrize("tokens", [0, 1, 5])
async def test_budget_is_spent_before_each_retry(tokens: int) -> None:
    names = tuple(f"b{n}" for n in range(6))
    async with run_fleet(*names) as fleet:
        for name in names:
            fleet.stop(name)
        entry = fleet.entry()
        while entry.retry_budget.try_spend("orders", "urgent"):
            pass
        entry.retry_budget.record_first_attempt("orders", "urgent", tokens)
        call = await entry.call()
        assert call.progress.attempts == min(1 + tokens, DEFAULT_MAX_ATTEMPTS)
        assert call.outcome == "not-run"


async def test_later_refusal_does_not_hide_an_earlier_possible_run() -> None:
    """Guards against outcome not-run although an earlier attempt may have run."""
    async with run_fleet() as fleet:
        entry = fleet.entry()
        for backend in fleet.backends.values():
            backend.cut_at = FailurePoint.RUN

        def fail_next(link: object, frame: frames.Frame) -> bool:
            if isinstance(frame, frames.Fail):
                for backend in fleet.backends.values():
                    backend.cut_at = FailurePoint.CONNECT
            return True

        fleet.on_frame = fail_next
        call = await entry.call(idempotent=True)
        assert call.progress.attempts == 2
        assert fleet.count_runs()["r1"] == 1
        assert call.outcome == "unknown"


@pytest.mark.parametrize(
    ("length", "outcome", "attempts"), [(6, "answered", 2), (None, "not-run", 1)]
)
async def test_body_that_was_not_buffered_is_not_sent_again(
    length: int | None, outcome: str, attempts: int
) -> None:
    """Guards against a retry that sends an empty body after the body was discarded."""
    async with run_fleet() as fleet:

        def refuse_first(link: object, frame: frames.Frame) -> bool:
            if isinstance(frame, frames.Refuse):
                for backend in fleet.backends.values():
                    backend.cut_at = None
            return True

        for backend in fleet.backends.values():
            backend.cut_at = FailurePoint.CONNECT
        fleet.on_frame = refuse_first
        body = make_body(b"abc", b"def", length=length)
        call = await fleet.entry().call(body=body, has_body=True)
        assert (call.outcome, call.progress.attempts) == (outcome, attempts)
        received = [d for b in fleet.backends.values() for _, d in b.received]
        assert received == ([b"abcdef"] if outcome == "answered" else [])


@pytest.mark.parametrize("fault", ["cut", None])
async def test_backend_server_receives_id_deadline_and_retry_mark(
    fault: str | None,
) -> None:
    """Guards against nested calls that retry again or outlive the original call."""
    async with run_fleet() as fleet:
        if fault:
            inject_fault_at(fleet, frames.Request, fault)
        sent = [(b"berylmast-deadline-ms", b"99999"), (b"X-Request-Id", b"other")]
        entry = fleet.entry()
        for endpoint in fleet.directory.endpoints("orders"):
            async with entry.open_exchange(endpoint):
                pass
        await entry.call(headers=sent, deadline_ms=5000)
        values = next(v for b in fleet.backends.values() for v, _ in b.received)
        assert values[b"x-request-id"] == b"r1"
        assert (b"berylmast-retry" in values) == (fault is not None)
        assert int(values[b"berylmast-deadline-ms"]) <= 5000


async def test_time_in_the_queue_reduces_the_forwarded_deadline() -> None:
    async with run_fleet("b1") as fleet:
        fleet.set_slots(1)
        async with anyio.create_task_group() as tg:
            entry = fleet.entry()
            fleet.backends["b1"].part_pause_s = 0
            tg.start_soon(entry.call)
            await anyio.sleep(0.1)
            await entry.call(deadline_ms=1000)
        values, _ = fleet.backends["b1"].received[1]
        assert int(values[b"berylmast-deadline-ms"]) == pytest.approx(900, abs=2)


async def test_stream_lost_during_an_upload_is_reported() -> None:
    """Guards against ExchangeLost that escapes inside an ExceptionGroup.

    The task group that uploads the body wraps an exception that is raised in it.
    """
    async with run_fleet("b1") as fleet:
        inject_fault_at(fleet, frames.Body, "stopped")
        body = make_body(b"x" * 400_000, b"y", length=None)
        call = await fleet.entry().call(body=body, has_body=True)
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.PEER_LOST

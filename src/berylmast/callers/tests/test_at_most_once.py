"""Guards against requests that run twice and against wrong outcomes.

Each test compares the outcome that the caller gets with the runs that the fake backend
servers counted.
"""

from collections.abc import Callable

import anyio
import pytest

from ...daemons import frames
from ...daemons.frames import Frame
from ...errors import ErrorKind
from ...tests.fakes import (
    Call,
    FailurePoint,
    FakeBackend,
    FakeFleet,
    FakeStream,
    make_body,
    run_fleet,
)

pytestmark = pytest.mark.anyio

FAULTS: dict[str, Callable[[FakeFleet, FakeStream], None]] = {
    "cut": lambda fleet, link: link.cut(),
    "silent": lambda fleet, link: link.silence(),
    "restarted": lambda fleet, link: fleet.restart(link.owner),
    "stopped": lambda fleet, link: fleet.stop(link.owner),
}


def inject_fault_at(fleet: FakeFleet, frame_type: type[Frame], fault: str) -> None:
    """Drop the first frame of a type and inject a fault into its link."""
    done = False

    def on_frame(link: FakeStream, frame: Frame) -> bool:
        nonlocal done
        if done or not isinstance(frame, frame_type):
            return True
        done = True
        FAULTS[fault](fleet, link)
        return False

    fleet.on_frame = on_frame


async def check_outcome(fleet: FakeFleet, call: Call, *, idempotent: bool) -> None:
    """Compare an outcome with the counted runs, now and after late frames arrived."""
    runs_then = fleet.count_runs()["r1"]
    await anyio.sleep(120)
    runs = fleet.count_runs()["r1"]
    if not idempotent:
        assert runs <= 1
    if call.outcome == "not-run":
        assert runs == 0
    if call.outcome in ("answered", "failed"):
        assert runs_then >= 1
    assert call.response.finished == (call.outcome == "answered")
    if call.response.finished:
        assert call.response.body == b"onetwo"


@pytest.mark.parametrize(
    ("step", "fault", "outcome"),
    [
        (frames.Request, "cut", "answered"),
        (frames.Request, "silent", "answered"),
        (frames.Request, "restarted", "unknown"),
        (frames.Request, "stopped", "unknown"),
        (frames.Continue, "cut", "answered"),
        (frames.Continue, "silent", "answered"),
        (frames.Continue, "restarted", "unknown"),
        (frames.Continue, "stopped", "unknown"),
        (frames.Response, "cut", "answered"),
        (frames.Response, "silent", "answered"),
        (frames.Response, "restarted", "unknown"),
        (frames.Response, "stopped", "unknown"),
        (frames.Body, "cut", "failed"),
        (frames.Body, "silent", "failed"),
        (frames.Body, "restarted", "failed"),
        (frames.Body, "stopped", "failed"),
        (frames.End, "cut", "failed"),
        (frames.End, "silent", "failed"),
        (frames.End, "restarted", "failed"),
        (frames.End, "stopped", "failed"),
    ],
)
@pytest.mark.parametrize("idempotent", [False, True])
async def test_link_fault_at_each_step(
    step: type[Frame], fault: str, outcome: str, idempotent: bool
) -> None:
    async with run_fleet() as fleet:
        inject_fault_at(fleet, step, fault)
        call = await fleet.entry().call(idempotent=idempotent)
        # An idempotent request is retried unless its response has started.
        assert call.outcome == (
            "answered" if idempotent and outcome == "unknown" else outcome
        )
        assert call.duration_s < 5
        await check_outcome(fleet, call, idempotent=idempotent)


def cut(step: FailurePoint) -> Callable[[FakeBackend], None]:
    return lambda backend: setattr(backend, "cut_at", step)


def stall(step: FailurePoint) -> Callable[[FakeBackend], None]:
    return lambda backend: setattr(backend, "stall_at", step)


@pytest.mark.parametrize(
    ("fault", "idempotent", "kind"),
    [
        (cut(FailurePoint.CONNECT), False, ErrorKind.BACKEND_UNREACHABLE),
        (cut(FailurePoint.RUN), False, ErrorKind.BACKEND_CUT),
        (cut(FailurePoint.RESPONSE), False, ErrorKind.BACKEND_CUT),
        (stall(FailurePoint.RUN), False, ErrorKind.DEADLINE_UNKNOWN),
        (stall(FailurePoint.RESPONSE), False, ErrorKind.DEADLINE_UNKNOWN),
        (cut(FailurePoint.CONNECT), True, ErrorKind.BACKEND_UNREACHABLE),
        (cut(FailurePoint.RUN), True, ErrorKind.BACKEND_CUT),
        (cut(FailurePoint.RESPONSE), True, ErrorKind.BACKEND_CUT),
        (stall(FailurePoint.RUN), True, ErrorKind.DEADLINE_UNKNOWN),
        (stall(FailurePoint.RESPONSE), True, ErrorKind.DEADLINE_UNKNOWN),
    ],
)
async def test_backend_server_fault_at_each_step(
    fault: Callable[[FakeBackend], None], idempotent: bool, kind: ErrorKind
) -> None:
    async with run_fleet() as fleet:
        for backend in fleet.backends.values():
            fault(backend)
        call = await fleet.entry().call(idempotent=idempotent, deadline_ms=2000)
        assert call.refusal is not None
        assert call.refusal.kind is kind
        assert call.duration_s <= 2
        await check_outcome(fleet, call, idempotent=idempotent)


@pytest.mark.parametrize("local", [False, True])
async def test_local_owner_gives_the_same_outcome_as_a_remote_one(local: bool) -> None:
    async with run_fleet("b1") as fleet:
        fleet.backends["b1"].cut_at = FailurePoint.RUN
        entry = fleet.entry(local="b1" if local else None)
        call = await entry.call()
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.BACKEND_CUT
        await check_outcome(fleet, call, idempotent=False)


@pytest.mark.parametrize("local", [False, True])
async def test_deadline_bounds_a_silent_backend_server(local: bool) -> None:
    async with run_fleet("b1") as fleet:
        fleet.backends["b1"].stall_at = FailurePoint.RUN
        entry = fleet.entry(local="b1" if local else None)
        call = await entry.call(deadline_ms=700)
        assert call.outcome == "unknown"
        assert call.duration_s == pytest.approx(0.7)


async def test_deadline_during_connect_is_not_run() -> None:
    """Guards against waiting for an owner's Hello frame beyond the deadline."""
    async with run_fleet("b1") as fleet:
        inject_fault_at(fleet, frames.Hello, "silent")
        call = await fleet.entry().call(deadline_ms=300)
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.DEADLINE_NOT_RUN
        assert call.duration_s == pytest.approx(0.3)
        await check_outcome(fleet, call, idempotent=False)


async def test_deadline_after_a_refused_attempt_is_not_run() -> None:
    """Guards against outcome unknown although every earlier attempt was refused."""
    async with run_fleet() as fleet:
        for backend in fleet.backends.values():
            backend.cut_at = FailurePoint.CONNECT

        def silence_next_dial(link: FakeStream, frame: Frame) -> bool:
            if isinstance(frame, frames.Hello) and len(fleet.dials) == 2:
                link.silence()
            return True

        fleet.on_frame = silence_next_dial
        call = await fleet.entry().call(deadline_ms=500)
        assert call.progress.attempts == 2
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.DEADLINE_NOT_RUN


async def test_deadline_during_a_query_is_unknown() -> None:
    async with run_fleet("b1") as fleet:
        fleet.backends["b1"].stall_at = FailurePoint.RUN
        inject_fault_at(fleet, frames.Continue, "cut")
        call = await fleet.entry().call(deadline_ms=900)
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.DEADLINE_UNKNOWN
        assert call.duration_s == pytest.approx(0.9)


async def test_request_that_arrives_after_its_query_is_refused() -> None:
    """Guards against a late Request frame that runs after the query.

    After the reply not-seen, the entry may have sent the request to another owner.
    """
    async with run_fleet("b1") as fleet:
        held: list[Frame] = []

        def hold_request(link: FakeStream, frame: Frame) -> bool:
            if isinstance(frame, frames.Request) and not held:
                held.append(frame)
                link.cut()
                return False
            return True

        fleet.on_frame = hold_request
        entry = fleet.entry()
        call = await entry.call()
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.ATTEMPT_REVOKED
        late = held[0]
        assert isinstance(late, frames.Request)
        async with entry.open_exchange(fleet.endpoint("b1")) as exchange:
            await exchange.send(frames.Request(exchange.id, late.head))
            assert isinstance(await exchange.receive(), frames.Refuse)
        assert fleet.count_runs()["r1"] == 0


async def test_large_response_is_not_stored_and_the_outcome_is_failed() -> None:
    async with run_fleet() as fleet:
        for backend in fleet.backends.values():
            backend.parts = (b"x" * 20_000,)
        inject_fault_at(fleet, frames.Response, "cut")
        call = await fleet.entry().call()
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.ANSWER_CUT
        assert fleet.count_runs()["r1"] == 1


async def test_request_with_an_incomplete_body_ends_with_its_stream() -> None:
    """Guards against a truncated body that is processed as a complete one."""
    async with run_fleet("b1") as fleet:
        inject_fault_at(fleet, frames.End, "cut")
        body = make_body(b"abc", length=3)
        call = await fleet.entry().call(body=body, has_body=True)
        # The outcome is not-run if the owner noticed the loss before dispatch. The
        # request must not run in either case.
        assert call.outcome in ("unknown", "not-run")
        assert call.duration_s < 1
        await anyio.sleep(60)
        assert fleet.count_runs()["r1"] == 0


async def test_backend_server_cannot_set_reserved_headers() -> None:
    """Guards against relaying the reserved headers of a nested call's response."""
    async with run_fleet("b1") as fleet:
        fleet.backends["b1"].headers = [
            (b"berylmast-outcome", b"not-run"),
            (b"Berylmast-Error", b"shed"),
            (b"berylmast-replayed", b"true"),
            (b"x-own", b"1"),
        ]
        call = await fleet.entry().call()
        assert call.response.headers == {b"x-own": b"1"}

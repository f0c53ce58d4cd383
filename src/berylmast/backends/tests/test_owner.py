"""Tests that a duplicate request runs once and that errors don't look like refusals.

A refusal states that the request did not run, so that the entry may send it elsewhere.
"""

from functools import partial

import anyio
import pytest

from ...callers.outcome_query import make_refusal_after_dispatch
from ...daemons import ExchangeLost, frames
from ...errors import ErrorKind, Outcome, Refusal
from ...tests.fakes import FakeBackend, make_head, run_fleet

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("entries", [("e1", "e1"), ("e1", "e2")])
@pytest.mark.parametrize("pause_s", [0.0, 0.1, 5.0, 100.0])
async def test_duplicate_request_runs_once(
    idempotent: bool, entries: tuple[str, str], pause_s: float
) -> None:
    async with run_fleet("b1") as fleet:
        head = make_head(idempotent=idempotent)
        by_name = {name: fleet.entry(name) for name in set(entries)}
        endings: list[frames.Frame] = []

        async def send(name: str) -> None:
            opened = by_name[name].open_exchange(fleet.endpoint("b1"))
            async with opened as exchange:
                await exchange.send(frames.Request(exchange.id, head))
                while True:
                    frame = await exchange.receive()
                    if isinstance(frame, frames.End | frames.Fail | frames.Refuse):
                        endings.append(frame)
                        return

        async with anyio.create_task_group() as tg:
            for name in entries:
                tg.start_soon(send, name)
                await anyio.sleep(pause_s)
        assert fleet.count_runs() == {"r1": 1}
        # "Refuse" would claim that the request did not run.
        assert {type(frame) for frame in endings} == {frames.End, frames.Fail}


async def test_duplicate_frame_ends_the_connection_and_its_id_runs_at_most_once() -> (
    None
):
    async with run_fleet("b1") as fleet:
        entry = fleet.entry()
        opened = entry.open_exchange(fleet.endpoint("b1"))
        async with opened as exchange:
            for _ in range(2):
                await exchange.send(frames.Request(exchange.id, make_head()))
            with pytest.raises(ExchangeLost):
                await exchange.receive()
        async with entry.open_exchange(fleet.endpoint("b1")) as exchange:
            await exchange.send(frames.Request(exchange.id, make_head()))
            await anyio.sleep(10)
        assert fleet.count_runs().get("r1", 0) <= 1


async def test_queued_request_whose_connection_is_lost_never_runs() -> None:
    async with run_fleet("b1") as fleet:
        fleet.set_slots(1)
        entry = fleet.entry()
        async with anyio.create_task_group() as tg:
            tg.start_soon(entry.call)
            await anyio.sleep(0.1)
            tg.start_soon(partial(entry.call, request_id="queued"))
            await anyio.sleep(0.1)
            fleet.cut("b1")
        await anyio.sleep(60)
        assert fleet.count_runs() == {"r1": 1}


async def test_request_without_time_left_is_refused() -> None:
    async with run_fleet("b1") as fleet:
        opened = fleet.entry().open_exchange(fleet.endpoint("b1"))
        async with opened as exchange:
            head = make_head(deadline_ms=0)
            await exchange.send(frames.Request(exchange.id, head))
            reply = await exchange.receive()
        assert isinstance(reply, frames.Refuse)
        assert reply.kind is ErrorKind.DEADLINE_NOT_RUN
        assert fleet.count_runs() == {}


@pytest.mark.parametrize("idempotent", [False, True])
async def test_request_whose_reset_arrives_with_it_never_runs(idempotent: bool) -> None:
    async with run_fleet("b1") as fleet:
        opened = fleet.entry().open_exchange(fleet.endpoint("b1"))
        async with opened as exchange:
            head = make_head(idempotent=idempotent)
            await exchange.send(frames.Request(exchange.id, head))
        await anyio.sleep(60)
        assert fleet.count_runs() == {}


async def test_error_in_one_dispatch_leaves_its_connection_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An error in one request must not end the other requests of its connection."""

    def fail(self: FakeBackend, *args: object) -> None:
        raise RuntimeError("fault")

    async with run_fleet("b1") as fleet:
        entry = fleet.entry()
        monkeypatch.setattr(FakeBackend, "send", fail)
        call = await entry.call(idempotent=True, retry=True)
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.INTERNAL
        assert call.outcome == Outcome.UNKNOWN
        monkeypatch.undo()
        assert (await entry.call()).outcome == "answered"
        assert fleet.dials == ["b1"]


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_fail_and_reset_never_claim_not_run(kind: ErrorKind) -> None:
    refusal = make_refusal_after_dispatch(kind, "detail")
    assert not refusal.not_run
    if not Refusal(kind, "").not_run:
        assert refusal.kind is kind

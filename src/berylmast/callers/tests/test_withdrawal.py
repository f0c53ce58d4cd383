"""Tests that waiting requests of a stopping daemon get a true refusal.

They have not run, so their callers may go on at once, at another daemon.
"""

from functools import partial

import anyio
import pytest

from ...errors import ErrorKind, Outcome
from ...tests.fakes import Call, FailurePoint, run_fleet

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("local", [False, True], ids=["remote", "local"])
@pytest.mark.parametrize("idempotent", [False, True], ids=["unsafe", "idempotent"])
async def test_request_that_waits_at_a_full_server_is_withdrawn(
    idempotent: bool, local: bool
) -> None:
    async with run_fleet("b1") as fleet:
        fleet.set_slots(1)
        fleet.backends["b1"].service_time_s = 5.0
        entry = fleet.entry(local="b1" if local else None)
        calls: dict[str, Call] = {}

        async def call(name: str) -> None:
            calls[name] = await entry.call(request_id=name, idempotent=idempotent)

        async with anyio.create_task_group() as tg:
            tg.start_soon(call, "running")
            await anyio.sleep(0.1)
            tg.start_soon(call, "waiting")
            await anyio.sleep(0.2)
            started_s = anyio.current_time()
            entry.forwarding_context.withdrawals.begin()
            while "waiting" not in calls:
                await anyio.sleep(0.01)
            assert anyio.current_time() - started_s < 0.5
        assert calls["running"].outcome == "answered"
        refusal = calls["waiting"].refusal
        assert refusal is not None
        assert refusal.kind is ErrorKind.DRAINING
        assert calls["waiting"].outcome == Outcome.NOT_RUN
        await anyio.sleep(60)
        assert fleet.count_runs() == {"running": 1}


async def test_withdrawn_request_whose_owner_is_gone_has_an_unknown_outcome() -> None:
    async with run_fleet("b1") as fleet:
        fleet.set_slots(1)
        fleet.backends["b1"].stall_at = FailurePoint.RUN
        entry = fleet.entry()
        calls: list[Call] = []

        async def call() -> None:
            calls.append(await entry.call(request_id="waiting", retry=True))

        async with anyio.create_task_group() as tg:
            tg.start_soon(partial(entry.call, request_id="running"))
            await anyio.sleep(0.1)
            tg.start_soon(call)
            await anyio.sleep(0.1)
            fleet.unreachable.add("b1")
            fleet.silence("b1")
            entry.forwarding_context.withdrawals.begin()
            await anyio.sleep(30)
            assert calls[0].outcome == Outcome.UNKNOWN
            tg.cancel_scope.cancel()

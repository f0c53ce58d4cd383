"""Guards against requests that fail or run twice during a graceful exit or a drain.

Runs real processes under load.
"""

from pathlib import Path
from typing import Any

import anyio
import pytest

from ..fleet import (
    Fleet,
    Member,
    control_backend,
    read_executed_ids,
    reserve_ports,
    run_fleet,
)
from ..load import LoadClass, run_load

pytestmark = pytest.mark.anyio

DOCUMENT = Path(__file__).parents[3] / "examples" / "kalvola.json5"
ORDERS = LoadClass("orders", "orders", "POST", "/orders", 60, 400)
LOAD_S = 6.0
LEAVE_LIMIT_S = 3.0
"""Time after which a leaving backend server must get no new requests."""


@pytest.fixture
def anyio_backend(real_clock: tuple[str, dict[str, Any]]) -> tuple[str, dict[str, Any]]:
    return real_clock


async def test_sigterm_under_load_fails_no_request() -> None:
    first_port = reserve_ports(12)
    members = [
        Member(f"orders-{n}", "orders", "north", "n1", 6, 20.0, first_port + 4 * n)
        for n in range(3)
    ]
    late_requests: list[str] = []

    async def stop_daemon(fleet: Fleet) -> None:
        await anyio.sleep(1.5)
        fleet.processes["daemon-orders-0"].terminate()
        await anyio.sleep(LEAVE_LIMIT_S)
        before = await read_executed_ids(members[0])
        await anyio.sleep(1.0)
        late_requests.extend((await read_executed_ids(members[0]))[len(before) :])

    async with run_fleet(members, DOCUMENT) as fleet:
        async with anyio.create_task_group() as tg:
            tg.start_soon(stop_daemon, fleet)
            # Callers use the other entries, because the stopping daemon closes its
            # listening socket before it exits.
            entries = [member.caller_address for member in members[1:]]
            results = await run_load(entries, [ORDERS], LOAD_S)
        ledgers = [await read_executed_ids(member) for member in members]
        exit_code = fleet.processes["daemon-orders-0"].wait(timeout=10)
    result = results["orders"]
    assert result.outcomes == {}
    assert result.answered > 0.7 * ORDERS.rate * LOAD_S
    assert late_requests == []
    runs = [request for ledger in ledgers for request in ledger]
    assert sorted(runs) == sorted(result.answered_ids)
    assert exit_code == 0


async def test_backend_server_that_reports_draining_gets_no_new_requests() -> None:
    first_port = reserve_ports(12)
    members = [
        Member(
            f"orders-{n}", "orders", "north", "n1", 6, 20.0, first_port + 4 * n, True
        )
        for n in range(3)
    ]
    before: list[str] = []
    late_requests: list[str] = []

    async def drain_backend() -> None:
        await anyio.sleep(1.5)
        before.extend(await read_executed_ids(members[0]))
        await control_backend(members[0], draining=True)
        await anyio.sleep(LEAVE_LIMIT_S)
        ledger = await read_executed_ids(members[0])
        await anyio.sleep(1.0)
        late_requests.extend((await read_executed_ids(members[0]))[len(ledger) :])

    async with run_fleet(members, DOCUMENT) as fleet:
        async with anyio.create_task_group() as tg:
            tg.start_soon(drain_backend)
            # The daemon beside the draining backend server still accepts callers.
            entries = [member.caller_address for member in members]
            results = await run_load(entries, [ORDERS], LOAD_S)
        ledgers = [await read_executed_ids(member) for member in members]
        assert fleet.processes["daemon-orders-0"].poll() is None
    result = results["orders"]
    assert result.outcomes == {}
    assert result.answered > 0.7 * ORDERS.rate * LOAD_S
    assert before != []
    assert late_requests == []
    runs = [request for ledger in ledgers for request in ledger]
    assert sorted(runs) == sorted(result.answered_ids)

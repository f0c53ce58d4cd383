"""Guards against duplicate executions and false outcomes when a process fails.

Runs real processes under load and kills or stops one of them.
"""

import os
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from ..fleet import Fleet, Member, read_executed_ids, reserve_ports, run_fleet
from ..load import LoadClass, run_load

pytestmark = pytest.mark.anyio

DOCUMENT = Path(__file__).parents[3] / "examples" / "kalvola.json5"
ORDERS = LoadClass("orders", "orders", "POST", "/orders", 60, 400)
LOAD_S = 6.0
FAULTY_MEMBER = "orders-0"
STOPPED_S = 3.0
"""Longer than SILENCE_LIMIT_S, after which a peer stream counts as lost."""


@pytest.fixture
def anyio_backend(real_clock: tuple[str, dict[str, Any]]) -> tuple[str, dict[str, Any]]:
    return real_clock


def send_signal(fleet: Fleet, name: str, signum: signal.Signals) -> None:
    os.kill(fleet.processes[name].pid, signum)


async def kill_daemon(fleet: Fleet) -> None:
    send_signal(fleet, f"daemon-{FAULTY_MEMBER}", signal.SIGKILL)


async def freeze_daemon(fleet: Fleet) -> None:
    send_signal(fleet, f"daemon-{FAULTY_MEMBER}", signal.SIGSTOP)
    await anyio.sleep(STOPPED_S)
    send_signal(fleet, f"daemon-{FAULTY_MEMBER}", signal.SIGCONT)


async def freeze_backend(fleet: Fleet) -> None:
    send_signal(fleet, f"backend-{FAULTY_MEMBER}", signal.SIGSTOP)
    await anyio.sleep(STOPPED_S)
    send_signal(fleet, f"backend-{FAULTY_MEMBER}", signal.SIGCONT)


async def kill_platform(fleet: Fleet) -> None:
    send_signal(fleet, "platform", signal.SIGKILL)


@pytest.mark.parametrize(
    ("inject_fault", "answered"),
    [
        (kill_daemon, 0.9),
        (freeze_daemon, 0.9),
        (freeze_backend, 0.9),
        (kill_platform, 1.0),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
async def test_outcomes_are_true_when_a_process_fails_under_load(
    inject_fault: Callable[[Fleet], Awaitable[None]], answered: float
) -> None:
    first_port = reserve_ports(12)
    members = [
        Member(f"orders-{n}", "orders", "north", "n1", 6, 20.0, first_port + 4 * n)
        for n in range(3)
    ]

    async def inject_fault_later(fleet: Fleet) -> None:
        await anyio.sleep(1.5)
        await inject_fault(fleet)

    async with run_fleet(members, DOCUMENT) as fleet:
        async with anyio.create_task_group() as tg:
            tg.start_soon(inject_fault_later, fleet)
            entries = [member.caller_address for member in members[1:]]
            results = await run_load(entries, [ORDERS], LOAD_S)
        ledgers = [await read_executed_ids(member) for member in members]
    result = results["orders"]
    runs = Counter(request for ledger in ledgers for request in ledger)
    assert [request for request, count in runs.items() if count > 1] == []
    assert [request for request in result.not_run_ids if request in runs] == []
    assert [request for request in result.answered_ids if request not in runs] == []
    assert set(result.outcomes) <= {"unknown", "not-run", "failed"}
    total = result.answered + sum(result.outcomes.values())
    assert result.answered >= answered * total, result.outcomes

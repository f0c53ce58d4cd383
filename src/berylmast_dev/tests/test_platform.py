"""Guards the path from caller to backend server on the platform's protocol.

Runs real processes.
"""

import os
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import httpcore
import pytest

from ..fleet import START_TIMEOUT_S, reserve_ports
from ..platform_fleet import (
    PlatformFleet,
    PlatformLoad,
    PlatformMember,
    control_platform_backend,
    make_configuration,
    make_platform_members,
    make_route,
    read_executed_attempts,
    run_platform_fleet,
    run_platform_load,
    wait_until_ready,
)

pytestmark = pytest.mark.anyio

DAEMON_SCRIPT = Path(__file__).parents[3] / "deploy" / "berylmastd.py"
PYTHON_PATH = os.pathsep.join(path for path in sys.path if path)

READS = PlatformLoad("/orders/", 60)
WRITES = PlatformLoad("/pay/", 40, "POST", b"x" * 400)
ZONES = [("n", "n1"), ("s", "s1")]


@pytest.fixture
def anyio_backend(real_clock: tuple[str, dict[str, Any]]) -> tuple[str, dict[str, Any]]:
    return real_clock


def make_spec(version: int) -> Any:
    return make_configuration(
        version,
        [
            make_route("orders", "/orders/", idempotent=True),
            make_route("orders", "/pay/", idempotent=False),
        ],
    )


async def count_runs(members: list[PlatformMember]) -> Counter[str]:
    runs: Counter[str] = Counter()
    for member in members:
        runs.update(await read_executed_attempts(member))
    return runs


@pytest.mark.parametrize("garble", ["", "unsealed", "cut", "crossed"])
async def test_responses_are_complete_and_match_their_request(garble: str) -> None:
    members = make_platform_members({"orders": 10.0}, ZONES)
    async with run_platform_fleet(members, make_spec(1)):
        await control_platform_backend(members[0], garble=garble)
        results = await run_platform_load(members, [READS, WRITES], 2.0)
        runs = await count_runs(members)
    reads, writes = results["/orders/"], results["/pay/"]
    assert reads.unsealed == writes.unsealed == 0
    assert len(writes.answered) > 20
    assert all(runs[attempt] <= 1 for attempt in writes.answered)
    assert all(runs[attempt] == 0 for attempt in reads.refused + writes.refused)
    if not garble:
        assert set(reads.statuses) == set(writes.statuses) == {200}


@pytest.mark.parametrize(
    "fault", ["kill_daemon", "store_stopped", "restart_without_store"]
)
async def test_outcomes_are_true_while_a_process_fails(fault: str) -> None:
    members = make_platform_members({"orders": 10.0}, [*ZONES, ("n", "n2")])

    async def inject_fault(fleet: PlatformFleet) -> None:
        await anyio.sleep(1.0)
        if fault != "kill_daemon":
            fleet.processes["platform"].send_signal(signal.SIGSTOP)
        if fault != "store_stopped":
            daemon = fleet.processes[f"daemon-{members[0].name}"]
            daemon.kill()
            daemon.wait()
            fleet.start_platform_daemon(members[0])

    async with run_platform_fleet(members, make_spec(1)) as fleet:
        async with anyio.create_task_group() as tg:
            tg.start_soon(inject_fault, fleet)
            results = await run_platform_load(members[1:], [READS, WRITES], 4.0)
        await wait_until_ready(members[0])
        after_restart = await run_platform_load(members[:1], [READS], 1.0)
        fleet.processes["platform"].send_signal(signal.SIGCONT)
        runs = await count_runs(members)
    writes = results["/pay/"]
    assert all(runs[attempt] <= 1 for attempt in runs)
    assert all(runs[attempt] == 0 for attempt in writes.refused)
    answered = len(results["/orders/"].answered) + len(writes.answered)
    total = sum(results["/orders/"].statuses.values()) + sum(writes.statuses.values())
    assert answered > 0.8 * total
    assert set(after_restart["/orders/"].statuses) == {200}


async def test_draining_server_gets_no_request_after_leave_s() -> None:
    members = make_platform_members({"orders": 10.0}, ZONES)
    late_attempts: list[str] = []

    async def start_draining() -> None:
        await anyio.sleep(1.0)
        await control_platform_backend(members[0], draining=True)
        # One heartbeat interval, then the default of the setting ``leave_s``.
        await anyio.sleep(0.5 + 2.0)
        before = await read_executed_attempts(members[0])
        await anyio.sleep(1.0)
        late_attempts.extend((await read_executed_attempts(members[0]))[len(before) :])

    async with run_platform_fleet(members, make_spec(1)):
        async with anyio.create_task_group() as tg:
            tg.start_soon(start_draining)
            results = await run_platform_load(members, [READS, WRITES], 4.5)
    assert late_attempts == []
    assert set(results["/orders/"].statuses) | set(results["/pay/"].statuses) == {200}


@pytest.mark.parametrize("watches", ["heard", "silent"])
async def test_new_configuration_is_in_force_within_two_seconds(watches: str) -> None:
    """Watches that had gone silent hid the change from all daemons for half a minute.

    The daemons count as undisturbed three seconds after the watches went silent.
    """
    members = make_platform_members({"orders": 10.0}, ZONES)
    new_load = PlatformLoad("/new/", 20)
    async with run_platform_fleet(members, make_spec(1)) as fleet:
        before = await run_platform_load(members, [new_load], 0.5)
        if watches == "silent":
            await fleet.control_store(silent_watches=True)
            await anyio.sleep(3.0)
        spec = make_spec(5)
        route = make_route("orders", "/new/", idempotent=True)
        spec["virtualHosts"][0]["routePaths"].append(route)
        await fleet.put_configuration(spec)
        await anyio.sleep(2.0)
        after = await run_platform_load(members, [new_load], 0.5)
    assert set(before["/new/"].statuses) == {404}
    assert set(after["/new/"].statuses) == {200}


async def test_sighup_reload_fails_no_request() -> None:
    """Guards against a missing handler: by default, SIGHUP ends the process."""
    members = make_platform_members({"orders": 10.0}, ZONES)

    async def reload(fleet: PlatformFleet) -> None:
        for _ in range(5):
            await anyio.sleep(0.3)
            for member in members:
                daemon = fleet.processes[f"daemon-{member.name}"]
                daemon.send_signal(signal.SIGHUP)

    async with run_platform_fleet(members, make_spec(1)) as fleet:
        async with anyio.create_task_group() as tg:
            tg.start_soon(reload, fleet)
            results = await run_platform_load(members, [READS, WRITES], 2.0)
        logs = [fleet.read_log(f"daemon-{member.name}") for member in members]
    assert set(results["/orders/"].statuses) | set(results["/pay/"].statuses) == {200}
    assert all("event=reload cause=signal outcome=applied" in log for log in logs)


async def test_reload_during_the_start_does_not_end_the_daemon(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends the daemon while it imports its modules.

    The daemon sets its own handler only after these imports.
    """
    member = make_platform_members({"orders": 10.0}, ZONES[:1])[0]
    fleet = PlatformFleet(tmp_path, reserve_ports(1))
    path = fleet.write_settings(member.name, fleet.make_settings(member))
    process = subprocess.Popen(
        [sys.executable, "-S", str(DAEMON_SCRIPT)],
        env={**os.environ, "BERYLMAST_SETTINGS": str(path), "PYTHONPATH": PYTHON_PATH},
    )
    try:
        with anyio.fail_after(START_TIMEOUT_S):
            while not handles_sighup(process.pid):
                await anyio.sleep(0.001)
            memory_maps = Path(f"/proc/{process.pid}/maps").read_text()
            process.send_signal(signal.SIGHUP)
            async with httpcore.AsyncConnectionPool() as pool:
                while not await is_responding(pool, member):
                    assert process.poll() is None
                    process.send_signal(signal.SIGHUP)
                    await anyio.sleep(0.02)
    finally:
        process.terminate()
        process.wait()
    assert "pydantic_core" not in memory_maps, "SIGHUP came after the imports"


def handles_sighup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP or has a handler for it."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    masks = [line.split()[1] for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(int(mask, 16) & (1 << (signal.SIGHUP - 1)) for mask in masks)


async def is_responding(
    pool: httpcore.AsyncConnectionPool, member: PlatformMember
) -> bool:
    """Return whether a daemon responds at its readiness address, ready or not."""
    try:
        await pool.request("GET", f"http://{member.ready_address}/v1/ready")
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False
    return True

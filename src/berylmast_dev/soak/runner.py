"""Runs one case: starts the processes, injects the faults, checks the invariants."""

import re
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio

from ..fleet import reserve_ports
from ..platform_fleet import (
    VIRTUAL_HOST,
    FleetNotReady,
    PlatformMember,
    make_platform_members,
    wait_until_ready,
)
from .cases import Case, save_case
from .configuration_writer import SERVICES, ConfigurationWriter
from .fault_injector import FaultInjector
from .invariants import (
    HeldServer,
    Observations,
    SentRequest,
    Violation,
    find_violations,
)
from .soak_fleet import FAILURE_DOMAINS, LEAVE_S, SoakFleet
from .traffic import send_traffic

BACKEND_MEAN_MS = 12.0
MAX_ATTEMPTS = 2
RECOVERY_WAIT_S = 6.0
RECOVERY_TRAFFIC_S = 3.0
RUN_TIMEOUT_S = 120.0

_BACKEND_STATE = re.compile(r"event=backend_state backend=(\S+) .*?state=(\w+)")


@dataclass(frozen=True, slots=True)
class CaseResult:
    """Result of one case; ``folder`` holds the logs and the case if it failed."""

    case: Case
    statuses: Counter[int]
    violations: list[Violation]
    folder: Path | None = None
    errors: list[str] = field(default_factory=list)


async def run_case(case: Case, output_folder: Path) -> CaseResult:
    """Run one case; if it fails, save its faults and logs below ``output_folder``."""
    with tempfile.TemporaryDirectory(prefix="berylmast-soak-") as name:
        folder = Path(name)
        result = await _run(case, folder)
        if not result.violations and not result.errors:
            return result
        case_folder = output_folder / f"seed-{case.seed}"
        shutil.copytree(folder, case_folder, dirs_exist_ok=True)
        await save_case(case, case_folder / "case.json")
    return replace(result, folder=case_folder)


async def _run(case: Case, folder: Path) -> CaseResult:
    members = [
        _add_nested_call(member)
        for member in make_platform_members(
            dict.fromkeys(SERVICES, BACKEND_MEAN_MS), FAILURE_DOMAINS
        )
    ]
    fleet = SoakFleet(folder, reserve_ports(1), members)
    requests: list[SentRequest] = []
    try:
        with anyio.fail_after(RUN_TIMEOUT_S):
            async with anyio.create_task_group() as tg:
                for link in fleet.link_proxies.values():
                    await tg.start(link.run)
                observations = await _run_traffic_and_faults(fleet, case, requests)
                tg.cancel_scope.cancel()
        fleet.record_unexpected_exits()
    finally:
        fleet.stop_all()
    errors = [*fleet.unexpected_exits, *_find_tracebacks(fleet)]
    statuses = Counter(item.status for item in requests)
    return CaseResult(case, statuses, find_violations(observations), errors=errors)


async def _run_traffic_and_faults(
    fleet: SoakFleet, case: Case, requests: list[SentRequest]
) -> Observations:
    fleet.start_platform()
    await fleet.wait_for_platform()
    writer = ConfigurationWriter(fleet.put_configuration)
    await writer.write(writer.make_spec())
    for member in fleet.members:
        fleet.start_member(member)
    try:
        for member in fleet.members:
            await wait_until_ready(member)
    except TimeoutError as exc:
        raise FleetNotReady(fleet.describe_processes()) from exc
    await anyio.sleep(1.0)
    injector = FaultInjector(fleet, writer)
    start_s = anyio.current_time()
    async with anyio.create_task_group() as tg:
        tg.start_soon(_send_all_traffic, fleet, case, start_s + case.seconds, requests)
        for fault in case.faults:
            tg.start_soon(injector.inject, fault, start_s)
    await anyio.sleep(RECOVERY_WAIT_S)
    recovered_by_s = anyio.current_time()
    await _send_all_traffic(fleet, case, recovered_by_s + RECOVERY_TRAFFIC_S, requests)
    return Observations(
        sent=requests,
        runs=fleet.read_runs(),
        leaves=injector.leaves,
        fault_periods=fleet.fault_periods,
        configuration_writes=writer.writes,
        callers={member.name: member.service for member in fleet.members},
        recovered_by_s=recovered_by_s,
        leave_s=LEAVE_S,
        max_attempts=MAX_ATTEMPTS,
        held_servers=_find_held_servers(fleet),
    )


def _find_held_servers(fleet: SoakFleet) -> list[HeldServer]:
    """Return which server each daemon holds for the one beside it, from its log."""
    logs = fleet.read_logs()
    held = []
    for member in fleet.members:
        lines = _BACKEND_STATE.findall(logs[f"daemon-{member.name}"])
        backend, state = lines[-1] if lines else ("", "")
        held.append(HeldServer(fleet.get_server_id(member), backend, state))
    return held


async def _send_all_traffic(
    fleet: SoakFleet, case: Case, until_s: float, requests: list[SentRequest]
) -> None:
    async def send(member: PlatformMember) -> None:
        entry_requests = await send_traffic(
            fleet, member, case.rate, case.seed, until_s
        )
        requests.extend(entry_requests)

    async with anyio.create_task_group() as tg:
        for member in fleet.members:
            tg.start_soon(send, member)


def _add_nested_call(member: PlatformMember) -> PlatformMember:
    """Make the backend servers of the first service call the second one."""
    call = f"{VIRTUAL_HOST} /called/item" if member.service == SERVICES[0] else ""
    return replace(member, call=call)


def _find_tracebacks(fleet: SoakFleet) -> list[str]:
    """Return a message for each daemon that logged an unhandled exception."""
    return [
        f"{name} logged a traceback"
        for name, log in fleet.read_logs().items()
        if name.startswith("daemon-") and "Traceback (most recent call last)" in log
    ]

"""Runs one case: starts the processes, injects the faults, checks the invariants."""

import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path

import anyio

from ..fleet import find_ports
from ..platform_fleet import (
    ENTRY_HOST,
    FleetNotReady,
    PlatformMember,
    make_layout,
    wait_ready,
)
from .callers import send_traffic
from .cases import Case, save_case
from .configurations import SERVICES, Configurations
from .layout import LEAVE_S, ZONES, SoakFleet
from .promises import Record, Sent, Violation, find_violations
from .strikes import Striker

MEAN_MS = 12.0
MAX_ATTEMPTS = 2
SETTLE_S = 6.0
CALM_S = 3.0
MOST_RUN_S = 120.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one case; ``folder`` holds the logs and the case if it failed."""

    case: Case
    statuses: Counter[int]
    violations: list[Violation]
    folder: Path | None = None
    errors: list[str] = field(default_factory=list)


async def play_case(case: Case, keep: Path) -> Outcome:
    """Run one case; if it fails, save its faults and logs in a folder in ``keep``."""
    with tempfile.TemporaryDirectory(prefix="berylmast-soak-") as name:
        folder = Path(name)
        outcome = await _play(case, folder)
        if not outcome.violations and not outcome.errors:
            return outcome
        kept = keep / f"seed-{case.seed}"
        shutil.copytree(folder, kept, dirs_exist_ok=True)
        await save_case(case, kept / "case.json")
    return replace(outcome, folder=kept)


async def _play(case: Case, folder: Path) -> Outcome:
    members = [
        _with_call(member)
        for member in make_layout(dict.fromkeys(SERVICES, MEAN_MS), ZONES)
    ]
    fleet = SoakFleet(folder, find_ports(1), members)
    sent: list[Sent] = []
    try:
        with anyio.fail_after(MOST_RUN_S):
            async with anyio.create_task_group() as tg:
                for link in fleet.links.values():
                    await tg.start(link.run)
                record = await _strike_and_judge(fleet, case, sent)
                tg.cancel_scope.cancel()
        fleet.note_own_ends()
    finally:
        fleet.stop_all()
    errors = [*fleet.ended_by_themselves, *_find_tracebacks(fleet)]
    statuses = Counter(item.status for item in sent)
    return Outcome(case, statuses, find_violations(record), errors=errors)


async def _strike_and_judge(fleet: SoakFleet, case: Case, sent: list[Sent]) -> Record:
    fleet.start_platform()
    await fleet.wait_platform()
    configurations = Configurations(fleet.put_configuration)
    await configurations.write(configurations.make_spec())
    for member in fleet.members:
        fleet.start_member(member)
    try:
        for member in fleet.members:
            await wait_ready(member)
    except TimeoutError as exc:
        raise FleetNotReady(fleet.describe()) from exc
    await anyio.sleep(1.0)
    striker = Striker(fleet, configurations)
    start_s = anyio.current_time()
    async with anyio.create_task_group() as tg:
        tg.start_soon(_send_all, fleet, case, start_s + case.seconds, sent)
        for fault in case.faults:
            tg.start_soon(striker.strike, fault, start_s)
    await anyio.sleep(SETTLE_S)
    calm_from_s = anyio.current_time()
    await _send_all(fleet, case, calm_from_s + CALM_S, sent)
    return Record(
        sent=sent,
        runs=fleet.read_runs(),
        leaves=striker.leaves,
        disturbed=fleet.disturbed,
        configurations=configurations.history,
        callers={member.name: member.service for member in fleet.members},
        calm_from_s=calm_from_s,
        leave_s=LEAVE_S,
        max_attempts=MAX_ATTEMPTS,
    )


async def _send_all(
    fleet: SoakFleet, case: Case, until_s: float, sent: list[Sent]
) -> None:
    async def send(member: PlatformMember) -> None:
        found = await send_traffic(fleet, member, case.rate, case.seed, until_s)
        sent.extend(found)

    async with anyio.create_task_group() as tg:
        for member in fleet.members:
            tg.start_soon(send, member)


def _with_call(member: PlatformMember) -> PlatformMember:
    """Make the backend servers of the first service call the second one."""
    call = f"{ENTRY_HOST} /called/item" if member.service == SERVICES[0] else ""
    return replace(member, call=call)


def _find_tracebacks(fleet: SoakFleet) -> list[str]:
    """Return a message for each daemon that logged an unhandled exception."""
    return [
        f"{name} logged a traceback"
        for name, log in fleet.read_logs().items()
        if name.startswith("daemon-") and "Traceback (most recent call last)" in log
    ]

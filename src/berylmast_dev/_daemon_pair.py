"""Runs an entry and an owner daemon for benchmarks and reads their resource usage.

The entry accepts callers; the owner is the daemon beside the backend server.
"""

import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from .fleet import PORTS_PER_MEMBER, Fleet, Member, reserve_ports, run_fleet

BENCH_HOST = "bench"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_SLOTS = 64


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Processor time that a process has used, its current and its peak memory."""

    cpu_s: float
    resident_kib: int
    peak_kib: int


@dataclass(frozen=True, slots=True)
class DaemonPair:
    """Two running daemons: ``entry`` accepts callers and forwards to ``owner``."""

    fleet: Fleet
    entry: Member
    owner: Member

    def read_usage(self, member: Member) -> ProcessUsage:
        """Return the resource usage of a member's daemon so far."""
        return read_process_usage(self.fleet.processes[f"daemon-{member.name}"].pid)


def read_process_usage(pid: int) -> ProcessUsage:
    """Return the resource usage of a process so far, from ``/proc``."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    memory_kib = {
        line.split(":")[0]: line.split()[1] for line in status if "Vm" in line
    }
    ticks = int(stat[11]) + int(stat[12])
    return ProcessUsage(
        ticks / _TICKS_PER_S, int(memory_kib["VmRSS"]), int(memory_kib["VmHWM"])
    )


def _make_document() -> dict[str, object]:
    route = {"path": "/", "priority": "normal", "deadline_ms": 60_000}
    service = {
        "policy": "power_of_two",
        "slots": _SLOTS,
        "routes": [{**route, "idempotent": True}],
    }
    return {
        "priorities": [{"name": "normal", "floor": 0.5}],
        "services": {
            BENCH_HOST: {**service, "hosts": [BENCH_HOST]},
            "other": {**service, "hosts": ["other"]},
        },
    }


@asynccontextmanager
async def run_daemon_pair(*, mean_ms: float) -> AsyncIterator[DaemonPair]:
    """Run an entry and an owner daemon, each with a simulated backend server."""
    port = reserve_ports(2 * PORTS_PER_MEMBER)
    entry = Member("entry", "other", "north", "n1", _SLOTS, mean_ms, port)
    owner = Member(
        "owner", BENCH_HOST, "north", "n1", _SLOTS, mean_ms, port + PORTS_PER_MEMBER
    )
    with TemporaryDirectory(prefix="berylmast-") as folder:
        document = Path(folder) / "bench.json5"
        document.write_text(json.dumps(_make_document()))
        async with run_fleet([entry, owner], document) as fleet:
            yield DaemonPair(fleet, entry, owner)

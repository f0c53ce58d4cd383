"""Compares routing policies while one backend server is slow or failing.

Prints one Markdown table per fault; it covers the requests due after the fault began.
The policies run one after the other on the same processes with the same load. Each is
activated as an operator would do it, by applying a new document.
"""

import json
import tempfile
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path

import anyio
import httpcore
from cyclopts import App

from ._bench_load import send_load
from .fleet import (
    HOST,
    PORTS_PER_MEMBER,
    Fleet,
    Member,
    control_backend,
    reserve_ports,
    run_fleet,
)

BACKEND_SERVERS = 8
SLOTS = 6
MEAN_MS = 40.0
UTILISATION = 0.55
LOAD_PROCESSES = 6
"""Number of load generator processes. With 3, each used 60% of a core, and waiting for
the processor inflated every latency (medians of 62 to 81 ms on a busy machine)."""

BEFORE_FAULT_S = 2.0
AFTER_FAULT_S = 6.0
RECOVERY_S = 0.5
POLICIES = ("random", "round_robin", "least_in_flight", "power_of_two", "hot_cold")
CHOSEN_POLICY = "hot_cold"
FAULTS: dict[str, dict[str, object]] = {
    "one server slowed tenfold": {"slow": 10.0},
    "one server failing fast": {"fail": True},
}
NO_FAULT = {"slow": 1.0, "fail": False}


@dataclass(slots=True)
class PolicyResult:
    """Results of one policy after the fault; ``errors`` are failed requests."""

    policy: str
    latencies_ms: list[float] = field(default_factory=list)
    errors: int = 0
    probes: int = 0
    probe_bytes: int = 0
    calls: int = 0

    def get_percentile(self, percent: float) -> float:
        """Return a latency percentile; a failed request counts as infinitely long."""
        ordered = sorted(self.latencies_ms)
        index = int(percent / 100 * (len(ordered) + self.errors))
        return ordered[index] if index < len(ordered) else float("inf")


def make_members(domains: int) -> list[Member]:
    """Return the members of one service, spread evenly over failure domains."""
    first = reserve_ports(BACKEND_SERVERS * PORTS_PER_MEMBER)
    return [
        Member(
            name=f"pages-{number}",
            service="pages",
            region="north",
            failure_domain=f"n{number % domains}",
            slots=SLOTS,
            mean_ms=MEAN_MS,
            port=first + PORTS_PER_MEMBER * number,
        )
        for number in range(BACKEND_SERVERS)
    ]


def make_document(policy: str, ejection: bool) -> str:
    """Return a document with one service that uses the given policy."""
    route = {"path": "/", "idempotent": True, "priority": "normal"}
    service = {
        "hosts": ["pages"],
        "policy": policy,
        "ejection": ejection,
        "slots": SLOTS,
        "routes": [{**route, "deadline_ms": 5000}],
    }
    return json.dumps(
        {"priorities": [{"name": "normal"}], "services": {"pages": service}}
    )


async def _read_counters(members: list[Member]) -> dict[str, int]:
    totals = {"calls": 0, "probes": 0, "probe_bytes": 0}
    async with httpcore.AsyncConnectionPool() as pool:
        for member in members:
            res = await pool.request("GET", f"http://{HOST}:{member.port + 2}/routing")
            report = json.loads(res.content)
            for name in totals:
                totals[name] += report[name]
    return totals


async def _measure_policy(
    executor: ProcessPoolExecutor,
    members: list[Member],
    policy: str,
    fault: dict[str, object],
    faulty_member: Member,
) -> PolicyResult:
    run = PolicyResult(policy)
    entries = [member.caller_address for member in members]
    rate = UTILISATION * BACKEND_SERVERS * SLOTS / (MEAN_MS / 1000) / LOAD_PROCESSES
    results: list[tuple[float, float]] = []

    async def send(seed: int) -> None:
        future = executor.submit(
            send_load, entries, rate, BEFORE_FAULT_S + AFTER_FAULT_S, seed
        )
        results.extend(await anyio.to_thread.run_sync(future.result))

    before: dict[str, int] = {}
    async with anyio.create_task_group() as tg:
        for seed in range(LOAD_PROCESSES):
            tg.start_soon(send, seed)
        await anyio.sleep(BEFORE_FAULT_S)
        before = await _read_counters(members)
        await control_backend(faulty_member, **fault)
    after = await _read_counters(members)
    await control_backend(faulty_member, **NO_FAULT)
    latencies_s = [latency_s for due_s, latency_s in results if due_s >= BEFORE_FAULT_S]
    run.latencies_ms = [s * 1000 for s in latencies_s if s != float("inf")]
    run.errors = len(latencies_s) - len(run.latencies_ms)
    run.calls = after["calls"] - before["calls"]
    run.probes = after["probes"] - before["probes"]
    run.probe_bytes = after["probe_bytes"] - before["probe_bytes"]
    await anyio.sleep(RECOVERY_S)
    return run


def print_table(fault: str, runs: list[PolicyResult]) -> None:
    """Print a table with one row per policy.

    A percentile that falls on a failed request is printed as "failed".
    """
    print(f"\n{fault}:\n")
    print("| policy | requests | errors | p50 ms | p99 ms | p99.9 ms ", end="")
    print("| probes/request | probe bytes/request |")
    print("|---|---|---|---|---|---|---|---|")
    for run in runs:
        values = [run.get_percentile(percent) for percent in (50, 99, 99.9)]
        cells = ["failed" if v == float("inf") else f"{v:.0f}" for v in values]
        calls = max(1, run.calls)
        print(
            f"| {run.policy} | {len(run.latencies_ms) + run.errors} | {run.errors} "
            f"| {' | '.join(cells)} | {run.probes / calls:.3f} "
            f"| {run.probe_bytes / calls:.2f} |"
        )


def print_p99_comparison(runs: list[PolicyResult]) -> None:
    """Print whether CHOSEN_POLICY has a lower p99 than every other policy."""
    p99 = {run.policy: run.get_percentile(99) for run in runs}
    chosen = p99.pop(CHOSEN_POLICY, float("inf"))
    has_lowest_p99 = all(chosen < value for value in p99.values())
    print(
        f"\n{CHOSEN_POLICY} beats every baseline on p99: "
        f"{'yes' if has_lowest_p99 else 'no'}"
    )


cli = App(name="bench_routing", help=__doc__)


@cli.default
def run(
    *,
    baseline_ejection: bool = False,
    domains: int = 1,
    policies: tuple[str, ...] = (),
) -> None:
    """Measure all policies, or only the given ones.

    With ``baseline_ejection``, the baselines also eject servers that return errors.
    """
    options = {"use_uvloop": True}
    names = policies or POLICIES
    anyio.run(_run, baseline_ejection, domains, names, backend_options=options)


async def _apply_document(fleet: Fleet, path: Path, document: str, base: int) -> None:
    path.write_text(document)
    await anyio.to_thread.run_sync(fleet.apply_document, path, base)
    # Longer than the interval at which daemons poll the platform for a new document.
    await anyio.sleep(1.0)


async def _run(baseline_ejection: bool, domains: int, policies: Sequence[str]) -> None:
    members = make_members(domains)
    # Spawned, because a forked process would share the event loop of this one.
    context = get_context("spawn")
    with (
        tempfile.TemporaryDirectory(prefix="berylmast-bench-") as folder,
        ProcessPoolExecutor(LOAD_PROCESSES, context) as executor,
    ):
        path = Path(folder) / "document.json"
        path.write_text(make_document(CHOSEN_POLICY, True))
        async with run_fleet(members, path) as fleet:
            run_index = 0
            for fault, control in FAULTS.items():
                runs = []
                for policy in policies:
                    ejection = baseline_ejection or policy == CHOSEN_POLICY
                    document = make_document(policy, ejection)
                    await _apply_document(fleet, path, document, base=run_index + 1)
                    # Each run uses another server, so that the previous fault has no
                    # effect on it.
                    faulty_member = members[run_index % BACKEND_SERVERS]
                    runs.append(
                        await _measure_policy(
                            executor, members, policy, control, faulty_member
                        )
                    )
                    run_index += 1
                print_table(fault, runs)
                print_p99_comparison(runs)


if __name__ == "__main__":
    cli()

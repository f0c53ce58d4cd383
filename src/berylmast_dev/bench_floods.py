"""Compares priorities and load shedding with first come, first served under overload.

Two fleets of 4 backend servers with 6 slots each get the same loads, one fleet at a
time. Prints Markdown tables. Offered rates are fractions of the capacity, which follows
from the number of slots and the mean service time.
"""

import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace
from pathlib import Path

import anyio
from cyclopts import App

from .fleet import (
    DAEMON_MODULE,
    PORTS_PER_MEMBER,
    Member,
    read_executed_ids,
    reserve_ports,
    run_fleet,
)
from .load import LoadClass
from .load_worker import LoadSpec, LoadSummary

BACKEND_SERVERS = 4
SLOTS = 6
MEAN_MS = 60.0
CAPACITY_PER_S = BACKEND_SERVERS * SLOTS * 1000 / MEAN_MS
PRIORITY_FLOORS = {"urgent": 0.5, "normal": 0.2, "browse": 0.1}
MAX_RATE_PER_PROCESS = 450.0
"""Leaves headroom: a load process on one core can send about 1,000 per second."""

DOCUMENT = """{
  priorities: [
    { name: "urgent", floor: 0.5 },
    { name: "normal", floor: 0.2 },
    { name: "browse", floor: 0.1 },
  ],
  services: { shop: {
    hosts: ["shop"], policy: "power_of_two", slots: 6,
    routes: [
      { path: "/orders", idempotent: false, priority: "urgent", deadline_ms: 2000 },
      { path: "/state", idempotent: true, priority: "normal", deadline_ms: 2000 },
      { path: "/", idempotent: true, priority: "browse", deadline_ms: 5000 },
    ],
  } },
}"""

CLASSES = {
    "urgent": LoadClass("urgent", "shop", "POST", "/orders", 0, 200, "dealers"),
    "normal": LoadClass("normal", "shop", "GET", "/state/1", 0, 0, "dealers"),
    "browse": LoadClass("browse", "shop", "GET", "/pages/1", 0),
}

DAEMON_MODULES = {
    "priorities and shedding": DAEMON_MODULE,
    "first come, first served": "berylmast_dev.fcfs_daemon",
}


@dataclass(frozen=True, slots=True)
class Phase:
    """Offered rate of each priority as a fraction of the capacity."""

    title: str
    capacity_fractions: dict[str, float]


PHASES = [
    Phase("unflooded", {"urgent": 0.2, "normal": 0.2, "browse": 0.2}),
    Phase("flood of browse", {"urgent": 0.2, "normal": 0.2, "browse": 4.0}),
    Phase("flood of urgent", {"urgent": 2.0, "normal": 0.3, "browse": 0.2}),
]


@dataclass(frozen=True, slots=True)
class PhaseResult:
    """Results by priority.

    ``runs`` counts the requests that the backend servers executed.
    ``refused_but_executed`` counts the executed ones among those that callers were told
    had not run.
    """

    summaries: dict[str, LoadSummary]
    runs: Counter[str]
    refused_but_executed: int


def make_members() -> list[Member]:
    """Return the instances of one fleet."""
    first_port = reserve_ports(BACKEND_SERVERS * PORTS_PER_MEMBER)
    return [
        Member(
            name=f"shop-{number}",
            service="shop",
            region="north",
            failure_domain=f"n{number % 2}",
            slots=SLOTS,
            mean_ms=MEAN_MS,
            port=first_port + PORTS_PER_MEMBER * number,
        )
        for number in range(BACKEND_SERVERS)
    ]


async def run_phase(
    members: Sequence[Member], phase: Phase, seconds: float
) -> PhaseResult:
    """Send the load of one phase from several processes and collect the results."""
    counts_before = [len(await read_executed_ids(member)) for member in members]
    summaries = {name: LoadSummary() for name in phase.capacity_fractions}

    async def run_worker(name: str, spec: LoadSpec) -> None:
        completed = await anyio.run_process(
            [sys.executable, "-m", "berylmast_dev.load_worker"],
            input=spec.model_dump_json().encode(),
            stderr=subprocess.STDOUT,
        )
        summaries[name] = summaries[name].merge(
            LoadSummary.model_validate_json(completed.stdout)
        )

    async with anyio.create_task_group() as tg:
        for name, fraction in phase.capacity_fractions.items():
            for spec in _make_specs(members, name, fraction * CAPACITY_PER_S, seconds):
                tg.start_soon(run_worker, name, spec)
    ledgers = [await read_executed_ids(member) for member in members]
    executed_ids = [
        request_id
        for ledger, count_before in zip(ledgers, counts_before, strict=True)
        for request_id in ledger[count_before:]
    ]
    not_run = {i for summary in summaries.values() for i in summary.not_run_ids}
    runs = Counter(request_id.partition("@")[0] for request_id in executed_ids)
    return PhaseResult(summaries, runs, len(not_run.intersection(executed_ids)))


def _make_specs(
    members: Sequence[Member], name: str, rate: float, seconds: float
) -> list[LoadSpec]:
    processes = int(rate // MAX_RATE_PER_PROCESS) + 1
    return [
        LoadSpec(
            entries=[member.caller_address for member in members],
            item=replace(CLASSES[name], name=f"{name}@{n}", rate=rate / processes),
            seconds=seconds,
            seed=n + 1,
        )
        for n in range(processes)
    ]


def print_phase(phase: Phase, results: dict[str, PhaseResult], seconds: float) -> None:
    """Print a table with one row per system and priority."""
    print(f"\n### {phase.title.capitalize()}\n")
    print(
        "| system | priority | offered/s | answered/s | answered | p50 ms | p99 ms "
        "| p99.9 ms | not run | unknown | other | share of runs |"
    )
    print("|---" * 12 + "|")
    for system, result in results.items():
        total = max(1, result.runs.total())
        for name, summary in result.summaries.items():
            latencies = summary.decode_latencies()
            percentiles = " | ".join(
                f"{latencies.get_value_at_percentile(percentile) / 1000:.0f}"
                for percentile in (50, 99, 99.9)
            )
            not_run = summary.outcomes.get("not-run", 0)
            unknown = summary.outcomes.get("unknown", 0)
            other = summary.offered - summary.answered - not_run - unknown
            print(
                f"| {system} | {name} | {summary.offered / seconds:.0f} "
                f"| {summary.answered / seconds:.0f} "
                f"| {summary.answered / max(1, summary.offered):.1%} | {percentiles} "
                f"| {not_run} | {unknown} | {other} "
                f"| {result.runs[name] / total:.1%} |"
            )


def print_targets(results: dict[str, dict[str, PhaseResult]], seconds: float) -> None:
    """Print the figures of each system next to the targets of the design page."""
    print("\n### Targets\n")
    for system in DAEMON_MODULES:
        unflooded, browse_flood, urgent_flood = (
            results[phase.title][system] for phase in PHASES
        )
        urgent = browse_flood.summaries["urgent"]
        p99 = [
            run.summaries["urgent"].decode_latencies().get_value_at_percentile(99)
            / 1000
            for run in (unflooded, browse_flood)
        ]
        fraction = urgent.answered / max(1, urgent.offered)
        print(
            f"- {system}: flood of browse: urgent answered {fraction:.2%} "
            f"(at least 99%), p99 {p99[1]:.0f} ms (at most {2 * p99[0]:.0f})"
        )
        for name in ("normal", "browse"):
            answered_per_s = urgent_flood.summaries[name].answered / seconds
            floor_per_s = min(
                PRIORITY_FLOORS[name] * CAPACITY_PER_S,
                urgent_flood.summaries[name].offered / seconds,
            )
            print(
                f"- {system}: flood of urgent: {name} answered {answered_per_s:.1f}/s "
                f"(floor {floor_per_s:.1f}/s)"
            )
        untrue_refusals = sum(
            run.refused_but_executed for run in (unflooded, browse_flood, urgent_flood)
        )
        print(f"- {system}: refused as not run but did run: {untrue_refusals}")


cli = App(name="bench_floods", help=__doc__)


@cli.default
def run(*, seconds: float = 12.0, pause_s: float = 2.0) -> None:
    """Run every phase on both systems and print the tables."""
    anyio.run(_run, seconds, pause_s, backend_options={"use_uvloop": True})


async def _run(seconds: float, pause_s: float) -> None:
    print(
        f"{BACKEND_SERVERS} backend servers, {SLOTS} slots, "
        f"{MEAN_MS:.0f} ms gamma-distributed service time: "
        f"capacity {CAPACITY_PER_S:.0f}/s; {seconds:.0f} s per phase."
    )
    results: dict[str, dict[str, PhaseResult]] = {p.title: {} for p in PHASES}
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        document = folder / "document.json5"
        document.write_text(DOCUMENT)
        fleets: dict[str, list[Member]] = {}
        for system, module in DAEMON_MODULES.items():
            fleets[system] = make_members()
            await stack.enter_async_context(run_fleet(fleets[system], document, module))
        for phase in PHASES:
            for system, members in fleets.items():
                results[phase.title][system] = await run_phase(members, phase, seconds)
                await anyio.sleep(pause_s)
    for phase in PHASES:
        print_phase(phase, results[phase.title], seconds)
    print_targets(results, seconds)


if __name__ == "__main__":
    cli()

"""Runs a small Kalvola deployment as separate processes and prints the results."""

import json
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpcore
from cyclopts import App

from .fleet import PORTS_PER_MEMBER, Member, reserve_ports, run_fleet
from .load import LoadClass, LoadResult, run_load

FAILURE_DOMAINS = [("north", "n1"), ("north", "n2"), ("south", "s1"), ("south", "s2")]
SERVICES = {"catalogue": 20.0, "orders": 8.0, "drawings": 15.0, "fittings": 6.0}

# Each class is named after its service and the priority it gets from the document.
CLASSES = [
    LoadClass("catalogue/browse", "catalogue", "GET", "/pages/1", 60),
    LoadClass("orders/urgent", "orders", "POST", "/orders", 30, 400, "dealers"),
    LoadClass("orders/normal", "orders", "GET", "/orders/1", 20, 0, "dealers"),
    LoadClass(
        "drawings/urgent", "drawings", "PUT", "/drawings/1", 5, 200_000, "dealers"
    ),
    LoadClass("drawings/normal", "drawings", "GET", "/drawings/1", 5, 0, "installers"),
    LoadClass("fittings/normal", "fittings", "GET", "/specs/1", 30, 0, "installers"),
]


@dataclass(frozen=True, slots=True)
class ProbeCounters:
    """Calls forwarded by one entry, and the load probes it sent for them."""

    calls: int
    probes: int
    probe_bytes: int


def make_kalvola_members() -> list[Member]:
    """Return four services with one member in each of four failure domains."""
    members: list[Member] = []
    first_port = reserve_ports(len(SERVICES) * len(FAILURE_DOMAINS) * PORTS_PER_MEMBER)
    for service, mean_ms in SERVICES.items():
        for region, domain in FAILURE_DOMAINS:
            port = first_port + PORTS_PER_MEMBER * len(members)
            name = f"{service}-{domain}"
            members.append(Member(name, service, region, domain, 6, mean_ms, port))
    return members


COLUMN_TITLES = (
    "service",
    "priority",
    "answered",
    "not run",
    "unknown",
    "p50 ms",
    "p99 ms",
)
COLUMN_WIDTHS = (11, 9, 9, 8, 8, 8, 8)


def print_summary(
    results: dict[str, LoadResult], probe_counters: list[ProbeCounters]
) -> None:
    """Print a line per service and priority, then the probe totals."""
    print_row(COLUMN_TITLES)
    for name, result in results.items():
        service, priority = name.split("/")
        outcomes = dict(result.outcomes)
        not_run, unknown = outcomes.pop("not-run", 0), outcomes.pop("unknown", 0)
        p50 = result.latencies_us.get_value_at_percentile(50) / 1000
        p99 = result.latencies_us.get_value_at_percentile(99) / 1000
        row = (service, priority, result.answered, not_run, unknown)
        print_row((*row, f"{p50:.1f}", f"{p99:.1f}"))
        if outcomes:
            print(f"  other outcomes: {outcomes}")
    calls = sum(item.calls for item in probe_counters)
    probes = sum(item.probes for item in probe_counters)
    size = sum(item.probe_bytes for item in probe_counters)
    print(f"measuring: {probes} probes, {size} bytes for {calls} calls")


def print_row(cells: tuple[object, ...]) -> None:
    """Print one line, with cells right-aligned in their columns."""
    pairs = zip(cells, COLUMN_WIDTHS, strict=True)
    print(" ".join(f"{cell!s:>{width}}" for cell, width in pairs))


async def read_probe_counters(member: Member) -> ProbeCounters:
    """Return the call and probe counters of one entry."""
    host, port = member.caller_address
    async with httpcore.AsyncConnectionPool() as pool:
        res = await pool.request("GET", f"http://{host}:{port + 2}/routing")
    report = json.loads(res.content)
    return ProbeCounters(report["calls"], report["probes"], report["probe_bytes"])


cli = App(name="demo", help=__doc__)


@cli.default
def run(
    *, document: Path = Path("examples/kalvola.json5"), seconds: float = 5.0
) -> None:
    """Run the demo."""
    anyio.run(_run, document, seconds, backend_options={"use_uvloop": True})


async def _run(document: Path, seconds: float) -> None:
    members = make_kalvola_members()
    async with run_fleet(members, document) as fleet:
        print(f"{len(fleet.processes)} processes run; sending traffic for {seconds} s")
        results = await run_load([m.caller_address for m in members], CLASSES, seconds)
        probe_counters = [await read_probe_counters(member) for member in members]
    print_summary(results, probe_counters)


if __name__ == "__main__":
    cli()

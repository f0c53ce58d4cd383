"""Runs a small Kalvola layout as separate processes and prints what callers saw."""

from pathlib import Path

import anyio
from cyclopts import App

from .fleet import PORTS_PER_MEMBER, Member, find_ports, run_fleet
from .load import LoadClass, LoadResult, run_load

DOMAINS = [("north", "n1"), ("north", "n2"), ("south", "s1"), ("south", "s2")]
SERVICES = {"catalogue": 20.0, "orders": 8.0, "drawings": 15.0, "fittings": 6.0}

CLASSES = [
    LoadClass("catalogue", "catalogue", "GET", "/pages/1", 60),
    LoadClass("orders", "orders", "POST", "/orders", 30, 400, "dealers"),
    LoadClass("drawings", "drawings", "PUT", "/drawings/1", 5, 200_000, "dealers"),
    LoadClass("fittings", "fittings", "GET", "/specs/1", 30, 0, "installers"),
]


def make_kalvola() -> list[Member]:
    """Return four services of four backend servers, one in each failure domain."""
    members: list[Member] = []
    first_port = find_ports(len(SERVICES) * len(DOMAINS) * PORTS_PER_MEMBER)
    for service, mean_ms in SERVICES.items():
        for region, domain in DOMAINS:
            port = first_port + PORTS_PER_MEMBER * len(members)
            name = f"{service}-{domain}"
            members.append(Member(name, service, region, domain, 6, mean_ms, port))
    return members


def print_summary(results: dict[str, LoadResult]) -> None:
    """Print one line per class."""
    print(f"{'class':<12}{'answered':>9}{'p50 ms':>9}{'p99 ms':>9}  other outcomes")
    for name, result in results.items():
        p50 = result.latencies_us.get_value_at_percentile(50) / 1000
        p99 = result.latencies_us.get_value_at_percentile(99) / 1000
        others = " ".join(f"{k}={n}" for k, n in sorted(result.outcomes.items()))
        print(f"{name:<12}{result.answered:>9}{p50:>9.1f}{p99:>9.1f}  {others or '-'}")


cli = App(name="demo", help=__doc__)


@cli.default
def run(
    *, document: Path = Path("examples/kalvola.json5"), seconds: float = 5.0
) -> None:
    """Run the demo."""
    anyio.run(_run, document, seconds, backend_options={"use_uvloop": True})


async def _run(document: Path, seconds: float) -> None:
    members = make_kalvola()
    async with run_fleet(members, document) as fleet:
        print(f"{len(fleet.processes)} processes run; sending traffic for {seconds} s")
        results = await run_load([m.entry for m in members], CLASSES, seconds)
    print_summary(results)


if __name__ == "__main__":
    cli()

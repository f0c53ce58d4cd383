"""Runs a small deployment on the platform's protocol and prints the results."""

import signal
from collections import Counter

import anyio
from cyclopts import App

from .platform_fleet import (
    PlatformFleet,
    PlatformLoad,
    PlatformLoadResult,
    PlatformMember,
    control_platform_backend,
    make_configuration,
    make_platform_members,
    make_route,
    read_executed_attempts,
    run_platform_fleet,
    run_platform_load,
)

ZONES = [("north", "n1"), ("north", "n2"), ("south", "s1")]
SERVICES = {"orders": 20.0, "catalogue": 15.0}
LOADS = [
    PlatformLoad("/orders/", 30, "POST", b"x" * 400),
    PlatformLoad("/pages/", 60),
]

cli = App(name="platform_demo", help=__doc__)


@cli.default
def run(*, seconds: float = 6.0) -> None:
    """Run the demo: a daemon is killed, a server drains, the store stops answering."""
    anyio.run(_run, seconds, backend_options={"use_uvloop": True})


async def _run(seconds: float) -> None:
    members = make_platform_members(SERVICES, ZONES)
    spec = make_configuration(
        1,
        [
            make_route("orders", "/orders/", idempotent=False),
            make_route("catalogue", "/pages/", idempotent=True),
        ],
    )
    async with run_platform_fleet(members, spec) as fleet:
        print(f"{len(fleet.processes)} processes run; sending traffic for {seconds} s")
        async with anyio.create_task_group() as tg:
            tg.start_soon(_inject_faults, fleet, members, seconds)
            # Simulates no callers of the first daemon, which is killed.
            results = await run_platform_load(members[1:], LOADS, seconds)
        fleet.processes["platform"].send_signal(signal.SIGCONT)
        execution_counts: Counter[str] = Counter()
        for member in members:
            execution_counts.update(await read_executed_attempts(member))
    _print_summary(results, execution_counts)


async def _inject_faults(
    fleet: PlatformFleet, members: list[PlatformMember], seconds: float
) -> None:
    await anyio.sleep(seconds / 6)
    print("a daemon is killed and starts again")
    daemon = fleet.processes[f"daemon-{members[0].name}"]
    daemon.kill()
    daemon.wait()
    fleet.start_platform_daemon(members[0])
    await anyio.sleep(seconds / 3)
    print("a backend server leaves")
    await control_platform_backend(members[1], draining=True)
    await anyio.sleep(seconds / 6)
    print("the store stops answering")
    fleet.processes["platform"].send_signal(signal.SIGSTOP)


def _print_summary(
    results: dict[str, PlatformLoadResult], execution_counts: Counter[str]
) -> None:
    print(f"{'path':>10} {'answered':>9} {'p50 ms':>8} {'p99 ms':>8}  other statuses")
    for path, result in results.items():
        sorted_ms = sorted(result.latencies_ms)
        p50, p99 = sorted_ms[len(sorted_ms) // 2], sorted_ms[int(len(sorted_ms) * 0.99)]
        others = {s: n for s, n in result.statuses.items() if s != 200}
        row = f"{path:>10} {len(result.answered):>9} {p50:>8.1f} {p99:>8.1f}"
        print(f"{row}  {others or 'none'}")
    refused_but_executed = sum(
        execution_counts[attempt]
        for result in results.values()
        for attempt in result.refused
    )
    executed_twice = sum(
        1 for attempt in results["/orders/"].answered if execution_counts[attempt] > 1
    )
    print(
        f"orders that ran twice: {executed_twice}; "
        f"refused requests that ran: {refused_but_executed}"
    )


if __name__ == "__main__":
    cli()

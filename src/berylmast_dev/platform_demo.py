"""Runs a small deployment on the platform's protocol and prints the results."""

import signal
from collections import Counter

import anyio
from cyclopts import App

from .platform_fleet import (
    PlatformFleet,
    PlatformLoad,
    PlatformMember,
    Seen,
    control_platform_backend,
    make_configuration,
    make_layout,
    make_route,
    read_runs,
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
    members = make_layout(SERVICES, ZONES)
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
            tg.start_soon(_strike, fleet, members, seconds)
            # Simulates no callers of the first daemon, which is killed.
            seen = await run_platform_load(members[1:], LOADS, seconds)
        fleet.processes["platform"].send_signal(signal.SIGCONT)
        runs: Counter[str] = Counter()
        for member in members:
            runs.update(await read_runs(member))
    _print_summary(seen, runs)


async def _strike(
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


def _print_summary(seen: dict[str, Seen], runs: Counter[str]) -> None:
    print(f"{'path':>10} {'answered':>9} {'p50 ms':>8} {'p99 ms':>8}  other statuses")
    for path, found in seen.items():
        times = sorted(found.latencies_ms)
        p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
        others = {s: n for s, n in found.statuses.items() if s != 200}
        row = f"{path:>10} {len(found.answered):>9} {p50:>8.1f} {p99:>8.1f}"
        print(f"{row}  {others or 'none'}")
    untrue = sum(runs[attempt] for found in seen.values() for attempt in found.refused)
    twice = sum(1 for attempt in seen["/orders/"].answered if runs[attempt] > 1)
    print(f"orders that ran twice: {twice}; refused requests that ran: {untrue}")


if __name__ == "__main__":
    cli()

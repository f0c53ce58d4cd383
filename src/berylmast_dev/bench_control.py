"""Measures membership and configuration with real daemons, as Markdown tables.

Phases: rest, accepted documents, one accepted at the end of a platform outage, and a
restart of everything at once. The figures are those of one machine.
"""

import time
from collections import Counter
from statistics import mean

import anyio
from cyclopts import App

from .control_fleet import MAX_DAEMONS, ControlFleet, Sample, run_control_fleet

SETTLE_S = 20.0
"""Covers the moves to a nearer registrar and the adoption of a shard."""

DOCUMENTS = 5
OUTAGES = ("hang", "refuse")


def print_table(head: list[str], rows: list[list[object]]) -> None:
    """Print a Markdown table."""
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for row in rows:
        cells = [f"{c:.2f}" if isinstance(c, float) else str(c) for c in row]
        print("| " + " | ".join(cells) + " |")
    print()


def print_calls(calls: Counter[str], seconds: float) -> None:
    """Print the calls a second by verb and kind."""
    rows: list[list[object]] = [
        [key, count, count / seconds] for key, count in sorted(calls.items()) if count
    ]
    rows.append(["all", calls.total(), calls.total() / seconds])
    print_table(["call", "count", "per s"], rows)


def print_roles(
    before: dict[str, Sample], after: dict[str, Sample], seconds: float
) -> None:
    """Print figures per daemon, registrars and ordinary daemons apart."""
    rows: list[list[object]] = []
    for role, wanted in (("registrar", True), ("ordinary", False)):
        names = [n for n, s in after.items() if s.is_registrar is wanted]
        if not names:
            continue

        def rate(key: str, names: list[str] = names) -> list[float]:
            return [
                (after[n].report[key] - before[n].report[key]) / seconds for n in names
            ]

        sent, received = rate("control_bytes_sent"), rate("control_bytes_received")
        cpu = [
            100 * (after[n].process.cpu_s - before[n].process.cpu_s) / seconds
            for n in names
        ]
        memory = [after[n].process.memory_bytes / 1e6 for n in names]
        counts = (sent, received, cpu, memory)
        spans = [value for items in counts for value in (mean(items), max(items))]
        rows.append([role, len(names), mean(rate("store_calls")), *spans])
    spans_head = ["sent B/s", "received B/s", "core %", "memory MB"]
    head = ["role", "daemons", "store calls/s"]
    head += [cell for name in spans_head for cell in (name, "max")]
    print_table(head, rows)


async def measure_rest(fleet: ControlFleet, seconds: float) -> None:
    """Measure while nothing changes."""
    await anyio.sleep(SETTLE_S)
    before, calls = await fleet.sample(), await fleet.read_calls()
    await anyio.sleep(seconds)
    after, later = await fleet.sample(), await fleet.read_calls()
    print(f"At rest, over {seconds:.0f} s:\n")
    print_calls(later - calls, seconds)
    print_roles(before, after, seconds)


async def measure_documents(fleet: ControlFleet) -> list[float]:
    """Return the seconds from acceptance to in force everywhere, several times."""
    times = []
    for _ in range(DOCUMENTS):
        await anyio.sleep(1.0)
        await fleet.apply()
        times.append(await fleet.wait_settled())
    return times


async def measure_outage(fleet: ControlFleet, outage: str, seconds: float) -> float:
    """Return the time from an outage's end to a document in force everywhere."""
    await fleet.control(outage=outage)
    await anyio.sleep(seconds)
    await fleet.control(outage="")
    started_s = time.monotonic()
    await fleet.apply()
    await fleet.wait_settled()
    return time.monotonic() - started_s


async def measure_restart(fleet: ControlFleet) -> None:
    """Stop all daemons, start them at once, and measure until all have settled."""
    names = list(fleet.ports)
    for name in names:
        fleet.fleet.processes[name].kill()
    for name in names:
        fleet.fleet.processes[name].wait()
    calls = await fleet.read_calls()
    for number in range(len(names)):
        fleet.start_daemon(number)
    peaks: list[int] = []

    async def watch_calls() -> None:
        last = calls
        while True:
            await anyio.sleep(1.0)
            now = await fleet.read_calls()
            peaks.append((now - last).total())
            last = now

    async with anyio.create_task_group() as tg:
        tg.start_soon(watch_calls)
        took_s = await fleet.wait_settled()
        tg.cancel_scope.cancel()
    later, samples = await fleet.read_calls(), await fleet.sample()
    print(f"Restart of everything: settled after {took_s:.1f} s, at most")
    print(f"{max(peaks, default=0)} calls in one second.\n")
    print_calls(later - calls, took_s)
    print_roles(dict.fromkeys(samples, Sample.ZERO), samples, took_s)


cli = App(name="bench_control", help=__doc__)


@cli.default
def run(
    *,
    daemons: int = 8,
    rest_seconds: float = 20.0,
    outage_seconds: float = 20.0,
    spread_seconds: float = 15.0,
) -> None:
    """Run all phases.

    Parameters
    ----------
    daemons
        Number of daemon processes.
    rest_seconds
        Length of the phase at rest.
    outage_seconds
        Length of each outage of the platform.
    spread_seconds
        The daemons' setting ``start_spread_s``.
    """
    if not 1 <= daemons <= MAX_DAEMONS:
        raise SystemExit(f"--daemons must be 1 to {MAX_DAEMONS}")
    anyio.run(
        _run,
        daemons,
        rest_seconds,
        outage_seconds,
        spread_seconds,
        backend_options={"use_uvloop": True},
    )


async def _run(daemons: int, rest_s: float, outage_s: float, spread_s: float) -> None:
    async with run_control_fleet(daemons, spread_s) as fleet:
        first_s = await fleet.wait_settled()
        print(f"## {daemons} daemons\n\nFirst start: settled after {first_s:.1f} s.\n")
        await measure_rest(fleet, rest_s)
        rows: list[list[object]] = []
        times = await measure_documents(fleet)
        rows.append([f"accepted document, {len(times)} times", mean(times), max(times)])
        for outage in OUTAGES:
            took_s = await measure_outage(fleet, outage, outage_s)
            rows.append([f"end of an outage ({outage}), once", took_s, took_s])
        print("Time to in force everywhere:\n")
        print_table(["from", "mean s", "max s"], rows)
        await measure_restart(fleet)


if __name__ == "__main__":
    cli()

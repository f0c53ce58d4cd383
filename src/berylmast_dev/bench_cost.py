"""Measures what a daemon costs: a start, a second at rest, and each kind of request.

Runs real daemons with simulated servers. Processor time is that of all daemons
together, beyond their rest, for each request. Function calls are counted in a fleet of
two daemons, an entry and an owner; they do not depend on the machine.
"""

import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio
from cyclopts import App

from ._daemon_pair import read_process_usage
from .counted_daemon import COUNT_FILE_VARIABLE
from .fleet import reserve_ports
from .platform_fleet import (
    VIRTUAL_HOST,
    PlatformFleet,
    PlatformLoad,
    PlatformMember,
    make_configuration,
    make_platform_members,
    make_route,
    run_platform_fleet,
    run_platform_load,
    wait_until_ready,
)

SERVED, REFUSED, CANCELLED, QUEUED = "/served/", "/none/", "/slow/", "/full/"
"""Path prefixes: a service with free servers, one without a server, one whose callers
leave, and the same service with more requests than its slots serve."""

MEAN_MS = 20.0
SLOW_MS = 400.0
START_S = 3.5
CALLER_PATIENCE_S = 0.05
COUNTED_REQUESTS = 60
COUNT_TIMEOUT_S = 5.0

cli = App(name="bench_cost", help=__doc__)


@cli.default
def run(*, daemons: int = 8, rate: float = 5.0, seconds: float = 8.0) -> None:
    """Run the benchmark; ``rate`` is in requests per second at each entry."""
    anyio.run(_run, daemons, rate, seconds, backend_options={"use_uvloop": True})


def make_bench_configuration() -> object:
    """Return a configuration with one route for each kind of request."""
    services = {SERVED: "fast", REFUSED: "empty", CANCELLED: "slow", QUEUED: "slow"}
    routes = [
        make_route(service, prefix, idempotent=True)
        for prefix, service in services.items()
    ]
    return make_configuration(1, routes)


async def _run(daemons: int, rate: float, seconds: float) -> None:
    members = make_platform_members(
        {"fast": MEAN_MS, "slow": SLOW_MS},
        [("north", f"n{number}") for number in range(max(1, daemons // 2))],
    )
    async with run_platform_fleet(members, make_bench_configuration()) as fleet:
        await anyio.sleep(START_S)
        pids = [fleet.processes[f"daemon-{member.name}"].pid for member in members]
        print(f"{len(pids)} daemons, {rate:g} requests/s at each entry")
        print(f"a start: {1000 * _read_cpu_s(pids) / len(pids):.0f} ms a daemon")
        before_s = _read_cpu_s(pids)
        await anyio.sleep(seconds)
        rest_s = (_read_cpu_s(pids) - before_s) / seconds
        print(f"at rest: {100 * rest_s / len(pids):.2f}% of a core a daemon")
        senders: dict[str, Callable[[], Awaitable[int]]] = {
            "served": lambda: _send(members, SERVED, rate, seconds),
            "refused": lambda: _send(members, REFUSED, rate, seconds),
            "queued or refused": lambda: _send(members, QUEUED, rate, seconds),
            "cancelled": lambda: _send_and_leave(members, rate, seconds),
        }
        for name, send in senders.items():
            before_s, begin_s = _read_cpu_s(pids), anyio.current_time()
            count = await send()
            used_s = _read_cpu_s(pids) - before_s
            used_s -= rest_s * (anyio.current_time() - begin_s)
            print(f"{name}: {1000 * used_s / count:.2f} ms, {count} requests")
    calls = await count_calls_of_a_request()
    print(f"function calls of a request: entry {calls.entry}, owner {calls.owner}")
    sys.stdout.flush()


def _read_cpu_s(pids: list[int]) -> float:
    return sum(read_process_usage(pid).cpu_s for pid in pids)


async def _send(
    members: list[PlatformMember], path: str, rate: float, seconds: float
) -> int:
    load = PlatformLoad(path, rate * len(members))
    results = await run_platform_load(members, [load], seconds)
    return sum(results[path].statuses.values())


async def _send_and_leave(
    members: list[PlatformMember], rate: float, seconds: float
) -> int:
    """Send requests whose callers close their connections after a moment."""
    end_s = anyio.current_time() + seconds
    count = 0
    async with anyio.create_task_group() as tg:
        while anyio.current_time() < end_s:
            tg.start_soon(_ask_and_leave, members[count % len(members)])
            count += 1
            await anyio.sleep(1 / (rate * len(members)))
    return count


async def _ask_and_leave(member: PlatformMember) -> None:
    head = f"GET {CANCELLED}item HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\n"
    async with await anyio.connect_tcp("127.0.0.1", member.port) as stream:
        await stream.send(f"{head}X-Attempt-Id: {id(stream):x}\r\n\r\n".encode())
        await anyio.sleep(CALLER_PATIENCE_S)


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Function calls of one request on each side."""

    entry: int
    owner: int


async def count_calls_of_a_request() -> CallCounts:
    """Count the calls of served requests that one daemon sends to another."""
    port = reserve_ports(10)
    entry = PlatformMember("entry", "slow", "north", "n1", port)
    owner = PlatformMember("owner", "fast", "north", "n1", port + 5, mean_ms=MEAN_MS)
    counts = []
    async with _run_counted_fleet([entry, owner]) as read_counts:
        await _send([entry], SERVED, 20.0, 1.0)
        for rate in (0.0, 20.0):
            before = await read_counts()
            begin_s = anyio.current_time()
            seconds = COUNTED_REQUESTS / 20.0
            number = await _send([entry], SERVED, rate, seconds) if rate else 0
            await anyio.sleep(begin_s + seconds + 0.5 - anyio.current_time())
            after = await read_counts()
            used = [new - old for old, new in zip(before, after, strict=True)]
            counts.append((number, used))
    (_, rest), (number, used) = counts
    entry_calls, owner_calls = (
        (total - idle) // number for total, idle in zip(used, rest, strict=True)
    )
    return CallCounts(entry_calls, owner_calls)


@asynccontextmanager
async def _run_counted_fleet(
    members: list[PlatformMember],
) -> AsyncIterator[Callable[[], Awaitable[list[int]]]]:
    """Run daemons that count their calls; yield a function that reads the numbers."""
    with tempfile.TemporaryDirectory(prefix="berylmast-") as name:
        folder = Path(name)
        fleet = PlatformFleet(folder, reserve_ports(1), "berylmast_dev.counted_daemon")
        paths = [folder / f"{member.name}.calls" for member in members]

        async def read_counts() -> list[int]:
            counts = []
            for member, path in zip(members, paths, strict=True):
                path.unlink(missing_ok=True)
                process = fleet.processes[f"daemon-{member.name}"]
                process.send_signal(signal.SIGUSR1)
                with anyio.fail_after(COUNT_TIMEOUT_S):
                    while not path.exists():
                        await anyio.sleep(0.02)
                counts.append(int(path.read_text()))
            return counts

        try:
            fleet.start_platform()
            await fleet.wait_for_platform()
            await fleet.put_configuration(make_bench_configuration())
            for member, path in zip(members, paths, strict=True):
                os.environ[COUNT_FILE_VARIABLE] = str(path)
                fleet.start_platform_backend(member)
                fleet.start_platform_daemon(member)
            for member in members:
                await wait_until_ready(member)
            await anyio.sleep(START_S)
            yield read_counts
        finally:
            fleet.stop_all()


if __name__ == "__main__":
    cli()

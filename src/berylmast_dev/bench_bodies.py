"""Measures how large bodies affect small requests on the same peer stream.

Runs the daemons as separate processes. Prints the latency of the small requests alone,
during large uploads and during large responses, the peak memory of both daemons, and
how many bytes a backend server can send while the caller reads slowly.
"""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import httpcore
from cyclopts import App

from ._daemon_pair import BENCH_HOST, DaemonPair, run_daemon_pair
from .load import LoadClass, LoadResult, run_load

SMALL_BYTES = 200
_READ_BYTES = 64 * 1024
_SLOW_PAUSE_S = 0.1
_UPLOAD_CHUNK = b"x" * 65_536

cli = App(name="bench_bodies", help=__doc__)


@dataclass(frozen=True, slots=True)
class SlowReadResult:
    """Bytes read by a slow caller, and bytes sent by the backend server meanwhile."""

    read_bytes: int
    sent_bytes: int


@cli.default
def run(*, megabytes: int = 50, rate: float = 100.0, seconds: float = 4.0) -> None:
    """Run the benchmark; ``rate`` is the number of small requests per second."""
    anyio.run(
        _run, megabytes << 20, rate, seconds, backend_options={"use_uvloop": True}
    )


async def _run(size: int, rate: float, seconds: float) -> None:
    async with run_daemon_pair(mean_ms=1.0) as pair:
        await run_small_requests(pair, rate, 1.0, None)
        _print_row(pair, "alone", await run_small_requests(pair, rate, seconds, None))

        async def upload() -> None:
            await upload_body(pair, size)

        async def download() -> None:
            await read_response_slowly(pair, size, 0.0, seconds * 10)

        _print_row(
            pair, "upload", await run_small_requests(pair, rate, seconds, upload)
        )
        _print_row(
            pair, "response", await run_small_requests(pair, rate, seconds, download)
        )
        slow = await read_response_slowly(pair, size, _SLOW_PAUSE_S, seconds)
        _print_row(pair, "slow caller", None)
        print(f"slow caller read {slow.read_bytes} of {slow.sent_bytes} bytes sent")


def _print_row(pair: DaemonPair, name: str, result: LoadResult | None) -> None:
    parts = [f"{name:<12}"]
    if result is not None:
        for percentile in (50, 99):
            latency_ms = result.latencies_us.get_value_at_percentile(percentile) / 1000
            parts.append(f"p{percentile} {latency_ms:.1f} ms")
        parts.append(f"failed {sum(result.outcomes.values())}")
    for member in (pair.entry, pair.owner):
        usage = pair.read_usage(member)
        parts.append(f"{member.name} peak {usage.peak_kib / 1024:.0f} MB")
    print("  ".join(parts), flush=True)


async def run_small_requests(
    pair: DaemonPair,
    rate: float,
    seconds: float,
    bulk_transfer: Callable[[], Awaitable[None]] | None,
) -> LoadResult:
    """Send small requests for ``seconds`` while ``bulk_transfer`` runs repeatedly."""
    small_requests = LoadClass("small", BENCH_HOST, "POST", "/small", rate, SMALL_BYTES)

    async def repeat() -> None:
        while bulk_transfer is not None:
            await bulk_transfer()

    async with anyio.create_task_group() as tg:
        tg.start_soon(repeat)
        results = await run_load([pair.entry.caller_address], [small_requests], seconds)
        tg.cancel_scope.cancel()
    return results["small"]


async def upload_body(pair: DaemonPair, size: int) -> None:
    """Upload a body through the entry.

    Raises RuntimeError unless the backend server received all of it.
    """
    async with await anyio.connect_tcp(*pair.entry.caller_address) as stream:
        request_head = (
            f"PUT /bulk HTTP/1.1\r\nhost: {BENCH_HOST}\r\n"
            f"content-length: {size}\r\n\r\n"
        )
        await stream.send(request_head.encode())
        remaining_bytes = size
        while remaining_bytes > 0:
            await stream.send(_UPLOAD_CHUNK[:remaining_bytes])
            remaining_bytes -= len(_UPLOAD_CHUNK)
        response = await stream.receive()
    if f"x-body-bytes: {size}\r\n".encode() not in response:
        raise RuntimeError(f"upload not confirmed, response is {response[:200]!r}")


async def read_response_slowly(
    pair: DaemonPair, size: int, pause_s: float, seconds: float
) -> SlowReadResult:
    """Request ``size`` bytes and read with pauses, for at most ``seconds``."""
    sent_before = (await read_backend_counters(pair))["sent_bytes"]
    received = 0
    async with await anyio.connect_tcp(*pair.entry.caller_address) as stream:
        request_head = (
            f"GET /bulk HTTP/1.1\r\nhost: {BENCH_HOST}\r\n"
            f"x-answer-bytes: {size}\r\n\r\n"
        )
        await stream.send(request_head.encode())
        with anyio.move_on_after(seconds):
            while received < size:
                received += len(await stream.receive(_READ_BYTES))
                if pause_s:
                    await anyio.sleep(pause_s)
        sent = (await read_backend_counters(pair))["sent_bytes"] - sent_before
    return SlowReadResult(received, sent)


async def read_backend_counters(pair: DaemonPair) -> dict[str, int]:
    """Return the counters of the owner's simulated backend server."""
    host, port = pair.owner.backend_address
    async with httpcore.AsyncConnectionPool() as pool:
        res = await pool.request("GET", f"http://{host}:{port}/_totals")
    counters: dict[str, int] = json.loads(res.content)
    return counters


if __name__ == "__main__":
    cli()

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

from ._bench import HOST_NAME, Pair, run_pair
from .load import LoadClass, LoadResult, run_load

SMALL_BYTES = 200
_READ_BYTES = 64 * 1024
_SLOW_PAUSE_S = 0.1
_UPLOAD_PART = b"x" * 65_536

cli = App(name="bench_bodies", help=__doc__)


@dataclass(frozen=True, slots=True)
class SlowRead:
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
    async with run_pair(mean_ms=1.0) as pair:
        await run_beside(pair, rate, 1.0, None)
        _print(pair, "alone", await run_beside(pair, rate, seconds, None))

        async def upload() -> None:
            await upload_body(pair, size)

        async def download() -> None:
            await read_slowly(pair, size, 0.0, seconds * 10)

        _print(pair, "upload", await run_beside(pair, rate, seconds, upload))
        _print(pair, "response", await run_beside(pair, rate, seconds, download))
        slow = await read_slowly(pair, size, _SLOW_PAUSE_S, seconds)
        _print(pair, "slow caller", None)
        print(f"slow caller read {slow.read_bytes} of {slow.sent_bytes} bytes sent")


def _print(pair: Pair, name: str, result: LoadResult | None) -> None:
    parts = [f"{name:<12}"]
    if result is not None:
        for share in (50, 99):
            value = result.latencies_us.get_value_at_percentile(share) / 1000
            parts.append(f"p{share} {value:.1f} ms")
        parts.append(f"failed {sum(result.outcomes.values())}")
    for member in (pair.entry, pair.owner):
        usage = pair.read_usage(member)
        parts.append(f"{member.name} peak {usage.peak_kib / 1024:.0f} MB")
    print("  ".join(parts), flush=True)


async def run_beside(
    pair: Pair, rate: float, seconds: float, bulk: Callable[[], Awaitable[None]] | None
) -> LoadResult:
    """Send small requests for ``seconds`` while ``bulk`` runs repeatedly."""
    small = LoadClass("small", HOST_NAME, "POST", "/small", rate, SMALL_BYTES)

    async def repeat() -> None:
        while bulk is not None:
            await bulk()

    async with anyio.create_task_group() as tg:
        tg.start_soon(repeat)
        results = await run_load([pair.entry.entry], [small], seconds)
        tg.cancel_scope.cancel()
    return results["small"]


async def upload_body(pair: Pair, size: int) -> None:
    """Upload a body through the entry.

    Raises RuntimeError unless the backend server received all of it.
    """
    async with await anyio.connect_tcp(*pair.entry.entry) as stream:
        head = (
            f"PUT /bulk HTTP/1.1\r\nhost: {HOST_NAME}\r\ncontent-length: {size}\r\n\r\n"
        )
        await stream.send(head.encode())
        left = size
        while left > 0:
            await stream.send(_UPLOAD_PART[:left])
            left -= len(_UPLOAD_PART)
        answer = await stream.receive()
    if f"x-body-bytes: {size}\r\n".encode() not in answer:
        raise RuntimeError(f"upload not confirmed, response is {answer[:200]!r}")


async def read_slowly(
    pair: Pair, size: int, pause_s: float, seconds: float
) -> SlowRead:
    """Request ``size`` bytes and read with pauses, for at most ``seconds``."""
    sent_before = (await read_totals(pair))["sent_bytes"]
    received = 0
    async with await anyio.connect_tcp(*pair.entry.entry) as stream:
        head = (
            f"GET /bulk HTTP/1.1\r\nhost: {HOST_NAME}\r\nx-answer-bytes: {size}\r\n\r\n"
        )
        await stream.send(head.encode())
        with anyio.move_on_after(seconds):
            while received < size:
                received += len(await stream.receive(_READ_BYTES))
                if pause_s:
                    await anyio.sleep(pause_s)
        sent = (await read_totals(pair))["sent_bytes"] - sent_before
    return SlowRead(received, sent)


async def read_totals(pair: Pair) -> dict[str, int]:
    """Return the counters of the owner's simulated backend server."""
    host, port = pair.owner.backend
    async with httpcore.AsyncConnectionPool() as pool:
        res = await pool.request("GET", f"http://{host}:{port}/_totals")
    totals: dict[str, int] = json.loads(res.content)
    return totals


if __name__ == "__main__":
    cli()

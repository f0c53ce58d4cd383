"""Load generator of the routing benchmark; runs in a separate process."""

from collections.abc import Sequence
from contextlib import AsyncExitStack
from random import Random

import anyio
import httpcore

REQUEST_TIMEOUT_S = 10.0


def send_load(
    entries: Sequence[tuple[str, int]], rate: float, seconds: float, seed: int
) -> list[tuple[float, float]]:
    """Send requests at a mean rate with exponentially distributed intervals.

    Returns the due time of each request, in seconds from the start, and its latency in
    seconds, infinite for a failed request.
    """
    results: list[tuple[float, float]] = []
    options = {"use_uvloop": True}
    anyio.run(_send_all, entries, rate, seconds, seed, results, backend_options=options)
    return results


async def _send_all(
    entries: Sequence[tuple[str, int]],
    rate: float,
    seconds: float,
    seed: int,
    results: list[tuple[float, float]],
) -> None:
    rng = Random(seed)
    start_s = anyio.current_time()
    due_s = start_s
    async with AsyncExitStack() as stack, anyio.create_task_group() as tg:
        # A pool scans all its connections on each request, so one small pool per
        # entry costs less than a shared one.
        pools = [
            (
                await stack.enter_async_context(
                    httpcore.AsyncConnectionPool(max_connections=None)
                ),
                entry,
            )
            for entry in entries
        ]
        while True:
            due_s += rng.expovariate(rate)
            if due_s - start_s >= seconds:
                break
            await anyio.sleep_until(due_s)
            pool, (host, port) = pools[rng.randrange(len(pools))]
            url = f"http://{host}:{port}/pages/1"
            tg.start_soon(_send_one, pool, url, start_s, due_s, results)


async def _send_one(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    start_s: float,
    due_s: float,
    results: list[tuple[float, float]],
) -> None:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S)
    latency_s = float("inf")
    try:
        res = await pool.request(
            "GET", url, headers={"host": "pages"}, extensions={"timeout": timeouts}
        )
        if res.status == 200:
            latency_s = anyio.current_time() - due_s
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ):
        pass
    results.append((due_s - start_s, latency_s))

"""Guards against daemons that buffer complete bodies. Runs real processes.

Such a daemon uses as much memory as the body is long, and small requests on the same
peer stream wait behind it.
"""

from collections.abc import AsyncIterator

import anyio
import pytest

from .._daemon_pair import BENCH_HOST, DaemonPair, run_daemon_pair
from ..bench_bodies import (
    read_backend_counters,
    read_response_slowly,
    run_small_requests,
    upload_body,
)
from ..fleet import control_backend

pytestmark = pytest.mark.anyio

BULK_BYTES = 50 << 20
MAX_GROWTH_KIB = 12 * 1024
"""Allowed growth of a daemon during a bulk transfer; far below BULK_BYTES."""
BULK_TIMEOUT_S = 60.0
"""A transfer takes seconds on an idle machine; the limit allows for a busy one."""
SMALL_RATE = 50.0
ROUND_S = 3.0
MAX_SMALL_P99_US = 500_000
"""Far below the duration of a bulk transfer: small requests must not wait for one."""


@pytest.fixture(scope="module")
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return ("asyncio", {"use_uvloop": True})


@pytest.fixture(scope="module")
async def pair(anyio_backend: object) -> AsyncIterator[DaemonPair]:
    async with run_daemon_pair(mean_ms=1.0) as running:
        await run_small_requests(running, SMALL_RATE, 0.5, None)
        yield running


def read_peak_kib(pair: DaemonPair) -> list[int]:
    return [pair.read_usage(member).peak_kib for member in (pair.entry, pair.owner)]


def check_growth(pair: DaemonPair, before: list[int]) -> None:
    growth = [now - old for now, old in zip(read_peak_kib(pair), before, strict=True)]
    assert max(growth) < MAX_GROWTH_KIB, growth


@pytest.mark.parametrize("bulk", ["upload", "response"])
async def test_bulk_transfer_uses_bounded_memory_and_delays_no_small_request(
    pair: DaemonPair, bulk: str
) -> None:
    before = read_peak_kib(pair)
    done = 0

    async def transfer() -> None:
        nonlocal done
        if bulk == "upload":
            await upload_body(pair, BULK_BYTES)
        else:
            slow_read = await read_response_slowly(
                pair, BULK_BYTES, 0.0, BULK_TIMEOUT_S
            )
            assert slow_read.read_bytes >= BULK_BYTES
        done += 1

    async def repeat() -> None:
        while True:
            await transfer()

    async with anyio.create_task_group() as tg:
        tg.start_soon(repeat)
        with anyio.fail_after(BULK_TIMEOUT_S):
            while not done:
                result = await run_small_requests(pair, SMALL_RATE, ROUND_S, None)
                assert result.outcomes == {}
                p99_us = result.latencies_us.get_value_at_percentile(99)
                assert p99_us < MAX_SMALL_P99_US
        tg.cancel_scope.cancel()
    check_growth(pair, before)


async def test_slow_caller_limits_what_the_backend_server_sends(
    pair: DaemonPair,
) -> None:
    before = read_peak_kib(pair)
    slow_read = await read_response_slowly(pair, BULK_BYTES, 0.2, 2.0)
    # Bytes sent but not read fill the buffers of three connections, a few MB each.
    assert slow_read.sent_bytes < BULK_BYTES * 3 // 4
    check_growth(pair, before)


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET / HTTP/1.1\r\nhost: %b\r\n\r\n",
        b"PUT / HTTP/1.1\r\nhost: %b\r\ncontent-length: 9\r\n\r\nhalf",
        b"PUT / HTTP/1.1\r\nhost: %b\r\ncontent-length: 4\r\n\r\nbody",
        b"PUT / HTTP/1.1\r\nhost: %b\r\ntransfer-encoding: chunked\r\n\r\n"
        b"4\r\nhalf\r\n",
    ],
    ids=["no-body", "half-body", "whole-body", "half-chunked"],
)
async def test_disconnect_reaches_the_backend_server(
    pair: DaemonPair, request_bytes: bytes
) -> None:
    before = (await read_backend_counters(pair))["cancelled"]
    await control_backend(pair.owner, slow=1e6)
    try:
        async with await anyio.connect_tcp(*pair.entry.caller_address) as stream:
            await stream.send(request_bytes % BENCH_HOST.encode())
            await anyio.sleep(0.3)
        with anyio.fail_after(3):
            while (await read_backend_counters(pair))["cancelled"] != before + 1:
                await anyio.sleep(0.05)
    finally:
        await control_backend(pair.owner, slow=1.0)

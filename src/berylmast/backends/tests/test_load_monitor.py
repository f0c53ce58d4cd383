"""Tests that load queries are rare and that a hanging server delays no request."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import pytest

from ...http_client import HttpClient, HttpResponse
from ...model import BackendLoad, Headers
from ...settings import Address
from ..load_monitor import (
    FAILURE_BACKOFF_S,
    MAX_FRESH_AGE_S,
    QUERY_TIMEOUT_S,
    LoadMonitor,
)

pytestmark = pytest.mark.anyio

ADDRESS = Address(host="h", port=1)


class FakeServer:
    """Responds after 1 ms, or never if ``hangs`` is set."""

    def __init__(self) -> None:
        self.calls = 0
        self.hangs = False
        self.slowdown = 5.0

    @asynccontextmanager
    async def send(self, *args: Any) -> AsyncIterator[HttpResponse]:
        self.calls += 1
        await anyio.sleep(float("inf") if self.hangs else 0.001)

        async def no_body() -> AsyncIterator[bytes]:
            return
            yield

        yield HttpResponse(200, [(b"load", str(self.slowdown).encode())], no_body())


def read_load(headers: Headers) -> BackendLoad | None:
    return BackendLoad(0, 0, 6, float(headers[0][1]))


def make_monitor(server: FakeServer, path: str = "/healthz") -> LoadMonitor:
    client = cast(HttpClient, server)
    return LoadMonitor(ADDRESS, client, lambda: path, read_load)


async def test_queries_only_when_no_recent_load_is_known() -> None:
    server = FakeServer()
    monitor = make_monitor(server)
    async with anyio.create_task_group() as tg:
        for _ in range(5):
            tg.start_soon(monitor.refresh)
    assert server.calls == 1, "concurrent refreshes share one query"
    assert monitor.get_slowdown(1.0) == 5.0
    await monitor.refresh()
    assert server.calls == 1
    await anyio.sleep(MAX_FRESH_AGE_S + 0.001)
    await monitor.refresh()
    assert server.calls == 2
    await anyio.sleep(2.0)
    assert monitor.get_slowdown(1.0) == 1.0, "an outdated load is ignored"


async def test_load_of_a_response_replaces_a_query() -> None:
    server = FakeServer()
    monitor = make_monitor(server)
    monitor.record(BackendLoad(1, 0, 6, 3.0))
    await monitor.refresh()
    assert server.calls == 0
    assert monitor.get_slowdown(1.0) == 3.0


async def test_hanging_query_times_out_and_is_not_repeated_at_once() -> None:
    server = FakeServer()
    server.hangs = True
    monitor = make_monitor(server)
    started_s = anyio.current_time()
    for _ in range(10):
        await monitor.refresh()
    assert anyio.current_time() - started_s <= QUERY_TIMEOUT_S + 0.001
    assert server.calls == 1
    server.hangs = False
    await anyio.sleep(FAILURE_BACKOFF_S)
    await monitor.refresh()
    assert monitor.get_slowdown(1.0) == 5.0


async def test_server_without_a_load_path_is_not_queried() -> None:
    server = FakeServer()
    await make_monitor(server, path="").refresh()
    assert server.calls == 0


async def test_query_shares_the_response_of_one_in_progress() -> None:
    server = FakeServer()
    monitor = make_monitor(server)
    async with anyio.create_task_group() as tg:
        tg.start_soon(monitor.refresh)
        tg.start_soon(monitor.query, 0.2)
        tg.start_soon(monitor.query, 0.2)
    assert server.calls == 1


async def test_query_is_made_although_the_load_is_known_or_the_last_one_failed() -> (
    None
):
    """Whether the server is cold may have changed since."""
    server = FakeServer()
    server.hangs = True
    monitor = make_monitor(server)
    await monitor.refresh()
    server.hangs = False
    await monitor.query(0.2)
    await monitor.query(0.2)
    assert server.calls == 3


async def test_query_is_repeated_if_the_caller_of_the_one_in_progress_leaves() -> None:
    server = FakeServer()
    server.hangs = True
    monitor = make_monitor(server)
    async with anyio.create_task_group() as tg:

        async def refresh_and_leave() -> None:
            with anyio.move_on_after(0.01):
                await monitor.refresh()

        tg.start_soon(refresh_and_leave)
        await anyio.sleep(0.005)
        server.hangs = False
        await monitor.query(0.2)
    assert server.calls == 2
    assert monitor.get_slowdown(1.0) == 5.0


async def test_request_waits_no_longer_for_a_slower_query_in_progress() -> None:
    server = FakeServer()
    server.hangs = True
    monitor = make_monitor(server)
    async with anyio.create_task_group() as tg:
        tg.start_soon(monitor.query, 0.2)
        await anyio.sleep(0.001)
        started_s = anyio.current_time()
        await monitor.refresh()
        assert anyio.current_time() - started_s <= QUERY_TIMEOUT_S + 0.001
        tg.cancel_scope.cancel()

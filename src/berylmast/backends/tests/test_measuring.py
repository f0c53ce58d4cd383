"""Tests that load queries are rare and that a hanging server delays no request."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import pytest

from ...http_client import HttpAnswer, HttpClient
from ...model import BackendLoad, Headers
from ...settings import Address
from ..measuring import FRESH_S, PAUSE_S, TIMEOUT_S, LoadMeter

pytestmark = pytest.mark.anyio

ADDRESS = Address(host="h", port=1)


class FakeServer:
    """Responds after 1 ms, or never if ``hangs`` is set."""

    def __init__(self) -> None:
        self.calls = 0
        self.hangs = False
        self.slowdown = 5.0

    @asynccontextmanager
    async def send(self, *args: Any) -> AsyncIterator[HttpAnswer]:
        self.calls += 1
        await anyio.sleep(float("inf") if self.hangs else 0.001)

        async def no_body() -> AsyncIterator[bytes]:
            return
            yield

        yield HttpAnswer(200, [(b"load", str(self.slowdown).encode())], no_body())


def read_load(headers: Headers) -> BackendLoad | None:
    return BackendLoad(0, 0, 6, float(headers[0][1]))


def make_meter(server: FakeServer, path: str = "/healthz") -> LoadMeter:
    client = cast(HttpClient, server)
    return LoadMeter(ADDRESS, client, lambda: path, read_load)


async def test_asks_only_when_the_load_is_not_known() -> None:
    server = FakeServer()
    meter = make_meter(server)
    async with anyio.create_task_group() as tg:
        for _ in range(5):
            tg.start_soon(meter.refresh)
    assert server.calls == 1, "concurrent refreshes share one query"
    assert meter.get_slowdown(1.0) == 5.0
    await meter.refresh()
    assert server.calls == 1
    await anyio.sleep(FRESH_S + 0.001)
    await meter.refresh()
    assert server.calls == 2
    await anyio.sleep(2.0)
    assert meter.get_slowdown(1.0) == 1.0, "an outdated load is ignored"


async def test_answers_of_requests_spare_questions() -> None:
    server = FakeServer()
    meter = make_meter(server)
    meter.record(BackendLoad(1, 0, 6, 3.0))
    await meter.refresh()
    assert server.calls == 0
    assert meter.get_slowdown(1.0) == 3.0


async def test_hanging_check_costs_little_and_is_not_repeated_at_once() -> None:
    server = FakeServer()
    server.hangs = True
    meter = make_meter(server)
    started_s = anyio.current_time()
    for _ in range(10):
        await meter.refresh()
    assert anyio.current_time() - started_s <= TIMEOUT_S + 0.001
    assert server.calls == 1
    server.hangs = False
    await anyio.sleep(PAUSE_S)
    await meter.refresh()
    assert meter.get_slowdown(1.0) == 5.0


async def test_server_without_a_load_path_is_not_asked() -> None:
    server = FakeServer()
    await make_meter(server, path="").refresh()
    assert server.calls == 0

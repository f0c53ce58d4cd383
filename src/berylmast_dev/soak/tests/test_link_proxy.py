"""Tests of the soak test's proxy.

A proxy that does not apply its faults would let every soak run pass untested.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from ...fleet import HOST, reserve_ports
from ..link_proxy import LinkMode, LinkProxy, LinkState

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


async def echo(stream: SocketStream) -> None:
    async with stream:
        # A reset by the proxy ends the connection too.
        with suppress(anyio.BrokenResourceError):
            async for data in stream:
                await stream.send(data)


@asynccontextmanager
async def run_proxy() -> AsyncIterator[LinkProxy]:
    target, port = reserve_ports(1), reserve_ports(1)
    proxy = LinkProxy(port, target)
    listener = await anyio.create_tcp_listener(local_host=HOST, local_port=target)
    async with listener, anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, echo)
        await tg.start(proxy.run)
        yield proxy
        tg.cancel_scope.cancel()


async def is_echoed(stream: SocketStream, within_s: float) -> bool:
    with anyio.move_on_after(within_s):
        return await stream.receive() == b"x"
    return False


@pytest.mark.parametrize(
    ("state", "held"),
    [
        (LinkState(), False),
        (LinkState(delay_s=0.02), False),
        (LinkState(LinkMode.HOLD_REQUESTS), True),
        (LinkState(LinkMode.HOLD_ANSWERS), True),
        (LinkState(LinkMode.SILENT), True),
    ],
)
async def test_held_bytes_arrive_after_the_fault(state: LinkState, held: bool) -> None:
    async with run_proxy() as proxy:
        async with await anyio.connect_tcp(HOST, proxy.port) as stream:
            proxy.set_state(state)
            await stream.send(b"x")
            assert await is_echoed(stream, 0.3) is not held
            proxy.set_state(LinkState())
            assert not held or await is_echoed(stream, 2.0)


async def test_reset_ends_open_connections() -> None:
    async with run_proxy() as proxy:
        stream = await anyio.connect_tcp(HOST, proxy.port)
        await stream.send(b"x")
        assert await is_echoed(stream, 2.0)
        await proxy.reset()
        with pytest.raises(anyio.BrokenResourceError):
            await stream.receive()


async def test_refused_connections_end_at_once() -> None:
    async with run_proxy() as proxy:
        proxy.set_state(LinkState(LinkMode.REFUSE))
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
            stream = await anyio.connect_tcp(HOST, proxy.port)
            await stream.receive()

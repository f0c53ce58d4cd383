"""Guards against connections that are kept for ever, or closed while in use."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from berylmast_dev.fleet import reserve_ports

from ...model import Endpoint
from ...settings import Address
from .. import ConnectionLost, Exchange, Identity, PeerListener, PeerPool, pool
from ..frames import OpeningFrame, Probe

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
CHECK_INTERVAL_S = 0.1


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


@asynccontextmanager
async def run_pool(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[PeerPool, Endpoint]]:
    """Run a pool, and a listener whose exchanges stay open."""
    monkeypatch.setattr(pool, "IDLE_CHECK_INTERVAL_S", CHECK_INTERVAL_S)
    address = Address(host=HOST, port=reserve_ports(1))

    async def accept(exchange: Exchange, frame: OpeningFrame) -> None:
        await exchange.wait_reset()

    async with anyio.create_task_group() as tg:
        listener = PeerListener(address, Identity("owner", 1), accept)
        await tg.start(listener.run)
        peer_pool = PeerPool(tg, Identity("entry", 1))
        tg.start_soon(peer_pool.run)
        yield peer_pool, Endpoint("b", "orders", HOST, address.port, "n", "n1", 1, 1)
        tg.cancel_scope.cancel()


async def test_idle_connection_is_closed_and_opened_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_pool(monkeypatch) as (peer_pool, endpoint):
        first = await peer_pool.connect(endpoint)
        with anyio.fail_after(5):
            while peer_pool.connection_count:
                await anyio.sleep(CHECK_INTERVAL_S / 2)
            while not first.closed:
                await anyio.sleep(CHECK_INTERVAL_S / 2)
        second = await peer_pool.connect(endpoint)
        assert not second.closed


async def test_connection_with_an_open_exchange_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_pool(monkeypatch) as (peer_pool, endpoint):
        async with peer_pool.open_exchange(endpoint) as exchange:
            await exchange.send(Probe(exchange.id))
            await anyio.sleep(5 * CHECK_INTERVAL_S)
            assert not exchange.lost
            assert peer_pool.connection_count == 1


async def test_dial_that_its_caller_cancels_leaves_no_connection_open() -> None:
    """Each request that ended while a connection was opened left a descriptor open."""
    closed = anyio.Event()

    async def accept_silently(stream: SocketStream) -> None:
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    await stream.receive()
            closed.set()

    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, accept_silently)
        peer_pool = PeerPool(tg, Identity("entry", 1))
        with anyio.move_on_after(0.1):
            await peer_pool.connect(Endpoint("b", "s", HOST, port, "n", "n1", 1, 1))
        with anyio.fail_after(2):
            await closed.wait()
        tg.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("host", "port"),
    [
        ("\ufffd\ufffd", 1),
        ("\x00", 1),
        ("a b", 1),
        ("." * 300, 1),
        ("x" * 300, 1),
        (HOST, 0),
        (HOST, 70_000),
    ],
    ids=["no-text", "null", "space", "dots", "long", "port-0", "port-70000"],
)
async def test_owner_whose_address_is_none_is_unreachable(
    host: str, port: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The error ended the gossip task for as long as such a record was known."""
    async with run_pool(monkeypatch) as (peer_pool, endpoint):
        with pytest.raises(ConnectionLost):
            await peer_pool.connect(replace(endpoint, host=host, port=port))
        await peer_pool.connect(endpoint)

"""Guards against a failed accept that ends the daemon or its open connections."""

import errno
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from ...model import Endpoint
from ...settings import Address
from .. import Exchange, Identity, PeerListener, PeerPool
from ..frames import OpeningFrame

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


async def ignore(exchange: Exchange, frame: OpeningFrame) -> None:
    await exchange.wait_reset()


async def test_accept_without_a_free_descriptor_is_tried_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The error left the task group and ended the daemon."""
    listeners = await anyio.create_tcp_listener(local_host=HOST)
    port: int = listeners.extra(SocketAttribute.local_port)
    listener_type: Any = type(listeners.listeners[0])
    accept: Callable[[Any], Awaitable[SocketStream]] = listener_type.accept
    calls = 0

    async def fail_second_call(self: Any) -> SocketStream:
        nonlocal calls
        calls += 1
        if calls == 2:
            raise OSError(errno.EMFILE, "Too many open files")
        return await accept(self)

    async def get_listeners(**_kwargs: object) -> Any:
        return listeners

    monkeypatch.setattr(listener_type, "accept", fail_second_call)
    monkeypatch.setattr(anyio, "create_tcp_listener", get_listeners)
    endpoint = Endpoint("b", "s", HOST, port, "n", "n1", 1, 1)
    address = Address(host=HOST, port=port)
    async with anyio.create_task_group() as tg:
        await tg.start(PeerListener(address, Identity("owner", 1), ignore).run)
        pools = [PeerPool(tg, Identity(name, 1)) for name in ("first", "second")]
        with anyio.fail_after(3):
            connections = [await peer_pool.connect(endpoint) for peer_pool in pools]
        assert calls >= 3
        assert not any(conn.closed for conn in connections)
        tg.cancel_scope.cancel()

"""Guards against a client and a stand-in store that disagree, over real sockets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import anyio
import httpcore
import pytest
from anyio.abc import SocketAttribute, SocketStream

from berylmast_dev.fleet import find_ports
from berylmast_dev.store import Store

from ..._serve import make_server
from ...settings import Address
from .. import client as client_module
from ..client import PlatformClient
from ..confirm import put_confirmed
from ..objects import Conflict, EventType, PlatformUnavailable, VersionTooOld

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


@asynccontextmanager
async def serve() -> AsyncIterator[tuple[Store, PlatformClient, Address]]:
    store = Store()
    address = Address(host="127.0.0.1", port=find_ports(1))
    server = make_server(store.app, address)
    client = PlatformClient(address)
    async with anyio.create_task_group() as tg:
        tg.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        yield store, client, address
        await client.aclose()
        server.should_exit = server.force_exit = True
        tg.cancel_scope.cancel()


async def test_objects_follow_the_published_api() -> None:
    async with serve() as (store, client, address):
        first = await client.put("things", "a", {"n": 1}, 0)
        with pytest.raises(Conflict):
            await client.put("things", "a", {"n": 2}, 0)
        second = await client.put(
            "things", "a", {"n": 2}, first.metadata.resource_version
        )
        assert await client.get("things", "a") == second
        assert await client.get("things", "none") is None
        assert (await client.list("things")).items == (second,)
        assert (await client.list("things", "other")).items == ()
        with pytest.raises(Conflict):
            await client.delete("things", "a", first.metadata.resource_version)
        await client.delete("things", "a", second.metadata.resource_version)
        await client.delete("things", "a", None)
        assert (await client.list("things")).items == ()
        async with httpcore.AsyncConnectionPool() as pool:
            res = await pool.request("GET", f"http://{address}/calls")
        assert b'"put things": 3' in res.content
        assert store.report()["calls"] == client.calls


async def test_watch_streams_changes_and_bookmarks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_module, "BOOKMARK_INTERVAL_S", 0.1)
    async with serve() as (store, client, _):
        start = (await client.list("things")).version
        seen: list[tuple[EventType, int]] = []

        async def watch() -> None:
            async for event in client.watch("things", start):
                seen.append((event.type, event.version))

        async with anyio.create_task_group() as tg:
            tg.start_soon(watch)
            await client.put("things", "a", {"n": 1}, 0)
            await client.put("things", "a", {"n": 2}, None)
            await client.delete("things", "a", None)
            await anyio.sleep(0.3)
            assert store.report()["watching"] == {"things": 1}
            tg.cancel_scope.cancel()
        kinds = [kind for kind, _ in seen]
        assert kinds[:3] == [EventType.ADDED, EventType.MODIFIED, EventType.DELETED]
        assert EventType.BOOKMARK in kinds[3:]
        store.control({"compact": True})
        with pytest.raises(VersionTooOld):
            await anext(aiter(client.watch("things", start)))


@pytest.mark.parametrize(
    ("fault", "sent"), [({"outage": "refuse"}, True), ({"outage": "hang"}, True)]
)
async def test_outage_is_reported_as_unavailable(
    fault: dict[str, Any], sent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_module, "CALL_TIMEOUT_S", 0.2)
    async with serve() as (store, client, _):
        store.control(fault)
        with pytest.raises(PlatformUnavailable) as caught:
            await client.put("things", "a", {}, 0)
        assert caught.value.sent is sent
        store.control({"outage": ""})
        await client.put("things", "a", {}, 0)


async def test_lost_answer_is_settled_by_reading_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_module, "CALL_TIMEOUT_S", 0.2)
    async with serve() as (store, client, _):
        store.control({"lose_answers": 1})
        result = await put_confirmed(client, "things", "a", {"n": 1}, None)
        assert result.is_ok()
        assert store.report()["by_call"] == {"put things": 1, "get things": 1}


async def test_nothing_listening_is_provably_not_sent() -> None:
    client = PlatformClient(Address(host="127.0.0.1", port=find_ports(1)))
    with pytest.raises(PlatformUnavailable) as caught:
        await client.get("things", "a")
    assert not caught.value.sent


async def test_connection_near_the_servers_idle_limit_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server that closes idle connections loses a call sent at that moment."""
    monkeypatch.setattr(client_module, "IDLE_CONNECTION_S", 0.1)
    body = b'{"kind": "k", "metadata": {"name": "a"}, "spec": {}}'
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body

    async def serve_once(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(answer)
            with suppress(anyio.EndOfStream):
                await stream.receive()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    client = PlatformClient(Address(host="127.0.0.1", port=port))
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, serve_once)
        assert await client.get("things", "a") is not None
        await anyio.sleep(0.2)
        assert await client.get("things", "a") is not None
        await client.aclose()
        tg.cancel_scope.cancel()

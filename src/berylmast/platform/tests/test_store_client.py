"""Guards against the client and the development store disagreeing on the protocol."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from berylmast_dev.fleet import reserve_ports
from berylmast_dev.store import MAX_PAGE_ITEMS, Store

from ..._http_server import make_server
from ...settings import Address
from .. import store_client as client_module
from ..objects import Conflict, PlatformUnavailable, RevisionExpired
from ..store_client import StoreClient

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


@asynccontextmanager
async def serve() -> AsyncIterator[tuple[Store, StoreClient]]:
    store = Store()
    address = Address(host="127.0.0.1", port=reserve_ports(1))
    server = make_server(store.app, address)
    client = StoreClient(address)
    async with anyio.create_task_group() as tg:
        tg.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        yield store, client
        await client.aclose()
        server.should_exit = server.force_exit = True
        tg.cancel_scope.cancel()


async def test_object_operations_follow_the_protocol() -> None:
    async with serve() as (store, client):
        first = await client.put("things", "a", {"n": 1}, 0)
        with pytest.raises(Conflict):
            await client.put("things", "a", {"n": 2}, 0)
        second = await client.put("things", "a", {"n": 2}, first.revision)
        assert await client.get("things", "a") == second
        assert await client.get("things", "none") is None
        assert (await client.list("things")).items == (second,)
        same = await client.put("things", "a", {"n": 2}, second.revision)
        assert same == second, "a write without changes must keep the revision"
        with pytest.raises(Conflict):
            await client.delete("things", "a", first.revision)
        await client.delete("things", "a", second.revision)
        await client.delete("things", "a", None)
        with pytest.raises(Conflict):
            await client.put("things", "a", {"n": 3}, second.revision)
        assert (await client.list("things")).items == ()
        assert (await client.put("things", "b", {}, None)).name == "b"
        assert store.get_call_report()["calls"] == client.calls


async def test_list_reads_all_pages() -> None:
    async with serve() as (store, client):
        names = [f"n{number:04}" for number in range(MAX_PAGE_ITEMS + 2)]
        for name in names:
            store.table.put("things", name, {}, None)
        listing = await client.list("things")
        assert [item.name for item in listing.items] == names
        assert store.calls["list things"] == 2


async def test_watch_returns_changes_after_a_revision() -> None:
    async with serve() as (store, client):
        start = (await client.list("things")).revision
        quiet = await client.wait_changes("things", start, 0.05)
        assert quiet.changes == ()

        async def change() -> None:
            await anyio.sleep(0.05)
            store.table.put("other", "x", {}, None)
            store.table.put("things", "a", {"n": 1}, None)

        async with anyio.create_task_group() as tg:
            tg.start_soon(change)
            found = await client.wait_changes("things", quiet.revision, 5.0)
        assert [(c.object.name, c.deleted) for c in found.changes] == [("a", False)]
        await client.delete("things", "a", None)
        last = await client.wait_changes("things", found.revision, 5.0)
        assert [(c.object.name, c.deleted) for c in last.changes] == [("a", True)]
        store.control({"compact": True})
        with pytest.raises(RevisionExpired):
            await client.wait_changes("things", start, 5.0)


@pytest.mark.parametrize("outage", ["refuse", "limit", "hang"])
async def test_outage_is_reported_as_unavailable(
    outage: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_module, "CALL_TIMEOUT_S", 0.2)
    async with serve() as (store, client):
        store.control({"outage": outage})
        with pytest.raises(PlatformUnavailable) as caught:
            await client.put("things", "a", {}, 0)
        assert caught.value.sent
        store.control({"outage": ""})
        await client.put("things", "a", {}, 0)


async def test_hanging_watch_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """One connection may hang forever while new connections work."""
    monkeypatch.setattr(client_module, "WATCH_TIMEOUT_MARGIN_S", 0.1)
    async with serve() as (store, client):
        async with anyio.create_task_group() as tg:

            async def silence() -> None:
                while not store.get_call_report()["watching"]:
                    await anyio.sleep(0.01)
                store.control({"silent_watches": True})

            tg.start_soon(silence)
            with pytest.raises(PlatformUnavailable):
                await client.wait_changes("things", store.table.revision, 0.2)
        revision = store.table.revision
        store.table.put("things", "a", {}, None)
        assert (await client.wait_changes("things", revision, 1.0)).changes


async def test_call_after_a_timeout_uses_no_connection_from_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All open connections had died silently; each was tried until its timeout."""
    monkeypatch.setattr(client_module, "CALL_TIMEOUT_S", 0.3)
    body = b'{"metadata": {"name": "a", "revision": 1}, "spec": {}}'
    dead: set[SocketStream] = set()
    streams: set[SocketStream] = set()

    async def serve_calls(stream: SocketStream) -> None:
        streams.add(stream)
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    await stream.receive()
                    await anyio.sleep(0.05)
                    if stream not in dead:
                        await stream.send(_make_response(body))

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    client = StoreClient(Address(host="127.0.0.1", port=port))
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, serve_calls)
        async with anyio.create_task_group() as calls:
            for _ in range(3):
                calls.start_soon(client.get, "things", "a")
        assert len(streams) == 3
        dead |= streams
        with pytest.raises(PlatformUnavailable):
            await client.get("things", "a")
        assert await client.get("things", "a") is not None
        await client.aclose()
        tg.cancel_scope.cancel()


async def test_refused_connection_is_reported_as_not_sent() -> None:
    client = StoreClient(Address(host="127.0.0.1", port=reserve_ports(1)))
    with pytest.raises(PlatformUnavailable) as caught:
        await client.get("things", "a")
    assert not caught.value.sent


async def test_connection_near_the_servers_idle_timeout_is_not_reused() -> None:
    """A request sent just as the server closes the idle connection is lost."""
    body = b'{"metadata": {"name": "a", "revision": 1}, "spec": {}}'
    head = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: %d\r\n\r\n"
    accepted = 0

    async def serve_once(stream: SocketStream) -> None:
        nonlocal accepted
        accepted += 1
        async with stream:
            await stream.receive()
            await stream.send(head % len(body) + body)
            with suppress(anyio.EndOfStream):
                await stream.receive()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    client = StoreClient(Address(host="127.0.0.1", port=port))
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, serve_once)
        for _ in range(2):
            assert await client.get("things", "a") is not None
            await anyio.sleep(0.05)
        assert accepted == 2
        await client.aclose()
        tg.cancel_scope.cancel()


@pytest.mark.parametrize("outage", ["refuse", "limit"])
async def test_store_outage_can_be_limited_to_some_hosts(outage: str) -> None:
    """Checks the development store: it rejects some hosts and serves the others."""
    async with serve() as (store, client):
        store.control({"outage": outage, "hosts": ["127.0.1.1"]})
        await client.put("things", "a", {"n": 1}, 0)
        store.control({"hosts": ["127.0.0.1"]})
        with pytest.raises(PlatformUnavailable):
            await client.get("things", "a")


def _make_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    "response",
    [
        _make_response(b"[" * 200_000),
        _make_response(b"\xff\xfe"),
        _make_response(b"[]"),
        _make_response(b'{"items": [{"metadata": 5}], "at": 1}'),
        _make_response(b'{"items": [], "at": "\\ud800"}'),
        b"HTTP/1.1 200 OK\r\n\r\n" + b" " * 9 * 1024 * 1024,
        b"HTTP/1.1 200 OK\r\nx: " + b"x" * 9 * 1024 * 1024,
        b"not a response\r\n\r\n",
        b"HTTP/1.1 abc OK\r\n\r\n",
    ],
    ids=[
        "nested-too-deeply",
        "not-utf-8",
        "another-type",
        "wrong-field",
        "lone-surrogate",
        "body-without-end",
        "head-without-end",
        "no-http",
        "wrong-status",
    ],
)
async def test_malformed_response_is_reported_as_unavailable(response: bytes) -> None:
    """An error of another type ended the daemon's task that called the store."""
    await list_from(response)


async def test_error_for_a_malformed_response_quotes_no_key() -> None:
    """The error is logged; it quoted the input, which held the keys of tenants."""
    spec = b'{"tenants": [{"name": "a", "apiKeys": ["secret"]}]}'
    body = b'{"items": [{"metadata": {"name": "main"}, "spec": %s}]}' % spec
    error = await list_from(_make_response(body))
    assert "at: Field required" in str(error)
    assert "secret" not in str(error)


async def list_from(response: bytes) -> PlatformUnavailable:
    """Return the error of a list call that gets this response."""

    async def serve_response(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            with suppress(anyio.BrokenResourceError):
                await stream.send(response)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    client = StoreClient(Address(host="127.0.0.1", port=port))
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, serve_response)
        with pytest.raises(PlatformUnavailable) as caught:
            await client.list("things")
        await client.aclose()
        tg.cancel_scope.cancel()
    return caught.value

"""Guards against membership that works in memory but not over TCP and HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup

from berylmast_dev.fleet import reserve_ports
from berylmast_dev.store import Store

from ..._http_server import make_server
from ...daemons import Exchange, Identity, PeerListener, PeerPool
from ...daemons.frames import Compare, OpeningFrame
from ...model import DaemonLocation, Endpoint, EndpointState
from ...operators.revisions import DOCUMENT_KIND
from ...own_interface import parse_revision
from ...platform import StoreClient
from ...platform.platform_store import PlatformStore
from ...settings import Address
from .. import Directory
from ..active_document import ActiveDocument
from ..document_sync import DocumentSync
from ..fleet_view import FleetView
from ..gossip import Gossip
from ..record_sync import RecordSync
from ..registry import EndpointRegistry
from ..store_calls import StoreStatus
from .fleet import ENVIRONMENT, make_text

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


@dataclass
class Node:
    directory: Directory
    registry: EndpointRegistry
    gossip: Gossip
    record_sync: RecordSync
    record: Endpoint

    def publish(self, record: Endpoint) -> None:
        self.record = record
        self.registry.merge([record])
        self.gossip.broadcast([record])
        self.record_sync.set_own_record(record)


async def start_node(tg: TaskGroup, name: str, platform: Address) -> Node:
    port = reserve_ports(1)
    identity = Identity(name, 1)
    directory = Directory()
    registry = EndpointRegistry(directory)
    active_document = ActiveDocument(parse_revision, directory)
    pool = PeerPool(tg, identity)
    rng = Random(name)
    own_address = (HOST, port)
    location = DaemonLocation(HOST, port, "n", name[0])
    fleet_view = FleetView(registry, location, rng)
    gossip = Gossip(pool, registry, active_document, fleet_view, rng)
    store = PlatformStore(StoreClient(platform), DOCUMENT_KIND, ENVIRONMENT)
    status = StoreStatus()
    record_sync = RecordSync(store, registry, own_address, status, rng)
    document_sync = DocumentSync(
        store,
        active_document,
        status,
        rng,
        fleet_view,
        gossip.spread_document,
    )
    record = Endpoint(name, "orders", HOST, port, "n", name[0], 1, 1)

    async def accept(exchange: Exchange, frame: OpeningFrame) -> None:
        assert isinstance(frame, Compare)
        await gossip.serve_comparison(exchange, frame)

    address = Address(host=HOST, port=port)
    listener = PeerListener(address, identity, accept, gossip.handle_tell)
    await tg.start(listener.run)
    tg.start_soon(record_sync.run)
    tg.start_soon(document_sync.run)
    tg.start_soon(gossip.run)
    await anyio.sleep(0.01)
    node = Node(directory, registry, gossip, record_sync, record)
    node.publish(record)
    return node


@asynccontextmanager
async def run_store() -> AsyncIterator[tuple[Store, Address, TaskGroup]]:
    store = Store()
    address = Address(host=HOST, port=reserve_ports(1))
    server = make_server(store.app, address)
    async with anyio.create_task_group() as tg:
        tg.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        yield store, address, tg
        server.should_exit = server.force_exit = True
        tg.cancel_scope.cancel()


async def test_daemons_agree_over_sockets_and_survive_an_outage() -> None:
    async with run_store() as (store, address, tg):
        spec = {"version": 1, "text": make_text(orders=6)}
        store.table.put(DOCUMENT_KIND, ENVIRONMENT, spec, None)
        nodes = [await start_node(tg, name, address) for name in ("a0", "b0", "a1")]

        async def wait_known(*backends: str) -> None:
            with anyio.fail_after(10):
                while any(
                    {e.backend for e in node.directory.endpoints("orders")}
                    != set(backends)
                    for node in nodes
                ):
                    await anyio.sleep(0.02)

        await wait_known("a0", "a1", "b0")
        store.control({"outage": "hang"})
        state = EndpointState.DRAINING
        nodes[2].publish(replace(nodes[2].record, seq=2, state=state))
        await wait_known("a0", "b0")
        assert all(node.directory.document_version == 1 for node in nodes)
        late = await start_node(tg, "b1", address)
        late.registry.merge([nodes[0].record])
        nodes.append(late)
        await wait_known("a0", "b0", "b1")
        with anyio.fail_after(5):
            while late.directory.document_version != 1:
                await anyio.sleep(0.02)

"""The membership of several daemons in one process, with an in-memory network."""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from berylmast_dev.objects import ObjectTable

from ...daemons import ConnectionLost, Exchange, ExchangeLost
from ...daemons.frames import Compare, Frame, Tell
from ...model import DaemonLocation, Endpoint, EndpointState
from ...operators.revisions import DOCUMENT_KIND
from ...own_interface import parse_revision
from ...platform.evacuations import EVACUATION_KIND
from ...platform.platform_store import PlatformStore
from ...platform.tests.fake_store import FakeStore
from ...supervision import run_supervised
from ...tenancy.freshness import Freshness
from .. import Directory
from ..active_document import ActiveDocument
from ..active_evacuations import ActiveEvacuations
from ..document_sync import DocumentSync
from ..evacuation_sync import EvacuationSync
from ..fleet_view import FleetView
from ..gossip import Gossip
from ..record_sync import RecordSync
from ..registry import EndpointRegistry
from ..store_calls import StoreStatus

ENVIRONMENT = "test"
ROUTE = '{"idempotent": true, "priority": "normal", "deadline_ms": 1000}'
SILENCE_TIMEOUT_S = 1.5
"""Time after which a silent connection is closed."""


def make_text(**slots: int) -> str:
    """Return the text of a document with one service per keyword and its slots."""
    services = ",".join(
        f'"{name}": {{"hosts": ["{name}.example"], "slots": {n}, "routes": [{ROUTE}]}}'
        for name, n in slots.items()
    )
    return f'{{"priorities": [{{"name": "normal"}}], "services": {{{services}}}}}'


@dataclass
class Daemon:
    """The membership of one daemon, its store and the scope that ends it.

    ``boot_offset_s`` is how far its boot clock is ahead of the test's clock.
    """

    record_sync: RecordSync
    document_sync: DocumentSync
    store_status: StoreStatus
    gossip: Gossip
    registry: EndpointRegistry
    document: ActiveDocument
    directory: Directory
    platform: FakeStore
    record: Endpoint | None
    evacuations: ActiveEvacuations | None = None
    evacuation_sync: EvacuationSync | None = None
    freshness: Freshness | None = None
    boot_offset_s: float = 0.0
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    tg: TaskGroup | None = None

    def announce_state(self, state: EndpointState) -> None:
        """Publish the daemon's record with a new state, unless it already has it."""
        if self.record is None or self.record.state is state:
            return
        self.record = replace(self.record, state=state, seq=self.record.seq + 1)
        self.publish()

    def list_full_price_calls(self) -> list[tuple[str, str]]:
        """Return the calls to the store other than stale reads."""
        return [c for c in self.platform.call_log if not c[0].startswith("stale")]

    def publish(self) -> None:
        """Store the daemon's record and send it to the other daemons."""
        assert self.record is not None
        self.registry.merge([self.record])
        self.gossip.broadcast([self.record])
        self.record_sync.set_own_record(self.record)


@dataclass
class Connection:
    """A connection opened by ``source``; all frames are lost while it is ``silent``."""

    fleet: "Fleet"
    source: str
    target: str
    silent: bool = False
    exchanges: list[tuple[Exchange, Exchange]] = field(default_factory=list)

    @property
    def pair(self) -> frozenset[str]:
        """Return the names of both daemons, in no order."""
        return frozenset({self.source, self.target})

    def write(self, frame: Frame) -> None:
        """Deliver a frame that belongs to no exchange."""
        if self.count_and_check_frame(frame, self.source, self.target):
            assert isinstance(frame, Tell)
            self.fleet.daemons[self.target].gossip.handle_tell(frame)

    def count_and_check_frame(self, frame: Frame, source: str, target: str) -> bool:
        """Count a frame and return whether it reaches its target."""
        fleet = self.fleet
        fleet.frame_counts[type(frame)] += 1
        if self.silent or self.pair in fleet.cut or target not in fleet.daemons:
            return False
        if fleet.on_frame is not None:
            fleet.on_frame(source, target, frame)
        return True


class FakePool:
    """Connects to other daemons by name, as ``PeerPool`` does by address."""

    def __init__(self, fleet: "Fleet", source: str) -> None:
        self._fleet = fleet
        self._source = source

    async def connect(self, endpoint: Endpoint) -> Connection:
        """Return the connection to a daemon; raises ConnectionLost."""
        fleet, key = self._fleet, (self._source, endpoint.host)
        conn = fleet.connections.get(key)
        if conn is not None and endpoint.host in fleet.daemons:
            return conn
        fleet.connections.pop(key, None)
        target = fleet.daemons.get(endpoint.host)
        if target is None or target.tg is None or frozenset(key) in fleet.cut:
            await anyio.sleep(fleet.dial_failure_s)
            raise ConnectionLost(endpoint.host)
        fleet.connections[key] = Connection(fleet, *key)
        return fleet.connections[key]

    @asynccontextmanager
    async def open_exchange(self, endpoint: Endpoint) -> AsyncIterator[Exchange]:
        """Open an exchange with a daemon; raises ConnectionLost."""
        conn = await self.connect(endpoint)
        if conn.silent or conn.pair in self._fleet.cut:
            await anyio.sleep(SILENCE_TIMEOUT_S)
            self._fleet.connections.pop((conn.source, conn.target), None)
            raise ConnectionLost(endpoint.host)
        target = self._fleet.daemons[conn.target]
        source_side = Exchange(
            1, lambda f: _deliver(conn, f, conn.source, conn.target, target_side)
        )
        target_side = Exchange(
            1, lambda f: _deliver(conn, f, conn.target, conn.source, source_side)
        )
        conn.exchanges.append((source_side, target_side))

        async def accept() -> None:
            try:
                frame = await target_side.receive()
                assert isinstance(frame, Compare)
                await target.gossip.serve_comparison(target_side, frame)
            except ExchangeLost:
                pass

        assert target.tg is not None
        target.tg.start_soon(accept)
        try:
            yield source_side
        finally:
            conn.exchanges.remove((source_side, target_side))
            # The other side can still receive the frames sent before.
            target_side.mark_lost()
            source_side.discard()


def _deliver(
    conn: Connection, frame: Frame, source: str, target: str, receiver: Exchange
) -> None:
    if conn.count_and_check_frame(frame, source, target) and not receiver.lost:
        receiver.deliver(frame)


@dataclass
class Fleet:
    """All daemons of a test; ``cut`` holds pairs of names that cannot communicate.

    ``dial_failure_s`` is the time after which connecting to a dead daemon fails. With
    ``evacuate_within_s``, the daemons follow evacuations. With ``within_s``, they track
    how current their configuration is.
    """

    tg: TaskGroup
    table: ObjectTable = field(default_factory=ObjectTable)
    daemons: dict[str, Daemon] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    connections: dict[tuple[str, str], Connection] = field(default_factory=dict)
    make_directory: Callable[[], Directory] = Directory
    frame_counts: Counter[type[Frame]] = field(default_factory=Counter)
    on_frame: Callable[[str, str, Frame], None] | None = None
    make_store: Callable[[ObjectTable, str], FakeStore] = lambda table, name: FakeStore(
        table
    )
    start_count: int = 0
    dial_failure_s: float = 0.5
    evacuate_within_s: float | None = None
    within_s: float | None = None

    def start(
        self, name: str, domain: str = "n1", service: str | None = "orders"
    ) -> Daemon:
        """Start a daemon; the region is the first letter of the failure domain."""
        self.start_count += 1
        record = None
        if service is not None:
            record = Endpoint(
                name, service, name, 1, domain[0], domain, self.start_count, 1
            )
        directory = self.make_directory()
        registry = EndpointRegistry(directory)
        document = ActiveDocument(parse_revision, directory)
        platform = self.make_store(self.table, name)
        rng = Random(f"{name}/{self.start_count}")
        store = PlatformStore(
            platform, DOCUMENT_KIND, ENVIRONMENT, evacuation_kind=EVACUATION_KIND
        )
        pool: Any = FakePool(self, name)
        status = StoreStatus()
        location = DaemonLocation(name, 1, domain[0], domain)
        fleet_view = FleetView(registry, location, rng)
        evacuations = None
        if self.evacuate_within_s is not None:
            evacuations = ActiveEvacuations()
        freshness = None
        if self.within_s is not None:
            freshness = Freshness(
                self.within_s,
                lambda: document.version,
                lambda: anyio.current_time() + daemon.boot_offset_s,
            )
        record_sync = RecordSync(store, registry, (name, 1), status, rng)
        gossip = Gossip(
            pool,
            registry,
            document,
            fleet_view,
            rng,
            freshness,
            evacuations,
            on_store_era=record_sync.record_peer_era,
        )
        record_sync.set_era_listener(gossip.spread_store_era)
        document_sync = DocumentSync(
            store,
            document,
            status,
            rng,
            fleet_view,
            gossip.spread_document,
            freshness,
        )
        evacuation_sync = None
        if evacuations is not None and self.evacuate_within_s is not None:
            evacuation_sync = EvacuationSync(
                store,
                evacuations,
                status,
                rng,
                fleet_view,
                gossip.spread_document,
                self.evacuate_within_s,
            )
        daemon = Daemon(
            record_sync,
            document_sync,
            status,
            gossip,
            registry,
            document,
            directory,
            platform,
            record,
            evacuations,
            evacuation_sync,
            freshness,
        )
        self.daemons[name] = daemon
        self.tg.start_soon(_run, daemon)
        return daemon

    def stop(self, name: str) -> None:
        """Stop a daemon immediately, as a crash does."""
        self.daemons.pop(name).scope.cancel()
        for key in [key for key in self.connections if name in key]:
            self._close(self.connections.pop(key))

    def silence(self, name: str) -> None:
        """Make the open connections of a daemon lose all frames; new ones work."""
        for key, conn in self.connections.items():
            conn.silent = conn.silent or name in key

    def cut_links(self, name: str) -> None:
        """Close the open connections of a daemon; new ones work."""
        for key in [key for key in self.connections if name in key]:
            self._close(self.connections.pop(key))

    def apply(self, version: int, **slots: int) -> None:
        """Write a document to the store."""
        spec = {"version": version, "text": make_text(**slots)}
        self.table.put(DOCUMENT_KIND, ENVIRONMENT, spec, None)

    def evacuate(self, *failure_domains: str) -> None:
        """Write evacuations to the store."""
        for failure_domain in failure_domains:
            self.table.put(EVACUATION_KIND, failure_domain, {}, None)

    def end_evacuation(self, failure_domain: str) -> None:
        """Remove an evacuation from the store."""
        self.table.delete(EVACUATION_KIND, failure_domain, None)

    def list_evacuated(self) -> set[frozenset[str]]:
        """Return the sets of evacuated failure domains that daemons act on."""
        return {
            d.evacuations.failure_domains
            for d in self.daemons.values()
            if d.evacuations is not None
        }

    def set_store_down(self, down: bool) -> None:
        """Start or end a store outage."""
        for daemon in self.daemons.values():
            daemon.platform.down = down

    def known(self, name: str, service: str = "orders") -> set[str]:
        """Return the backend servers of a service that a daemon knows to be ready."""
        directory = self.daemons[name].directory
        return {endpoint.backend for endpoint in directory.endpoints(service)}

    def versions(self) -> set[int]:
        """Return the versions of the documents that are active on the daemons."""
        return {d.directory.document_version for d in self.daemons.values()}

    async def wait_until(self, check: Callable[[], bool], limit_s: float) -> float:
        """Wait for a condition and return the time in seconds; fails at the limit."""
        started_s = anyio.current_time()
        while not check():
            assert anyio.current_time() - started_s < limit_s, "timed out"
            await anyio.sleep(0.05)
        return anyio.current_time() - started_s

    @staticmethod
    def _close(conn: Connection) -> None:
        for source_side, target_side in conn.exchanges:
            source_side.mark_lost()
            target_side.mark_lost()


async def _run(daemon: Daemon) -> None:
    with daemon.scope:
        async with anyio.create_task_group() as tg:
            daemon.tg = tg
            tg.start_soon(run_supervised, "record_sync", daemon.record_sync.run)
            tg.start_soon(run_supervised, "document_sync", daemon.document_sync.run)
            if daemon.evacuation_sync is not None:
                run = daemon.evacuation_sync.run
                tg.start_soon(run_supervised, "evacuation_sync", run)
            tg.start_soon(daemon.gossip.run)
            # Gossip sends nothing before its task has started.
            await anyio.sleep(0)
            if daemon.record is not None:
                daemon.publish()


@asynccontextmanager
async def run_fleet() -> AsyncIterator[Fleet]:
    """Provide a fleet whose daemons stop when the block ends."""
    async with anyio.create_task_group() as tg:
        yield Fleet(tg)
        tg.cancel_scope.cancel()

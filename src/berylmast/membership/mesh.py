"""Exchanges between registrars, which work while the platform is down."""

from collections.abc import Iterable
from random import Random
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from ..daemons import ConnectionLost, Exchange, ExchangeLost
from ..daemons.frames import (
    Beat,
    Body,
    DocumentHead,
    Endpoints,
    Fetch,
    Registrars,
    Reset,
    Sync,
)
from ..model import Endpoint
from ..operators import DocumentError
from .leases import Lease, pack_lease, unpack_lease
from .links import Dial, receive_within_limit, run_beside, send_beats
from .records import cut_records, unpack_records
from .slices import (
    MAX_DOCUMENT_BYTES,
    CutDocument,
    compress_document,
    expand_document,
)

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 10.0

DIAL_BACK_S = 0.3
CHECK_LINK_S = 3.0

FETCH_DELAY_S = 1.0
"""The watch usually brings a new document sooner; a transfer would repeat it."""


class Peers(Protocol):
    """What the mesh needs of its registrar."""

    document: CutDocument

    @property
    def newest_version(self) -> int:
        """Return the highest document version known, also if it was refused."""

    def own_records(self) -> list[Endpoint]:
        """Return the records that this registrar answers for."""

    def take_peer_records(self, records: Iterable[Endpoint]) -> list[Endpoint]:
        """Take records of another registrar; return those to dispute."""

    def take_peer_lease(self, lease: Lease) -> None:
        """Note that another registrar saw this lease lapse."""

    def adopt_document(self, text: str, version: int) -> None:
        """Put a document into force unless a newer one is."""


class Mesh:
    """One exchange with each other registrar; the lower shard name dials first.

    The other one dials after DIAL_BACK_S without an exchange: it may be the only one of
    the two that has read the other's lease. ``link_changed`` is set when exchanges
    have begun or ended, with those of ``changed_shards``.
    """

    def __init__(
        self, peers: Peers, shard: str, dial: Dial, rng: Random, tg: TaskGroup
    ) -> None:
        self._peers = peers
        self._shard = shard
        self._dial = dial
        self._rng = rng
        self._tg = tg
        self._leases: dict[str, Lease] = {}
        self._dialling: set[str] = set()
        self._open: dict[Exchange, str] = {}
        self._fetching = False
        self.link_changed = anyio.Event()
        self.changed_shards: set[str] = set()

    def take_leases(self, leases: dict[str, Lease]) -> None:
        """Keep an exchange with each of these registrars."""
        self._leases = leases
        for shard in leases:
            if shard != self._shard and shard not in self._dialling:
                self._dialling.add(shard)
                self._tg.start_soon(self._keep_link, shard)
        for exchange, shard in self._open.items():
            if shard in leases and leases[shard].lapsed:
                self._tg.start_soon(_send_lapse, exchange, leases[shard])

    def is_linked(self, shard: str) -> bool:
        """Tell whether the holder of a shard is heard of."""
        return shard in self._open.values()

    def send_records(self, records: list[Endpoint]) -> None:
        """Send records of this registrar's daemons to all others."""
        for exchange in self._open:
            self._tg.start_soon(_send_records, exchange, records)

    async def serve(self, exchange: Exchange, shard: str) -> None:
        """Serve the exchange with one other registrar until it is lost."""
        self._open[exchange] = shard
        self._note_change(shard)
        try:
            await _send_records(exchange, self._peers.own_records())

            async def beat() -> None:
                await send_beats(exchange, lambda: self._peers.document.version)

            await run_beside(lambda: self._receive(exchange), beat)
        finally:
            del self._open[exchange]
            self._note_change(shard)

    def _note_change(self, shard: str) -> None:
        self.changed_shards.add(shard)
        self.link_changed.set()

    async def _keep_link(self, shard: str) -> None:
        backoff_s = FIRST_BACKOFF_S
        while (lease := self._leases.get(shard)) is not None:
            if shard < self._shard:
                await anyio.sleep(DIAL_BACK_S)
                if self.is_linked(shard):
                    await anyio.sleep(CHECK_LINK_S)
                    continue
                lease = self._leases.get(shard, lease)
            if not lease.daemon:
                await anyio.sleep(DIAL_BACK_S)
                continue
            started_s = anyio.current_time()
            try:
                async with self._dial(lease.host, lease.port) as exchange:
                    await exchange.send(Sync(exchange.id, self._shard))
                    await self.serve(exchange, shard)
            except (ConnectionLost, ExchangeLost):
                pass
            if anyio.current_time() - started_s > MAX_BACKOFF_S:
                backoff_s = FIRST_BACKOFF_S
            await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        self._dialling.discard(shard)

    async def _receive(self, exchange: Exchange) -> None:
        while True:
            match await receive_within_limit(exchange):
                case Beat(version=version):
                    if version > self._peers.newest_version and not self._fetching:
                        self._tg.start_soon(self._fetch, exchange, version)
                case Endpoints(records=records):
                    await self._take_records(exchange, unpack_records(records))
                case Fetch():
                    self._tg.start_soon(self._send_document, exchange)
                case DocumentHead(version=version, size=size):
                    await self._receive_document(exchange, version, size)
                case Registrars(leases=leases):
                    for item in leases:
                        self._peers.take_peer_lease(unpack_lease(item))
                case Reset():
                    return
                case _:
                    pass

    async def _take_records(self, exchange: Exchange, records: list[Endpoint]) -> None:
        disputed = self._peers.take_peer_records(records)
        if disputed:
            await _send_records(exchange, disputed)

    async def _fetch(self, exchange: Exchange, version: int) -> None:
        """Ask one peer at a time for a document that the watch has not brought."""
        self._fetching = True
        try:
            await anyio.sleep(FETCH_DELAY_S * self._rng.uniform(1.0, 2.0))
            if version > self._peers.newest_version:
                await exchange.send(Fetch(exchange.id))
                await anyio.sleep(FETCH_DELAY_S)
        except ExchangeLost:
            pass
        finally:
            self._fetching = False

    async def _send_document(self, exchange: Exchange) -> None:
        document = self._peers.document
        data = compress_document(document.text)
        try:
            head = DocumentHead(exchange.id, document.version, len(data))
            await exchange.send(head)
            await exchange.send_body(data)
        except ExchangeLost:
            pass

    async def _receive_document(
        self, exchange: Exchange, version: int, size: int
    ) -> None:
        data = bytearray()
        while len(data) < min(size, MAX_DOCUMENT_BYTES):
            frame = await receive_within_limit(exchange)
            if isinstance(frame, Body):
                data += frame.data
            elif isinstance(frame, Endpoints):
                await self._take_records(exchange, unpack_records(frame.records))
        try:
            self._peers.adopt_document(expand_document(bytes(data)), version)
        except DocumentError:
            pass  # The next heartbeat asks again.


async def _send_records(exchange: Exchange, records: list[Endpoint]) -> None:
    try:
        for part in cut_records(records):
            await exchange.send(Endpoints(exchange.id, part))
    except ExchangeLost:
        pass


async def _send_lapse(exchange: Exchange, lease: Lease) -> None:
    """Tell a registrar that its lease has lapsed: it may be cut off the platform."""
    try:
        await exchange.send(Registrars(exchange.id, (pack_lease(lease),)))
    except ExchangeLost:
        pass

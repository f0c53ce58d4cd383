"""Spreads endpoint records and the configuration between daemons by gossip.

A changed record is sent to the other daemons at once. In addition, each daemon
periodically compares its state with that of one other daemon (anti-entropy). This
repairs what was missed because of a lost message, a partition or a restart during a
store outage.
"""

import zlib
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..daemons import ConnectionLost, Exchange, ExchangeLost, PeerPool
from ..daemons.frames import (
    CONNECTION_EXCHANGE_ID,
    Body,
    Compare,
    Compared,
    DocumentHead,
    End,
    EndpointRecord,
    Endpoints,
    Tell,
)
from ..model import Endpoint
from ..telemetry import log_event
from .active_document import ActiveDocument
from .records import pack_record, split_records, unpack_records
from .registry import EndpointRegistry, PeerAddress

COMPARE_INTERVAL_S = 1.0
MAX_BROADCAST_PEERS = 64
"""Maximum number of daemons that a changed record is sent to directly; in larger fleets
the others receive it through comparisons."""

ANY_REGION_FRACTION = 0.1
"""Fraction of comparisons whose peer is drawn from the daemons of all regions.

The others stay in this daemon's region, because the link between regions is billed by
volume.
"""

COMPARE_TIMEOUT_S = 2.0
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


class Gossip:
    """Sends, compares and receives records and the configuration for this daemon."""

    def __init__(
        self,
        pool: PeerPool,
        registry: EndpointRegistry,
        active_document: ActiveDocument,
        own_address: PeerAddress,
        region: str,
        rng: Random,
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._active_document = active_document
        self._own_address = own_address
        self._region = region
        self._rng = rng
        self._tg: TaskGroup | None = None

    async def run(self) -> None:
        """Compare with a random daemon at intervals until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tg = tg
            while True:
                await anyio.sleep(COMPARE_INTERVAL_S * self._rng.uniform(0.75, 1.25))
                peer = self._choose_peer()
                if peer is not None:
                    await self.compare_with(peer)

    def broadcast(self, records: list[Endpoint]) -> None:
        """Send records to the other daemons in the background."""
        if self._tg is None:
            return
        frame = Tell(
            CONNECTION_EXCHANGE_ID, tuple(pack_record(record) for record in records)
        )
        peers = self._registry.peers(self._own_address)
        if len(peers) > MAX_BROADCAST_PEERS:
            peers = self._rng.sample(peers, MAX_BROADCAST_PEERS)
        for peer in peers:
            self._tg.start_soon(self._send_to_peer, peer, frame)

    def handle_tell(self, records: tuple[EndpointRecord, ...]) -> None:
        """Merge the records of a received ``Tell`` frame."""
        self._registry.merge(unpack_records(records))

    async def compare_with(self, peer: Endpoint) -> None:
        """Exchange differences with another daemon so that both have the same state."""
        try:
            with anyio.move_on_after(COMPARE_TIMEOUT_S):
                async with self._pool.open_exchange(peer) as exchange:
                    digest, version = (
                        self._registry.digest,
                        self._active_document.version,
                    )
                    await exchange.send(Compare(exchange.id, version, digest))
                    await self._receive_response(exchange)
        except (ConnectionLost, ExchangeLost):
            # A later round compares with this peer or another one.
            return

    async def serve_comparison(self, exchange: Exchange, frame: Compare) -> None:
        """Serve the exchange that another daemon opened with a ``Compare`` frame."""
        digest, version = self._registry.digest, self._active_document.version
        await exchange.send(Compared(exchange.id, version, digest))
        if digest != frame.digest:
            await _send_records(exchange, self._registry.records())
        if version > frame.version:
            await self._send_document(exchange)
        await exchange.send(End(exchange.id))
        await self._receive_state(exchange)

    async def _receive_response(self, exchange: Exchange) -> None:
        frame = await exchange.receive()
        if not isinstance(frame, Compared):
            return
        records = await self._receive_state(exchange)
        if frame.digest != self._registry.digest:
            await _send_records(exchange, self._registry.find_newer(records))
        if frame.version < self._active_document.version:
            await self._send_document(exchange)
        await exchange.send(End(exchange.id))

    async def _receive_state(self, exchange: Exchange) -> list[Endpoint]:
        """Receive and merge records and a document up to the end of the exchange.

        Returns the records. If the document is too long, nothing is merged.
        """
        records: list[Endpoint] = []
        head: DocumentHead | None = None
        body = bytearray()
        while True:
            frame = await exchange.receive()
            match frame:
                case Endpoints():
                    records += unpack_records(frame.records)
                case DocumentHead():
                    head = frame
                case Body():
                    body += frame.data
                    if len(body) > MAX_DOCUMENT_BYTES:
                        return records
                case _:
                    break
        self._registry.merge(records)
        if head is not None and len(body) == head.size:
            self._adopt_document(bytes(body))
        return records

    def _adopt_document(self, data: bytes) -> None:
        try:
            text = zlib.decompress(data)
        except zlib.error as exc:
            log_event("document_unreadable", source="peer", reason=repr(exc))
            return
        self._active_document.adopt_text(text, "peer")

    async def _send_document(self, exchange: Exchange) -> None:
        data = zlib.compress(self._active_document.text)
        await exchange.send(
            DocumentHead(exchange.id, self._active_document.version, len(data))
        )
        await exchange.send_body(data)

    async def _send_to_peer(self, peer: Endpoint, frame: Tell) -> None:
        try:
            conn = await self._pool.connect(peer)
        except ConnectionLost:
            # The peer gets the records by comparison once it is reachable again.
            return
        conn.write(frame)

    def _choose_peer(self) -> Endpoint | None:
        peers = self._registry.peers(self._own_address)
        regional_peers = [peer for peer in peers if peer.region == self._region]
        if regional_peers and self._rng.random() >= ANY_REGION_FRACTION:
            peers = regional_peers
        return self._rng.choice(peers) if peers else None


async def _send_records(exchange: Exchange, records: list[Endpoint]) -> None:
    for part in split_records(records):
        await exchange.send(Endpoints(exchange.id, part))

"""Records and configuration passed on between daemons.

A change of a record is told to the other daemons at once. Each daemon also compares
what it holds with one other at a time, so that a message that was lost, a partition or
a restart while the store is away are made up for.
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
from .held import HeldDocument
from .records import cut_records, pack_record, unpack_records
from .roster import PeerAddress, Roster

INTERVAL_S = 1.0
MAX_TOLD = 64
"""Daemons that are told of a change directly; in larger fleets the others hear of it
when they compare."""

FAR_SHARE = 0.1
"""Share of comparisons with daemons of other regions, whose link is paid by volume."""

COMPARE_TIMEOUT_S = 2.0
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


class Gossip:
    """This daemon's part in passing records and the configuration on."""

    def __init__(
        self,
        pool: PeerPool,
        roster: Roster,
        document: HeldDocument,
        own: PeerAddress,
        region: str,
        rng: Random,
    ) -> None:
        self._pool = pool
        self._roster = roster
        self._document = document
        self._own = own
        self._region = region
        self._rng = rng
        self._tg: TaskGroup | None = None

    async def run(self) -> None:
        """Compare with one daemon after the other until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tg = tg
            while True:
                await anyio.sleep(INTERVAL_S * self._rng.uniform(0.75, 1.25))
                peer = self._draw_peer()
                if peer is not None:
                    await self.compare_with(peer)

    def tell(self, records: list[Endpoint]) -> None:
        """Send records to the other daemons without waiting."""
        if self._tg is None:
            return
        frame = Tell(
            CONNECTION_EXCHANGE_ID, tuple(pack_record(record) for record in records)
        )
        peers = self._roster.peers(self._own)
        if len(peers) > MAX_TOLD:
            peers = self._rng.sample(peers, MAX_TOLD)
        for peer in peers:
            self._tg.start_soon(self._tell_peer, peer, frame)

    def take_told(self, records: tuple[EndpointRecord, ...]) -> None:
        """Merge the records of a ``Tell`` frame."""
        self._roster.merge(unpack_records(records))

    async def compare_with(self, peer: Endpoint) -> None:
        """Bring this daemon and another one to the same state."""
        try:
            with anyio.move_on_after(COMPARE_TIMEOUT_S):
                async with self._pool.open_exchange(peer) as exchange:
                    digest, version = self._roster.digest, self._document.version
                    await exchange.send(Compare(exchange.id, version, digest))
                    await self._take_answer(exchange)
        except (ConnectionLost, ExchangeLost):
            # The peer is compared with again, or another one, in the next round.
            return

    async def accept(self, exchange: Exchange, frame: Compare) -> None:
        """Answer a daemon that compares."""
        digest, version = self._roster.digest, self._document.version
        await exchange.send(Compared(exchange.id, version, digest))
        if digest != frame.digest:
            await _send_records(exchange, self._roster.records())
        if version > frame.version:
            await self._send_document(exchange)
        await exchange.send(End(exchange.id))
        await self._take_rest(exchange)

    async def _take_answer(self, exchange: Exchange) -> None:
        frame = await exchange.receive()
        if not isinstance(frame, Compared):
            return
        records = await self._take_rest(exchange)
        if frame.digest != self._roster.digest:
            await _send_records(exchange, self._roster.find_newer(records))
        if frame.version < self._document.version:
            await self._send_document(exchange)
        await exchange.send(End(exchange.id))

    async def _take_rest(self, exchange: Exchange) -> list[Endpoint]:
        """Take records and a document up to the end; returns the records."""
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
        self._roster.merge(records)
        if head is not None and len(body) == head.size:
            self._adopt_document(bytes(body))
        return records

    def _adopt_document(self, data: bytes) -> None:
        try:
            text = zlib.decompress(data)
        except zlib.error as exc:
            log_event("document_unreadable", source="peer", reason=repr(exc))
            return
        self._document.adopt_text(text, "peer")

    async def _send_document(self, exchange: Exchange) -> None:
        data = zlib.compress(self._document.text)
        await exchange.send(
            DocumentHead(exchange.id, self._document.version, len(data))
        )
        await exchange.send_body(data)

    async def _tell_peer(self, peer: Endpoint, frame: Tell) -> None:
        try:
            conn = await self._pool.connect(peer)
        except ConnectionLost:
            # It compares with others once it can be reached again.
            return
        conn.write(frame)

    def _draw_peer(self) -> Endpoint | None:
        peers = self._roster.peers(self._own)
        near = [peer for peer in peers if peer.region == self._region]
        if near and self._rng.random() >= FAR_SHARE:
            peers = near
        return self._rng.choice(peers) if peers else None


async def _send_records(exchange: Exchange, records: list[Endpoint]) -> None:
    for part in cut_records(records):
        await exchange.send(Endpoints(exchange.id, part))

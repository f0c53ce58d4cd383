"""Spreads endpoint records and the configuration between daemons by gossip.

A changed record is sent to the other daemons at once. In addition, each daemon
periodically compares its state with that of one other daemon (anti-entropy). This
repairs what was missed because of a lost message, a partition or a restart during a
store outage.
"""

import zlib
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
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
    Endpoints,
    Tell,
)
from ..model import Endpoint, Evacuations
from ..supervision import run_logged
from ..telemetry import log_event
from ..tenancy.freshness import COMPARE_AGE_S, UNKNOWN_AGE_MS, Freshness
from .active_document import ActiveDocument
from .active_evacuations import ActiveEvacuations
from .digest import Digest, parse_digest
from .fleet_view import FleetView
from .records import pack_record, split_records, unpack_records
from .registry import EndpointRegistry
from .watchers import WatchRole

COMPARE_INTERVAL_S = 1.0
COMPARE_TIMEOUT_S = 2.0
COMPARE_HEDGE_DELAY_S = 0.3
MAX_PEERS_PER_ROUND = 3
"""A round asks another daemon if the one before has not responded after the delay. It
may be dead, and what is missed must be found before the next round is due."""

FRESHNESS_CHECK_INTERVAL_S = 0.1
"""Shortest interval between two checks of the evidence for the configuration, each of
which starts a comparison if the evidence is old."""

MAX_FRESHNESS_CHECK_INTERVAL_S = 0.5
"""Longest interval. Timers stand still while the process is suspended, and the evidence
gets old."""

MAX_FAST_COMPARISONS = 6
"""Number of comparisons in a row without newer evidence after which the interval is the
longest one. The first watcher's evidence may be as old as that of the others for a
moment."""

FIRST_PEER_TIMEOUT_S = 3.0
_FIRST_PEER_POLL_S = 0.1

REGIONAL_SPREAD_DELAY_S = 0.25
"""Delay until a watcher also compares with the daemons of other failure domains. By
then most of them have a new configuration from a nearer daemon, and none is sent."""

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


class Gossip:
    """Sends, compares and receives records and the configuration for this daemon.

    With ``freshness``, replies to comparisons are evidence for the configuration, and
    this daemon compares with watchers if the evidence gets old. With ``evacuations``,
    these are compared and passed on, too. ``on_store_era`` is called with the era of
    the store that another daemon has sent.
    """

    def __init__(
        self,
        pool: PeerPool,
        registry: EndpointRegistry,
        active_document: ActiveDocument,
        fleet: FleetView,
        rng: Random,
        freshness: Freshness | None = None,
        evacuations: ActiveEvacuations | None = None,
        on_store_era: Callable[[int], None] = lambda _era: None,
    ) -> None:
        self._freshness = freshness
        self._evacuations = evacuations
        self._on_store_era = on_store_era
        self._pool = pool
        self._registry = registry
        self._active_document = active_document
        self._fleet = fleet
        self._rng = rng
        self._agreed_total = ""
        self._tg: TaskGroup | None = None

    async def run(self) -> None:
        """Compare with a random daemon at intervals until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tg = tg
            try:
                await self._wait_for_first_peer()
                if self._freshness is not None:
                    tg.start_soon(self._renew_evidence, self._freshness)
                while True:
                    self._start(self._run_round)
                    interval_s = COMPARE_INTERVAL_S * self._rng.uniform(0.75, 1.25)
                    await anyio.sleep(interval_s)
            finally:
                # Nothing can be sent in a task group that has ended.
                self._tg = None

    async def _wait_for_first_peer(self) -> None:
        """Wait until another daemon is known, for a limited time.

        A daemon that restarts may have read an old configuration.
        """
        with anyio.move_on_after(FIRST_PEER_TIMEOUT_S):
            while self._fleet.size == 1:
                await anyio.sleep(_FIRST_PEER_POLL_S)

    def _start(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task in the background, without effect on the others if it fails."""
        if self._tg is not None:
            self._tg.start_soon(run_logged, "gossip", run)

    async def _renew_evidence(self, freshness: Freshness) -> None:
        """Compare with another daemon when the evidence for the configuration gets old.

        Watchers and random daemons take turns, and later there are several comparisons
        at a time: perhaps only a few daemons can reach the store.
        """
        comparisons = 0
        while True:
            await anyio.sleep(_get_check_interval_s(freshness, comparisons))
            if not freshness.needs_comparison():
                comparisons = 0
                continue
            with_watcher = comparisons % 2 == 0
            peer = self._fleet.choose_evidence_peer() if with_watcher else None
            if comparisons > MAX_FAST_COMPARISONS:
                self._compare_soon(self._fleet.choose_relay_targets())
            await self._run_round(peer)
            comparisons += 1

    async def _run_round(self, first_peer: Endpoint | None = None) -> None:
        """Compare with one daemon, and with others if it does not respond soon.

        They are chosen at random apart from ``first_peer``.
        """
        for attempt in range(MAX_PEERS_PER_ROUND):
            peer = first_peer if attempt == 0 else None
            peer = peer or self._fleet.choose_comparison_peer()
            if peer is None:
                return
            responded = anyio.Event()
            self._start(partial(self.compare_with, peer, responded.set))
            with anyio.move_on_after(COMPARE_HEDGE_DELAY_S):
                await responded.wait()
                return

    def broadcast(self, records: list[Endpoint]) -> None:
        """Send records to the other daemons in the background."""
        frame = Tell(
            CONNECTION_EXCHANGE_ID, tuple(pack_record(record) for record in records)
        )
        for peer in self._fleet.choose_record_targets():
            self._start(partial(self._send_to_peer, peer, frame))

    def spread_document(self) -> None:
        """Pass a configuration from the store on to other daemons in the background.

        Evacuations are passed on by the same comparisons.
        """
        self._compare_soon(self._fleet.choose_document_targets())
        self._spread_in_region()

    def spread_store_era(self, era: int, *, from_peer: bool) -> None:
        """Tell other daemons that the store has come back from a copy of its data.

        If this one has learned it ``from_peer``, it tells only a few at random.
        """
        frame = Tell(CONNECTION_EXCHANGE_ID, (), era)
        peers = (
            self._fleet.choose_relay_targets()
            if from_peer
            else self._fleet.choose_record_targets()
        )
        for peer in peers:
            self._start(partial(self._send_to_peer, peer, frame))

    def handle_tell(self, frame: Tell) -> None:
        """Merge the records of a received ``Tell`` frame, and note the store's era."""
        self._registry.merge(unpack_records(frame.records))
        if frame.store_era:
            self._on_store_era(frame.store_era)

    async def compare_with(
        self, peer: Endpoint, on_response: Callable[[], None] = lambda: None
    ) -> None:
        """Exchange differences with another daemon so that both have the same state.

        ``on_response`` is called if the daemon has responded completely.
        """
        responded = False
        try:
            with anyio.move_on_after(COMPARE_TIMEOUT_S):
                async with self._pool.open_exchange(peer) as exchange:
                    sent_s = self._get_send_time_s()
                    await exchange.send(self._make_compare(exchange))
                    reply = await self._receive_response(exchange)
                    self._record_evidence(sent_s, reply)
                    responded = True
                    on_response()
        except (ConnectionLost, ExchangeLost):
            # A later round compares with this peer or another one.
            pass
        self._fleet.record_contact(peer, responded=responded)

    async def serve_comparison(self, exchange: Exchange, frame: Compare) -> None:
        """Serve the exchange that another daemon opened with a ``Compare`` frame."""
        self._adopt_evacuations(frame.evacuations)
        own, peers = self._registry.digest, parse_digest(frame.digest)
        version = self._active_document.version
        equal = own.total == peers.total
        await exchange.send(
            Compared(
                exchange.id,
                version,
                own.format(with_buckets=not equal),
                current_age_ms=self._get_evidence_age_ms(),
                evacuations=self._get_evacuations(),
            )
        )
        if not equal:
            await _send_records(exchange, self._list_differing(peers))
        if version > frame.version:
            await self._send_document(exchange)
        await exchange.send(End(exchange.id))
        await self._receive_state(exchange)
        self._fleet.record_comparison()

    def _make_compare(self, exchange: Exchange) -> Compare:
        # The digests of the buckets are sent only while another daemon may differ.
        digest = self._registry.digest
        text = digest.format(with_buckets=digest.total != self._agreed_total)
        version = self._active_document.version
        return Compare(exchange.id, version, text, evacuations=self._get_evacuations())

    def _list_differing(self, peers: Digest) -> list[Endpoint]:
        """Return the records that a daemon with another digest may lack.

        If it sent only its total, it does not expect a difference. It gets the latest
        changes then, and sends the digests of its buckets next time.
        """
        if not peers.buckets:
            return self._registry.list_recent()
        buckets = self._registry.digest.find_differing_buckets(peers)
        return self._registry.list_buckets(buckets)

    def _get_evidence_age_ms(self) -> int:
        if self._freshness is None:
            return UNKNOWN_AGE_MS
        return self._freshness.get_age_ms()

    def _get_send_time_s(self) -> float:
        return 0.0 if self._freshness is None else self._freshness.get_time_s()

    def _record_evidence(self, sent_s: float, reply: Compared | None) -> None:
        if self._freshness is not None and reply is not None:
            self._freshness.record_reply(sent_s, reply.current_age_ms, reply.version)

    async def _receive_response(self, exchange: Exchange) -> Compared | None:
        """Receive the reply to a comparison and what follows it, and adopt it."""
        frame = await exchange.receive()
        if not isinstance(frame, Compared):
            return None
        self._adopt_evacuations(frame.evacuations)
        peers = parse_digest(frame.digest)
        records = await self._receive_state(exchange)
        own = self._registry.digest
        if own.total == peers.total:
            self._agreed_total = own.total
        else:
            buckets = own.find_differing_buckets(peers)
            await _send_records(exchange, self._registry.find_newer(records, buckets))
        if frame.version < self._active_document.version:
            await self._send_document(exchange)
        await exchange.send(End(exchange.id))
        return frame

    async def _receive_state(self, exchange: Exchange) -> list[Endpoint]:
        """Receive and merge records and a document up to the end of the exchange.

        Returns the records. A document that is too long ends the exchange.
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
                        log_event("document_unreadable", source="peer", reason="long")
                        break
                case _:
                    break
        self._registry.merge(records)
        if head is not None and len(body) == head.size:
            self._adopt_document(bytes(body))
        return records

    def _adopt_document(self, data: bytes) -> None:
        try:
            text = _decompress(data)
        except (zlib.error, ValueError) as exc:
            log_event("document_unreadable", source="peer", reason=repr(exc))
            return
        if self._active_document.adopt_text(text, "peer"):
            self._relay()

    def _get_evacuations(self) -> Evacuations | None:
        return None if self._evacuations is None else self._evacuations.current

    def _adopt_evacuations(self, value: Evacuations | None) -> None:
        if self._evacuations is None or value is None:
            return
        if self._evacuations.adopt(value, "peer"):
            self._relay()

    def _relay(self) -> None:
        """Pass on what another daemon has sent."""
        self._compare_soon(self._fleet.choose_relay_targets())
        if self._fleet.get_watch_role() is not WatchRole.NONE:
            self._spread_in_region()

    def _spread_in_region(self) -> None:
        """Reach every daemon of the region in the background.

        Relays to random daemons leave some out, which would wait for their own next
        comparison.
        """
        self._start(self._compare_in_region_later)

    async def _compare_in_region_later(self) -> None:
        await anyio.sleep(REGIONAL_SPREAD_DELAY_S)
        self._compare_soon(self._fleet.choose_regional_targets())

    def _compare_soon(self, peers: Iterable[Endpoint]) -> None:
        for peer in peers:
            self._start(partial(self.compare_with, peer))

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


def _get_check_interval_s(freshness: Freshness, comparisons: int) -> float:
    """Return the time in seconds until the evidence is checked again.

    ``comparisons`` is the number of comparisons in a row that have not renewed it.
    """
    due_s = COMPARE_AGE_S - freshness.get_age_s()
    if comparisons > MAX_FAST_COMPARISONS:
        due_s = MAX_FRESHNESS_CHECK_INTERVAL_S
    due_s = max(due_s, FRESHNESS_CHECK_INTERVAL_S)
    return min(due_s, MAX_FRESHNESS_CHECK_INTERVAL_S)


def _decompress(data: bytes) -> bytes:
    """Decompress a configuration; raise zlib.error, or ValueError if it is too long."""
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError(f"not a configuration of at most {MAX_DOCUMENT_BYTES} bytes")
    return text


async def _send_records(exchange: Exchange, records: list[Endpoint]) -> None:
    for part in split_records(records):
        await exchange.send(Endpoints(exchange.id, part))

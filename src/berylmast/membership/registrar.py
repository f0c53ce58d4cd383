"""A registrar: records of attached daemons, the document, and who must be told."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import Announce, Sync
from ..model import Endpoint, EndpointState
from ..platform import Platform, PlatformObject
from ..telemetry import log_event
from .damping import FlapDamper, comes_up
from .feeds import follow_store
from .lease_reader import MAX_GAP_S, LeaseReader
from .leases import Lease, LeaseTable
from .links import Dial
from .mesh import Mesh
from .records import RecordTable
from .session import Session
from .shard import ShardWriter, read_shard
from .slices import EMPTY_DOCUMENT, CutDocument, DocumentIntake

GONE_DELAY_S = 2.0
"""Time for a daemon that lost its exchange to announce itself elsewhere."""

ADOPT_S = 15.0
"""Time for the daemons of a registrar that was replaced to attach again."""

SWEEP_INTERVAL_S = 2.0
SILENCE_CHECK_S = 0.5
"""Interval of the search for silent daemons among those attached."""


class Registrar:
    """Serves attached daemons and other registrars while a shard's lease is held."""

    def __init__(
        self,
        platform: Platform,
        own: Lease,
        environment: str,
        dial: Dial,
        rng: Random,
        tg: TaskGroup,
    ) -> None:
        self.table = RecordTable()
        self.document: CutDocument = EMPTY_DOCUMENT
        self.sessions: dict[str, Session] = {}
        self.ended = False
        self._platform = platform
        self._own = own
        self._environment = environment
        self._rng = rng
        self._tg = tg
        self._lease_table = LeaseTable(anyio.current_time, MAX_GAP_S)
        self._intake = DocumentIntake(self._put_document)
        self._cut_off = False
        self._known_leases: dict[str, Lease] = {}
        self._damper = FlapDamper(anyio.current_time)
        self._shards: dict[str, list[Endpoint]] = {}
        self._writer = ShardWriter(platform, own.shard, self.table)
        self._mesh = Mesh(self, own.shard, dial, rng, tg)
        self._lease_reader = LeaseReader(
            platform, self._lease_table, own.shard, self._mesh, rng, self._see_leases
        )

    async def run(self) -> None:
        """Follow the platform and write the own shard until cancelled."""
        try:
            await self._run()
        finally:
            self.ended = True

    async def _run(self) -> None:
        adopted = await self._writer.load()
        self._merge(adopted)
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._writer.run)
            tg.start_soon(self._intake.run)
            tg.start_soon(self._sweep)
            tg.start_soon(self._end_silent)
            tg.start_soon(self._lease_reader.run)
            tg.start_soon(self._expire, adopted, ADOPT_S)
            await follow_store(
                self._platform,
                self._environment,
                self._rng,
                on_document=self.adopt_document,
                on_shard=self._take_shard,
            )

    @property
    def newest_version(self) -> int:
        """Return the highest document version known, also if it was refused."""
        return self._intake.newest

    def leases(self) -> Iterable[Lease]:
        """Return all registrars known, this one first."""
        others = self._lease_table.leases()
        others.pop(self._own.shard, None)
        return [replace(self._own, lapsed=self._cut_off), *others.values()]

    async def accept(self, exchange: Exchange, frame: Announce | Sync) -> None:
        """Serve one exchange of a daemon or another registrar until it ends."""
        try:
            if isinstance(frame, Sync):
                await self._mesh.serve(exchange, frame.shard)
            else:
                await self._serve_session(exchange, frame)
        except ExchangeLost:
            pass

    def take_announced(self, session: Session, records: Iterable[Endpoint]) -> None:
        """Take the record that an attached daemon announced of itself."""
        for record in records:
            if record.backend != session.daemon:
                continue
            session.record = record
            self._writer.own(record.backend)
            old = self.table.get(record.backend)
            self._damper.observe(record, old)
            delay_s = self._damper.delay_s(record.backend)
            if delay_s > 0 and comes_up(record, old):
                log_event("announcement delayed", backend=record.backend, s=delay_s)
                self._tg.start_soon(self._announce_later, session, record, delay_s)
            else:
                self._spread_own([record])

    def take_peer_records(self, records: Iterable[Endpoint]) -> list[Endpoint]:
        """Take records that another registrar sent.

        Returns those known here as gone with the same order: their daemons must
        announce themselves again, since no registrar can tell which is newer.
        """
        records = list(records)
        self._merge(records)
        return self.table.find_gone(records)

    def take_peer_lease(self, lease: Lease) -> None:
        """Note that another registrar saw this lease lapse.

        If this one cannot observe the platform, it is cut off while others are not:
        its daemons are told to find another registrar and to take the role over.
        """
        lapsed = lease.shard == self._own.shard and lease.lapsed
        if lapsed and not self._lease_table.observing and not self._cut_off:
            self._cut_off = True
            self._tell_sessions()

    def nominate(self, released: Lease) -> bool:
        """Let an attached daemon of the same failure domain take over the own role."""
        for session in self.sessions.values():
            same = session.failure_domain == released.failure_domain
            if same and session.daemon != released.daemon:
                session.nominate(released)
                return True
        return False

    def own_records(self) -> list[Endpoint]:
        """Return the records of the daemons attached here."""
        return self._writer.records()

    def adopt_document(self, text: str, version: int) -> None:
        """Put a document into force soon unless a newer one is known."""
        self._intake.offer(text, version)

    def _put_document(self, document: CutDocument) -> None:
        self.document = document
        log_event("document in force", version=document.version)
        for session in self.sessions.values():
            session.note_document()

    async def _serve_session(self, exchange: Exchange, frame: Announce) -> None:
        session = Session(self, exchange, frame)
        self.sessions[session.daemon] = session
        session.note_leases()
        try:
            await session.run()
        finally:
            if self.sessions.get(session.daemon) is session:
                del self.sessions[session.daemon]
                if session.record is not None and not self.ended:
                    self._tg.start_soon(self._expire, [session.record], GONE_DELAY_S)

    async def _expire(self, records: list[Endpoint], delay_s: float) -> None:
        """Mark those gone that have not announced themselves again after a delay."""
        await anyio.sleep(delay_s)
        for record in records:
            if record.backend not in self.sessions:
                self._spread_own(self.table.make_gone(record.backend, record.order))

    async def _announce_later(
        self, session: Session, record: Endpoint, delay_s: float
    ) -> None:
        await anyio.sleep(delay_s)
        attached = self.sessions.get(record.backend) is session
        if attached and session.record == record:
            self._spread_own([record])

    async def _end_silent(self) -> None:
        while True:
            await anyio.sleep(SILENCE_CHECK_S)
            now_s = anyio.current_time()
            for session in self.sessions.values():
                session.end_if_silent(now_s)

    async def _sweep(self) -> None:
        """Look for lapsed leases, and mark daemons gone that went with theirs."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self._tell_leases()
            for shard, records in self._shards.items():
                lapsed_s = self._lease_table.lapsed_s(shard)
                if lapsed_s < ADOPT_S or self._mesh.is_linked(shard):
                    continue
                for record in records:
                    self._merge(self.table.make_gone(record.backend, record.order))

    def _spread_own(self, records: Iterable[Endpoint]) -> None:
        """Adopt records of daemons attached here and tell everybody."""
        changed = self._merge(records)
        if changed:
            self._writer.note_change()
            self._mesh.send_records(changed)

    def _dispute(self, record: Endpoint) -> bool:
        """Let an attached daemon answer a record that has it gone."""
        session = self.sessions.get(record.backend)
        if session is None or record.state is not EndpointState.GONE:
            return False
        session.note_dispute(record)
        return True

    def _merge(self, records: Iterable[Endpoint]) -> list[Endpoint]:
        records = [record for record in records if not self._dispute(record)]
        known = [(record, self.table.get(record.backend)) for record in records]
        changed = self.table.merge(record for record, _ in known)
        olds = {record.backend: old for record, old in known}
        services: set[str] = set()
        for record in changed:
            old = olds[record.backend]
            # A backend server may have left another service for this one.
            services |= {record.service, (old or record).service}
            if record.backend not in self.sessions:
                self._damper.observe(record, old)
        if services:
            for session in self.sessions.values():
                session.note_services(services)
        return changed

    def _take_shard(self, item: PlatformObject) -> None:
        shard = item.metadata.name
        if shard != self._own.shard:
            self._shards[shard] = read_shard(item)
            self._merge(self._shards[shard])

    def _see_leases(self) -> None:
        self._cut_off = False
        self._tell_leases()

    def _tell_leases(self) -> None:
        leases = self._lease_table.leases()
        if leases != self._known_leases:
            self._known_leases = leases
            self._mesh.take_leases(leases)
            self._tell_sessions()

    def _tell_sessions(self) -> None:
        for session in self.sessions.values():
            session.note_leases()

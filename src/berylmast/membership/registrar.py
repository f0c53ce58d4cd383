"""A registrar: records of attached daemons, the document, and who must be told."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import Announce, Sync
from ..model import Endpoint, EndpointState
from ..operators import DocumentError
from ..platform import Platform, PlatformObject
from ..telemetry import log_event
from .damping import FlapDamper
from .feeds import follow_store
from .leases import Lease, LeaseTable
from .links import Dial
from .mesh import Mesh
from .records import RecordTable
from .session import Session
from .shard import ShardWriter, read_shard
from .slices import EMPTY_DOCUMENT, CutDocument, cut_document

GONE_DELAY_S = 2.0
"""Time for a daemon that lost its exchange to announce itself elsewhere."""

ADOPT_S = 15.0
"""Time for the daemons of a registrar that was replaced to attach again."""

SWEEP_INTERVAL_S = 2.0


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
        self._lease_table = LeaseTable(anyio.current_time)
        self._cut_off = False
        self._known_leases: dict[str, Lease] = {}
        self._damper = FlapDamper(anyio.current_time)
        self._shards: dict[str, list[Endpoint]] = {}
        self._writer = ShardWriter(platform, own.shard, self.table)
        self._mesh = Mesh(self, own.shard, dial, rng, tg)

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
            tg.start_soon(self._sweep)
            tg.start_soon(self._expire_adopted, adopted)
            await follow_store(
                self._platform,
                self._environment,
                self._rng,
                lease_table=self._lease_table,
                on_leases=self._see_leases,
                on_document=self.adopt_document,
                on_shard=self._take_shard,
            )

    def leases(self) -> Iterable[Lease]:
        """Return all registrars known, this one first."""
        others = [
            lease
            for lease in self._lease_table.leases().values()
            if lease.shard != self._own.shard
        ]
        return [replace(self._own, lapsed=self._cut_off), *others]

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
            if delay_s > 0 and _comes_up(record, old):
                log_event("announcement delayed", backend=record.backend, s=delay_s)
                self._tg.start_soon(self._announce_later, session, record, delay_s)
            else:
                self._spread_own([record])

    def take_peer_records(self, records: Iterable[Endpoint]) -> None:
        """Take records that another registrar sent."""
        self._merge(records)

    def take_peer_lease(self, lease: Lease) -> None:
        """Note that another registrar saw this lease lapse.

        If this one cannot observe the platform, it is cut off while others are not:
        its daemons are told to find another registrar and to take the role over.
        """
        lapsed = lease.shard == self._own.shard and lease.lapsed
        if lapsed and not self._lease_table.observing and not self._cut_off:
            self._cut_off = True
            self._tell_sessions()

    def own_records(self) -> list[Endpoint]:
        """Return the records of the daemons attached here."""
        return self._writer.records()

    def adopt_document(self, text: str, version: int) -> None:
        """Put a document into force unless a newer one is."""
        if version <= self.document.version:
            return
        try:
            self.document = cut_document(text, version)
        except DocumentError as exc:
            log_event("document refused", version=version, reason=str(exc))
            return
        log_event("document in force", version=version)
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
                    self._tg.start_soon(self._expire, session.record)

    async def _expire(self, record: Endpoint) -> None:
        await anyio.sleep(GONE_DELAY_S)
        session = self.sessions.get(record.backend)
        if session is None:
            self._spread_own(self.table.make_gone(record.backend, record.order))

    async def _announce_later(
        self, session: Session, record: Endpoint, delay_s: float
    ) -> None:
        await anyio.sleep(delay_s)
        attached = self.sessions.get(record.backend) is session
        if attached and session.record == record:
            self._spread_own([record])

    async def _expire_adopted(self, adopted: list[Endpoint]) -> None:
        """Mark those gone that did not come back after the last registrar ended."""
        await anyio.sleep(ADOPT_S)
        for record in adopted:
            if record.backend not in self.sessions:
                self._spread_own(self.table.make_gone(record.backend, record.order))

    async def _sweep(self) -> None:
        """Look for lapsed leases, and mark daemons gone that went with theirs."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self._tell_leases()
            for shard, records in self._shards.items():
                if self._lease_table.lapsed_s(shard) < ADOPT_S:
                    continue
                for record in records:
                    self._merge(self.table.make_gone(record.backend, record.order))

    def _spread_own(self, records: Iterable[Endpoint]) -> None:
        """Adopt records of daemons attached here and tell everybody."""
        changed = self._merge(records)
        if changed:
            self._writer.note_change()
            self._mesh.send_records(changed)

    def _merge(self, records: Iterable[Endpoint]) -> list[Endpoint]:
        known = [(record, self.table.get(record.backend)) for record in records]
        changed = self.table.merge(record for record, _ in known)
        olds = {record.backend: old for record, old in known}
        for record in changed:
            if record.backend not in self.sessions:
                self._damper.observe(record, olds[record.backend])
        self._tell(changed)
        return changed

    def _tell(self, changed: Iterable[Endpoint]) -> None:
        services = {record.service for record in changed}
        if services:
            for session in self.sessions.values():
                session.note_services(services)

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


def _comes_up(new: Endpoint, old: Endpoint | None) -> bool:
    return new.state is EndpointState.READY and (
        old is None
        or old.state is not EndpointState.READY
        or old.incarnation != new.incarnation
    )

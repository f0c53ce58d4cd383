"""Stores this daemon's endpoint record and finds the records of the others.

Few calls are made: the records of the fleet are listed when this daemon joins, and its
own record is written when the store must learn of a change. Everything else spreads
between the daemons by gossip.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from random import Random
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from ..model import Endpoint, EndpointState
from ..platform.objects import Conflict
from ..telemetry import log_event
from .peers import PeerAddress, get_address
from .records import supersedes
from .registry import EndpointRegistry
from .store import Store, StoredRecord
from .store_calls import Backoff, StoreStatus
from .store_restore import compute_jitter_s, find_lost_removals

INITIAL_SEARCH_INTERVAL_S = 1.5
"""Daemons that start together store their records within this time, as their backend
servers report at least this often."""

MAX_SEARCH_INTERVAL_S = 30.0

LIST_INTERVAL_PER_DAEMON_S = 10.0
MIN_LIST_INTERVAL_S = 60.0
"""All daemons list the records again from time to time, which joins groups of daemons
that do not know each other."""


class EraListener(Protocol):
    """Called with a new era of the store; ``from_peer`` if another daemon sent it."""

    def __call__(self, era: int, *, from_peer: bool) -> None: ...


class RecordSync:
    """Runs the tasks of this daemon that read and write endpoint records."""

    def __init__(
        self,
        store: Store,
        registry: EndpointRegistry,
        own_address: PeerAddress,
        store_status: StoreStatus,
        rng: Random,
    ) -> None:
        self._store = store
        self._registry = registry
        self._own_address = own_address
        self._store_status = store_status
        self._rng = rng
        self._own_record: Endpoint | None = None
        self._own_record_changed = anyio.Event()
        # What the store holds of the backend servers of this daemon.
        self._stored: dict[str, StoredRecord] = {}
        # Also holds records that cannot be decoded.
        self._revisions: dict[str, int] = {}
        self._replaced_records: list[Endpoint] = []
        self._own_record_stored = anyio.Event()
        self._peer_era = 0
        self._restore_wanted = False
        self._restoring = False
        self._tg: TaskGroup | None = None
        store.era.add_listener(self._handle_era)
        self._on_era: EraListener = lambda _era, *, from_peer: None

    def set_era_listener(self, listener: EraListener) -> None:
        """Call ``listener`` when this daemon sees that the era of the store rose."""
        self._on_era = listener

    def record_peer_era(self, era: int) -> None:
        """Read the store soon if another daemon has sent a later era than is known."""
        if era > max(self._store.era.current, self._peer_era):
            self._peer_era = era
            self._restore_soon()

    async def run(self) -> None:
        """Find the other daemons and keep the own record stored until cancelled."""
        await self._retry(self._list_records)
        await self._retry(self._confirm_own_records)
        if self._own_record is not None and not self._own_record_stored.is_set():
            # An earlier run failed while it stored the record.
            self._own_record_changed.set()
        try:
            async with anyio.create_task_group() as tg:
                self._tg = tg
                tg.start_soon(self._keep_own_record_stored)
                tg.start_soon(self._find_first_peer)
                tg.start_soon(self._list_at_intervals)
                if self._restore_wanted:
                    self._restore_soon()
        finally:
            # Nothing can be started in a task group that has ended.
            self._tg = None

    def set_own_record(self, record: Endpoint) -> None:
        """Set this daemon's record, to be stored in the background.

        If it names another backend server than the last one, the record of that one is
        deleted from the store.
        """
        if self._own_record is not None and self._own_record.backend != record.backend:
            self._replaced_records.append(self._own_record)
        self._own_record = record
        self._own_record_stored = anyio.Event()
        self._own_record_changed.set()

    async def wait_stored(self, timeout_s: float) -> bool:
        """Wait until this daemon's record, if any, is stored; False on timeout."""
        if self._own_record is None:
            return True
        with anyio.move_on_after(timeout_s):
            await self._own_record_stored.wait()
            return True
        return False

    async def _keep_own_record_stored(self) -> None:
        while True:
            await self._own_record_changed.wait()
            self._own_record_changed = anyio.Event()
            record = self._own_record
            assert record is not None
            await self._retry(partial(self._store_record, record))
            if record is self._own_record:
                self._own_record_stored.set()
            for old in self._replaced_records:
                await self._retry(partial(self._delete_record, old))
            self._replaced_records.clear()

    async def _find_first_peer(self) -> None:
        """List the records again at intervals while no other daemon is known.

        A daemon without a backend server has no record, so other daemons do not know
        it and send it nothing.
        """
        interval_s = INITIAL_SEARCH_INTERVAL_S
        while not self._knows_other_daemons():
            await anyio.sleep(interval_s * self._rng.uniform(0.75, 1.25))
            interval_s = min(2 * interval_s, MAX_SEARCH_INTERVAL_S)
            if not self._knows_other_daemons():
                await self._retry(self._list_records)

    async def _list_at_intervals(self) -> None:
        while True:
            interval_s = max(
                MIN_LIST_INTERVAL_S,
                LIST_INTERVAL_PER_DAEMON_S * len(self._registry.records()),
            )
            await anyio.sleep(interval_s * self._rng.uniform(0.5, 1.5))
            await self._retry(self._list_records)

    def _handle_era(self, era: int) -> None:
        """Forget what the store held before its era rose, and restore what it lost."""
        self._stored.clear()
        self._revisions.clear()
        self._on_era(era, from_peer=era <= self._peer_era)
        self._restore_soon()

    def _restore_soon(self) -> None:
        self._restore_wanted = True
        if self._tg is not None and not self._restoring:
            self._tg.start_soon(self._restore)

    async def _restore(self) -> None:
        """Store again what the store has lost.

        All daemons learn of it at about the same time, so each first waits for a random
        time.
        """
        self._restoring = True
        try:
            while self._restore_wanted:
                records = len(self._registry.records())
                await anyio.sleep(self._rng.uniform(0.0, compute_jitter_s(records)))
                await self._retry(self._restore_records)
        finally:
            self._restoring = False

    async def _restore_records(self) -> None:
        """Compare the store with what this daemon had written, and write what it lacks.

        The read must not be stale: a stale list may hold what the store has lost.
        """
        listed = await self._store.list_records()
        self._restore_wanted = False
        # A stale list may have put back what the store has lost.
        self._stored.clear()
        self._revisions.clear()
        own = [r for r in listed if get_address(r.endpoint) == self._own_address]
        for record in own:
            self._note_stored(record)
        lost_removals = find_lost_removals(own, self._own_record, self._registry.get)
        self._replaced_records.extend(lost_removals)
        self._registry.merge(record.endpoint for record in listed)
        if self._own_record is not None:
            self._own_record_stored = anyio.Event()
            self._own_record_changed.set()

    def _knows_other_daemons(self) -> bool:
        own_backend = None if self._own_record is None else self._own_record.backend
        return any(record.backend != own_backend for record in self._registry.records())

    async def _retry(self, call: Callable[[], Awaitable[None]]) -> None:
        await Backoff(self._store_status, self._rng).retry(call)

    async def _list_records(self) -> None:
        """Merge the stored records.

        A stale read is enough, because every change also spreads by gossip.
        """
        stored_records = await self._store.list_records(stale=True)
        for record in stored_records:
            known_revision = self._revisions.get(record.endpoint.backend, 0)
            is_own = get_address(record.endpoint) == self._own_address
            # A stale list may be older than what this daemon has written since.
            if is_own and record.revision > known_revision:
                self._note_stored(record)
        self._registry.merge(record.endpoint for record in stored_records)

    async def _confirm_own_records(self) -> None:
        """Read the records of this daemon's address again, those that are in service.

        The daemon has restarted, and a stale list may lack the departure of a server
        that it acknowledged before. No other daemon may have lived on to tell of it.
        """
        for record in self._registry.records():
            stored = self._stored.get(record.backend)
            if stored is None or record.state is EndpointState.GONE:
                continue
            await self._read_stored(record.backend)
            self._merge_stored(record.backend)

    def _merge_stored(self, backend: str) -> None:
        stored = self._stored.get(backend)
        if stored is not None:
            self._registry.merge([stored.endpoint])

    async def _store_record(self, record: Endpoint) -> None:
        """Store a record unless the store holds all of it that must last."""
        while True:
            stored = self._stored.get(record.backend)
            if stored is not None and (
                _is_covered(record, stored.endpoint)
                or not supersedes(record, stored.endpoint)
            ):
                self._registry.merge([stored.endpoint])
                return
            revision = self._revisions.get(record.backend, 0)
            try:
                new_revision = await self._store.put_record(record, revision)
            except Conflict:
                await self._read_stored(record.backend)
                continue
            self._note_stored(StoredRecord(record, new_revision))
            return

    async def _delete_record(self, record: Endpoint) -> None:
        """Delete the stored record of a backend server that this daemon replaced.

        A record of a later incarnation is kept.
        """
        if record.backend not in self._revisions:
            await self._read_stored(record.backend)
        stored = self._stored.pop(record.backend, None)
        revision = self._revisions.pop(record.backend, 0)
        if not revision or (
            stored is not None and stored.endpoint.incarnation > record.incarnation
        ):
            return
        try:
            await self._store.delete_record(record.backend, revision)
        except Conflict:
            log_event("record_kept", backend=record.backend, reason="it has changed")
        self._registry.merge([replace(record, state=EndpointState.GONE)])

    def _note_stored(self, record: StoredRecord) -> None:
        self._stored[record.endpoint.backend] = record
        self._revisions[record.endpoint.backend] = record.revision

    async def _read_stored(self, backend: str) -> None:
        """Read what the store holds of a backend server now."""
        self._stored.pop(backend, None)
        self._revisions.pop(backend, None)
        current = await self._store.read_record(backend)
        if current is None:
            return
        self._revisions[backend] = current.revision
        if current.endpoint is not None:
            self._note_stored(StoredRecord(current.endpoint, current.revision))


def _is_covered(record: Endpoint, stored: Endpoint) -> bool:
    """Return whether the store needs no write for a new record.

    The store has to hold which backend servers there are and where. A drain is not
    stored: the daemon beside the backend server refuses its requests, and after a
    restart it learns of the drain from the next report.
    """
    states = (record.state is EndpointState.GONE, stored.state is EndpointState.GONE)
    return states[0] == states[1] and record == replace(
        stored, seq=record.seq, state=record.state
    )

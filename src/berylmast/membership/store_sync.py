"""Synchronizes this daemon with the store and retries while the store is unavailable.

Few calls are made: the configuration is watched, the records of the fleet are listed
when this daemon joins, and its own record is written when it changes. Everything else
spreads between the daemons by gossip.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import anyio

from ..model import Endpoint, EndpointState
from ..platform.objects import Conflict, PlatformUnavailable, RevisionExpired
from ..telemetry import log_event
from .active_document import ActiveDocument
from .registry import EndpointRegistry
from .store import Store

WATCH_TIMEOUT_S = 30.0
WATCH_DELAY_S = 0.15
"""Delay after a configuration change before the next watch, so that several changes in
quick succession cost one call."""

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.5
"""Limits the delay until calls resume after a store outage to less than two seconds."""


INITIAL_SEARCH_INTERVAL_S = 3.0
MAX_SEARCH_INTERVAL_S = 30.0


class StoreStatus:
    """Tracks whether the store is reachable; logs each change.

    ``up`` is None before the first call.
    """

    def __init__(self) -> None:
        self.up: bool | None = None

    def update(self, up: bool, reason: str = "") -> None:
        """Record whether a call reached the store."""
        if up == self.up:
            return
        self.up = up
        log_event("store_regained" if up else "store_lost", reason=reason)


class StoreSync:
    """Runs the tasks of this daemon that call the store."""

    def __init__(
        self,
        store: Store,
        registry: EndpointRegistry,
        active_document: ActiveDocument,
        rng: Random,
    ) -> None:
        self.store_status = StoreStatus()
        self._store = store
        self._registry = registry
        self._active_document = active_document
        self._rng = rng
        self._own_record: Endpoint | None = None
        self._own_record_changed = anyio.Event()
        self._revisions: dict[str, int] = {}
        self._replaced_records: list[Endpoint] = []
        self._own_record_stored = anyio.Event()

    @property
    def calls(self) -> int:
        """Return the number of calls to the store so far."""
        return self._store.calls

    async def run(self) -> None:
        """Watch the configuration and keep the record stored until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watch_document)
            tg.start_soon(self._keep_own_record_stored)
            tg.start_soon(self._find_first_peer)

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
        """Wait until this daemon's record is stored; return False on timeout."""
        with anyio.move_on_after(timeout_s):
            await self._own_record_stored.wait()
            return True
        return False

    async def _watch_document(self) -> None:
        revision: int | None = None
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                if revision is None:
                    stored = await self._store.read_document()
                else:
                    stored = await self._store.wait_document(revision, WATCH_TIMEOUT_S)
            except RevisionExpired:
                revision = None
                continue
            except PlatformUnavailable as exc:
                backoff_s = await self._back_off(exc, backoff_s)
                continue
            self.store_status.update(True)
            backoff_s = INITIAL_BACKOFF_S
            revision = stored.revision
            if stored.spec is not None:
                self._active_document.adopt(stored.spec, "store")
                await anyio.sleep(WATCH_DELAY_S)

    async def _keep_own_record_stored(self) -> None:
        await self._retry_until_done(self._list_records)
        joined = False
        while True:
            await self._own_record_changed.wait()
            self._own_record_changed = anyio.Event()
            record = self._own_record
            assert record is not None
            await self._retry_until_done(lambda r=record: self._store_record(r))  # type: ignore[misc]
            if record is self._own_record:
                self._own_record_stored.set()
            for old in self._replaced_records:
                await self._retry_until_done(lambda r=old: self._delete_record(r))  # type: ignore[misc]
            self._replaced_records.clear()
            if not joined:
                joined = True
                # If two daemons join at the same time, the one that stores its record
                # last finds the other one here.
                await self._retry_until_done(self._list_records)

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
                await self._retry_until_done(self._list_records)

    def _knows_other_daemons(self) -> bool:
        own_backend = None if self._own_record is None else self._own_record.backend
        return any(record.backend != own_backend for record in self._registry.records())

    async def _retry_until_done(self, call: Callable[[], Awaitable[None]]) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                await call()
            except PlatformUnavailable as exc:
                backoff_s = await self._back_off(exc, backoff_s)
                continue
            self.store_status.update(True)
            return

    async def _back_off(self, exc: PlatformUnavailable, backoff_s: float) -> float:
        """Sleep after a failed call; return the backoff for the next failure."""
        self.store_status.update(False, str(exc))
        await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
        return min(2 * backoff_s, MAX_BACKOFF_S)

    async def _list_records(self) -> None:
        stored_records = await self._store.list_records()
        for record in stored_records:
            self._revisions[record.endpoint.backend] = record.revision
        self._registry.merge(record.endpoint for record in stored_records)

    async def _store_record(self, record: Endpoint) -> None:
        """Store a record unless the stored one is the same or newer."""
        while True:
            revision = self._revisions.get(record.backend, 0)
            try:
                new_revision = await self._store.put_record(record, revision)
            except Conflict:
                stored = await self._store.read_record(record.backend)
                self._revisions[record.backend] = stored.revision if stored else 0
                if stored is None or stored.endpoint.order < record.order:
                    continue
                self._registry.merge([stored.endpoint])
                return
            self._revisions[record.backend] = new_revision
            return

    async def _delete_record(self, record: Endpoint) -> None:
        """Delete the stored record of a backend server that this daemon replaced.

        A record of a later incarnation is kept.
        """
        stored = await self._store.read_record(record.backend)
        if stored is None or stored.endpoint.incarnation > record.incarnation:
            return
        try:
            await self._store.delete_record(record.backend, stored.revision)
        except Conflict:
            log_event("record_kept", backend=record.backend, reason="it has changed")
        self._registry.merge([replace(record, state=EndpointState.GONE)])

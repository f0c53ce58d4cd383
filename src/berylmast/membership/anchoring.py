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
from ..platform.objects import Conflict, PlatformUnavailable, VersionTooOld
from ..telemetry import log_event
from .held import HeldDocument
from .roster import Roster
from .store import Store

WATCH_S = 30.0
SETTLE_S = 0.15
"""Delay after a configuration change before the next watch, so that several changes in
quick succession cost one call."""

FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.5
"""Limits the delay until calls resume after a store outage to less than two seconds."""


FIRST_SEARCH_S = 3.0
MAX_SEARCH_S = 30.0


class StoreLink:
    """Tracks whether the store is reachable; logs each change.

    ``up`` is None before the first call.
    """

    def __init__(self) -> None:
        self.up: bool | None = None

    def note(self, up: bool, reason: str = "") -> None:
        """Record whether a call reached the store."""
        if up == self.up:
            return
        self.up = up
        log_event("store_regained" if up else "store_lost", reason=reason)


class Anchor:
    """Runs the tasks of this daemon that call the store."""

    def __init__(
        self,
        store: Store,
        roster: Roster,
        document: HeldDocument,
        rng: Random,
    ) -> None:
        self.link = StoreLink()
        self._store = store
        self._roster = roster
        self._document = document
        self._rng = rng
        self._own: Endpoint | None = None
        self._own_changed = anyio.Event()
        self._revisions: dict[str, int] = {}
        self._obsolete: list[Endpoint] = []
        self._stored = anyio.Event()

    @property
    def calls(self) -> int:
        """Return the number of calls to the store so far."""
        return self._store.calls

    async def run(self) -> None:
        """Watch the configuration and keep the record stored until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow_document)
            tg.start_soon(self._keep_record)
            tg.start_soon(self._find_first_peer)

    def set_own(self, record: Endpoint) -> None:
        """Set this daemon's record, to be stored in the background.

        If it names another backend server than the last one, the record of that one is
        deleted from the store.
        """
        if self._own is not None and self._own.backend != record.backend:
            self._obsolete.append(self._own)
        self._own = record
        self._stored = anyio.Event()
        self._own_changed.set()

    async def wait_stored(self, timeout_s: float) -> bool:
        """Wait until this daemon's record is stored; return False on timeout."""
        with anyio.move_on_after(timeout_s):
            await self._stored.wait()
            return True
        return False

    async def _follow_document(self) -> None:
        revision: int | None = None
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                if revision is None:
                    found = await self._store.read_document()
                else:
                    found = await self._store.wait_document(revision, WATCH_S)
            except VersionTooOld:
                revision = None
                continue
            except PlatformUnavailable as exc:
                backoff_s = await self._pause(exc, backoff_s)
                continue
            self.link.note(True)
            backoff_s = FIRST_BACKOFF_S
            revision = found.revision
            if found.spec is not None:
                self._document.adopt(found.spec, "store")
                await anyio.sleep(SETTLE_S)

    async def _keep_record(self) -> None:
        await self._until_done(self._list_records)
        joined = False
        while True:
            await self._own_changed.wait()
            self._own_changed = anyio.Event()
            record = self._own
            assert record is not None
            await self._until_done(lambda r=record: self._write(r))  # type: ignore[misc]
            if record is self._own:
                self._stored.set()
            for old in self._obsolete:
                await self._until_done(lambda r=old: self._remove(r))  # type: ignore[misc]
            self._obsolete.clear()
            if not joined:
                joined = True
                # If two daemons join at the same time, the one that stores its record
                # last finds the other one here.
                await self._until_done(self._list_records)

    async def _find_first_peer(self) -> None:
        """List the records again at intervals while no other daemon is known.

        A daemon without a backend server has no record, so other daemons do not know
        it and send it nothing.
        """
        pause_s = FIRST_SEARCH_S
        while not self._knows_others():
            await anyio.sleep(pause_s * self._rng.uniform(0.75, 1.25))
            pause_s = min(2 * pause_s, MAX_SEARCH_S)
            if not self._knows_others():
                await self._until_done(self._list_records)

    def _knows_others(self) -> bool:
        own = None if self._own is None else self._own.backend
        return any(record.backend != own for record in self._roster.records())

    async def _until_done(self, call: Callable[[], Awaitable[None]]) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                await call()
            except PlatformUnavailable as exc:
                backoff_s = await self._pause(exc, backoff_s)
                continue
            self.link.note(True)
            return

    async def _pause(self, exc: PlatformUnavailable, backoff_s: float) -> float:
        """Sleep after a failed call; return the backoff for the next failure."""
        self.link.note(False, str(exc))
        await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
        return min(2 * backoff_s, MAX_BACKOFF_S)

    async def _list_records(self) -> None:
        found = await self._store.list_records()
        for record in found:
            self._revisions[record.endpoint.backend] = record.revision
        self._roster.merge(record.endpoint for record in found)

    async def _write(self, record: Endpoint) -> None:
        """Store a record unless the stored one is the same or newer."""
        while True:
            revision = self._revisions.get(record.backend, 0)
            try:
                new = await self._store.put_record(record, revision)
            except Conflict:
                stored = await self._store.read_record(record.backend)
                self._revisions[record.backend] = stored.revision if stored else 0
                if stored is None or stored.endpoint.order < record.order:
                    continue
                self._roster.merge([stored.endpoint])
                return
            self._revisions[record.backend] = new
            return

    async def _remove(self, record: Endpoint) -> None:
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
        self._roster.merge([replace(record, state=EndpointState.GONE)])

"""Keeps this daemon in step with the store, and without it when it is away.

The store is asked for little: the configuration is watched, the records of the fleet
are read when this daemon joins, and its own record is written when it changes. All
else is passed on between the daemons.
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
"""After a change further ones are waited for: many changes cost one call."""

FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.5
"""Keeps the way back after an outage of the store below two seconds."""


FIRST_SEARCH_S = 3.0
MAX_SEARCH_S = 30.0


class StoreLink:
    """Whether the store answers this daemon; logs each change."""

    def __init__(self) -> None:
        self.up: bool | None = None

    def note(self, up: bool, reason: str = "") -> None:
        """Record the outcome of a call."""
        if up == self.up:
            return
        self.up = up
        log_event("store_regained" if up else "store_lost", reason=reason)


class Anchor:
    """This daemon's tasks that call the store."""

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
        """Follow the configuration and keep the own record stored until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._follow_document)
            tg.start_soon(self._keep_record)
            tg.start_soon(self._find_first_peer)

    def set_own(self, record: Endpoint) -> None:
        """Store this record instead of the last one."""
        if self._own is not None and self._own.backend != record.backend:
            self._obsolete.append(self._own)
        self._own = record
        self._stored = anyio.Event()
        self._own_changed.set()

    async def wait_stored(self, timeout_s: float) -> bool:
        """Wait until the own record is stored; False if it takes too long."""
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
                # One that joined at the same time is seen by the later of the two.
                await self._until_done(self._list_records)

    async def _find_first_peer(self) -> None:
        """List again while no other daemon is known.

        One without a backend server has no record, so that nobody tells it anything.
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
        """Wait after a failed call; returns the length of the next wait."""
        self.link.note(False, str(exc))
        await anyio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
        return min(2 * backoff_s, MAX_BACKOFF_S)

    async def _list_records(self) -> None:
        found = await self._store.list_records()
        for record in found:
            self._revisions[record.endpoint.backend] = record.revision
        self._roster.merge(record.endpoint for record in found)

    async def _write(self, record: Endpoint) -> None:
        """Store a record unless a newer one of the same backend server is stored."""
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
        """Delete the record of a backend server that has ended."""
        stored = await self._store.read_record(record.backend)
        if stored is None or stored.endpoint.incarnation > record.incarnation:
            return
        try:
            await self._store.delete_record(record.backend, stored.revision)
        except Conflict:
            log_event("record_kept", backend=record.backend, reason="it was changed")
        self._roster.merge([replace(record, state=EndpointState.GONE)])

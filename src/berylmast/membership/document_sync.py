"""Keeps the configuration of this daemon up to date from the store.

Watchers (see ``watchers``) wait for changes and pass them on. Every other daemon looks
at the store now and then, so that a change is noticed even if no watcher can reach the
store.
"""

from collections.abc import Callable
from dataclasses import replace
from random import Random

import anyio

from ..platform.objects import PlatformUnavailable, RevisionExpired
from ..telemetry import log_event
from .active_document import ActiveDocument
from .fleet_view import FleetView
from .store import Store, StoredDocument
from .store_calls import Backoff, StoreStatus
from .watchers import WatchRole

WATCH_TIMEOUTS_S = {WatchRole.FIRST: 3.5, WatchRole.BACKUP: 15.0}
"""How long a watch waits for a change. A watch whose connection has died silently hears
nothing for this long. For the first watcher, this leaves time to hear of and pass on a
change that is made three seconds later and must be in force after two more."""

WATCH_DELAY_S = 0.15
"""Delay after a configuration change before the next watch, so that several changes in
quick succession cost one call."""

FLEET_SEARCH_TIME_S = 3.0
"""Time after which a daemon that knows no other one starts to watch. When a whole fleet
starts, nobody knows who the watchers are until the first records are stored."""

_FLEET_SEARCH_POLL_S = 0.1

ROLE_CHECK_INTERVAL_S = 1.0
"""Interval at which a daemon checks whether it has become a watcher."""

ISOLATION_CHECK_INTERVAL_S = 0.25

LOOK_INTERVAL_PER_DAEMON_S = 1.0
"""The interval between two looks of a daemon grows with the fleet, so that the fleet
as a whole looks about once per second."""

MIN_LOOK_INTERVAL_S = 3.0
MAX_LOOK_INTERVAL_S = 120.0


class DocumentSync:
    """Reads and watches the configuration.

    ``spread`` is called after a newer configuration was read from the store.
    """

    def __init__(
        self,
        store: Store,
        active_document: ActiveDocument,
        store_status: StoreStatus,
        rng: Random,
        fleet: FleetView,
        spread: Callable[[], None],
    ) -> None:
        self._store = store
        self._active_document = active_document
        self._store_status = store_status
        self._rng = rng
        self._fleet = fleet
        self._spread = spread
        self._revision: int | None = None
        self._era = 0

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        await self._read_first()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._watch)
            tg.start_soon(self._look)

    async def _read_first(self) -> None:
        """Read the configuration, or return once another daemon has sent it.

        A stale read is enough: the watch continues from its revision, and other daemons
        hold what is newer.
        """
        backoff = self._make_backoff()
        while self._active_document.current is None:
            try:
                self._adopt(await self._read_stale())
            except PlatformUnavailable as exc:
                await backoff.wait(exc)
                continue
            backoff.reset()
            return

    async def _read_stale(self) -> StoredDocument:
        """Read the configuration; what is read may be seconds old.

        In a store that names eras the revision may be of an earlier one.
        """
        stored = await self._store.read_document(stale=True)
        return replace(stored, revision=None) if stored.era else stored

    async def _wait_for_fleet(self) -> None:
        with anyio.move_on_after(FLEET_SEARCH_TIME_S):
            while self._fleet.size == 1:
                await anyio.sleep(_FLEET_SEARCH_POLL_S)

    async def _watch(self) -> None:
        await self._wait_for_fleet()
        backoff = self._make_backoff()
        last_role = WatchRole.NONE
        while True:
            role = self._fleet.get_watch_role()
            if role is not last_role:
                isolated = self._fleet.is_isolated
                log_event("watch_role", role=role.value, isolated=isolated)
                last_role = role
            if role is WatchRole.NONE:
                await self._wait_for_role_check()
                continue
            try:
                changed = await self._wait_for_change(WATCH_TIMEOUTS_S[role])
            except PlatformUnavailable as exc:
                await backoff.wait(exc)
                continue
            backoff.reset()
            if changed:
                await anyio.sleep(WATCH_DELAY_S)

    async def _wait_for_role_check(self) -> None:
        with anyio.move_on_after(ROLE_CHECK_INTERVAL_S):
            while not self._fleet.is_isolated:
                await anyio.sleep(ISOLATION_CHECK_INTERVAL_S)

    async def _wait_for_change(self, timeout_s: float) -> bool:
        """Wait for one change; return whether there was one."""
        if self._revision is None or self._era < self._store.era.current:
            return self._adopt(await self._store.read_document())
        era = self._era
        try:
            stored = await self._store.wait_document(self._revision, timeout_s)
        except RevisionExpired:
            self._revision = None
            return False
        except PlatformUnavailable:
            if era:
                # The store may come back from a copy. A read shows its era at once.
                self._revision = None
            raise
        changed = self._adopt(stored)
        if stored.era != era:
            # A watch from a revision of another era of the store may miss changes.
            self._revision = None
        return changed

    async def _look(self) -> None:
        backoff = self._make_backoff()
        while True:
            await anyio.sleep(self._get_look_interval_s())
            if self._fleet.get_watch_role() is not WatchRole.NONE:
                continue
            try:
                self._adopt(await self._read_stale())
            except PlatformUnavailable as exc:
                await backoff.wait(exc)
                continue
            backoff.reset()

    def _get_look_interval_s(self) -> float:
        interval_s = MIN_LOOK_INTERVAL_S
        if self._active_document.current is not None:
            interval_s = max(interval_s, self._fleet.size * LOOK_INTERVAL_PER_DAEMON_S)
        return min(interval_s, MAX_LOOK_INTERVAL_S) * self._rng.uniform(0.5, 1.5)

    def _adopt(self, stored: StoredDocument) -> bool:
        """Activate what was read; return whether the store sent a configuration."""
        if stored.era < self._era:
            # A late response. Its revision belongs to another history of the store.
            return False
        if stored.era > self._era:
            self._era = stored.era
            self._revision = None
        if stored.revision is not None:
            self._revision = max(stored.revision, self._revision or 0)
        if stored.spec is None:
            return False
        if self._active_document.adopt(stored.spec, "store"):
            self._spread()
        return True

    def _make_backoff(self) -> Backoff:
        return Backoff(self._store_status, self._rng)

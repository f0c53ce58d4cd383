"""Keeps the configuration of this daemon up to date from the store.

Watchers (see ``watchers``) wait for changes and pass them on. Every other daemon looks
at the store now and then, so that a change is noticed even if no watcher can reach the
store.
"""

from collections.abc import Callable
from random import Random

import anyio

from ..platform.objects import PlatformUnavailable, RevisionExpired
from ..telemetry import log_event
from .active_document import ActiveDocument
from .fleet_view import FleetView
from .store import Store, StoredDocument
from .store_calls import Backoff, StoreStatus
from .watch_loop import compute_look_interval_s, run_looks, run_watch
from .watchers import WatchRole

WATCH_TIMEOUTS_S = {WatchRole.FIRST: 3.5, WatchRole.BACKUP: 15.0}
"""How long a watch waits for a change. A watch whose connection has died silently hears
nothing for this long. For the first watcher, this leaves time to hear of and pass on a
change that is made three seconds later and must be in force after two more."""


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

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        await self._read_first()
        async with anyio.create_task_group() as tg:
            backoffs = [self._make_backoff() for _ in range(2)]
            tg.start_soon(
                run_watch, self._fleet, backoffs[0], self._watch, self._log_role
            )
            tg.start_soon(
                run_looks,
                self._fleet,
                backoffs[1],
                self._look,
                self._get_look_interval_s,
            )

    async def _read_first(self) -> None:
        """Read the configuration, or return once another daemon has sent it.

        A stale read is enough: the watch continues from its revision, and other daemons
        hold what is newer.
        """
        backoff = self._make_backoff()
        while self._active_document.current is None:
            try:
                self._adopt(await self._store.read_document(stale=True))
            except PlatformUnavailable as exc:
                await backoff.wait(exc)
                continue
            backoff.reset()
            return

    async def _watch(self, role: WatchRole) -> bool:
        return await self._wait_for_change(WATCH_TIMEOUTS_S[role])

    def _log_role(self, role: WatchRole) -> None:
        isolated = self._fleet.is_isolated
        log_event("watch_role", role=role.value, isolated=isolated)

    async def _wait_for_change(self, timeout_s: float) -> bool:
        """Wait for one change; return whether there was one."""
        if self._revision is None:
            stored = await self._store.read_document()
        else:
            try:
                stored = await self._store.wait_document(self._revision, timeout_s)
            except RevisionExpired:
                self._revision = None
                return False
        return self._adopt(stored)

    async def _look(self) -> None:
        self._adopt(await self._store.read_document(stale=True))

    def _get_look_interval_s(self) -> float:
        known = self._active_document.current is not None
        return compute_look_interval_s(self._fleet.size if known else 0, self._rng)

    def _adopt(self, stored: StoredDocument) -> bool:
        """Activate what was read; return whether the store sent a configuration."""
        if stored.revision is not None:
            self._revision = max(stored.revision, self._revision or 0)
        if stored.spec is None:
            return False
        if self._active_document.adopt(stored.spec, "store"):
            self._spread()
        return True

    def _make_backoff(self) -> Backoff:
        return Backoff(self._store_status, self._rng)

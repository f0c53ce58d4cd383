"""Keeps the configuration of this daemon up to date from the store.

Watchers (see ``watchers``) wait for changes and pass them on. Every other daemon polls
the store at long intervals, so that a change is noticed even if no watcher can reach
the store.
"""

import math
from collections.abc import Callable
from dataclasses import replace
from random import Random

import anyio

from ..platform.objects import PlatformUnavailable, RevisionExpired
from ..telemetry import log_event
from ..tenancy.freshness import Freshness
from .active_document import ActiveDocument
from .fleet_view import FleetView
from .store import Store, StoredDocument
from .store_calls import Backoff, StoreStatus
from .watch_loop import compute_poll_interval_s, run_polls, run_watch
from .watchers import WatchRole

WATCH_TIMEOUTS_S = {WatchRole.FIRST: 3.5, WatchRole.BACKUP: 15.0}
"""How long a watch waits for a change. A watch whose connection has died silently hears
nothing for this long. For the first watcher, this leaves time to hear of and pass on a
change that is made three seconds later and must be in force after two more."""

FRESHNESS_WATCH_TIMEOUT_S = 1.0
"""The same for the first watcher if the freshness of the configuration is tracked. The
end of a watch without a change is evidence that the configuration is current."""

FRESHNESS_CHECK_INTERVAL_S = 0.2
"""Interval at which the evidence for the configuration is checked. It is short because
timers stand still while the process is suspended, and the evidence gets old."""

FRESHNESS_READ_JITTER = 0.05
"""Longest random delay of a read for evidence, as a part of the bound. Daemons whose
watcher is lost would otherwise all read at once."""

FRESHNESS_READ_TIMEOUT_S = 0.4
"""Timeout of the first read for evidence, so that its repetition on a new connection
succeeds before requests are refused. It doubles with each failure up to
``MAX_FRESHNESS_READ_TIMEOUT_S``, since the store may be slow."""

MAX_FRESHNESS_READ_TIMEOUT_S = 1.6

FREQUENT_READ_BOUNDS = 2.0
"""Time for which a daemon that had to read the store itself reads it as often as a
watcher, in units of the bound. The watchers probably can't reach the store then."""


class DocumentSync:
    """Reads and watches the configuration.

    ``spread`` is called after a newer configuration was read from the store. With
    ``freshness``, answers of the store are evidence that the configuration is current,
    and the store is read if the evidence gets old.
    """

    def __init__(
        self,
        store: Store,
        active_document: ActiveDocument,
        store_status: StoreStatus,
        rng: Random,
        fleet: FleetView,
        spread: Callable[[], None],
        freshness: Freshness | None = None,
    ) -> None:
        self._freshness = freshness
        self._store = store
        self._active_document = active_document
        self._store_status = store_status
        self._rng = rng
        self._fleet = fleet
        self._spread = spread
        self._revision: int | None = None
        self._era = 0
        self._frequent_reads_until_s = -math.inf

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        await self._read_first()
        async with anyio.create_task_group() as tg:
            backoffs = [self._make_backoff() for _ in range(2)]
            tg.start_soon(
                run_watch, self._fleet, backoffs[0], self._watch, self._log_role
            )
            tg.start_soon(
                run_polls,
                self._fleet,
                backoffs[1],
                self._poll,
                self._get_poll_interval_s,
            )
            if self._freshness is not None:
                tg.start_soon(self._renew_evidence, self._freshness)

    async def _read_first(self) -> None:
        """Read the configuration, or return once another daemon has sent it.

        A stale read is enough: the watch continues from its revision, and other daemons
        hold what is newer. It is no evidence that the configuration is current.
        """
        stale = self._freshness is None
        backoff = self._make_backoff()
        while self._active_document.current is None:
            try:
                sent_s = self._get_time_s()
                stored = await self._store.read_document(stale=stale)
                self._adopt(stored)
                if not stale:
                    self._record_answer(sent_s, stored)
            except PlatformUnavailable as exc:
                await backoff.wait(exc)
                continue
            backoff.reset()
            return

    async def _watch(self, role: WatchRole) -> bool:
        return await self._wait_for_change(self._get_watch_timeout_s(role))

    def _log_role(self, role: WatchRole) -> None:
        isolated = self._fleet.is_isolated
        log_event("watch_role", role=role.value, isolated=isolated)

    async def _wait_for_change(self, timeout_s: float) -> bool:
        """Wait for one change; return whether there was one."""
        sent_s = self._get_time_s()
        if self._revision is None or self._era < self._store.era.current:
            stored = await self._store.read_document()
            changed = self._adopt(stored)
            self._record_answer(sent_s, stored)
            return changed
        era = self._era
        try:
            stored = await self._store.wait_document(self._revision, timeout_s)
        except RevisionExpired:
            self._revision = None
            return False
        except PlatformUnavailable:
            if era:
                # The store may have come back from a copy of its data. A read shows its
                # era at once, a watch only at its end.
                self._revision = None
            raise
        changed = self._adopt(stored)
        if stored.era != era:
            # A watch from a revision of another era of the store may miss changes.
            self._revision = None
            return changed
        held_s = timeout_s if stored.expired else 0.0
        self._record_answer(sent_s, stored, held_s)
        return changed

    async def _renew_evidence(self, freshness: Freshness) -> None:
        """Read the store whenever the evidence for the configuration gets old."""
        backoff = self._make_backoff()
        timeout_s = FRESHNESS_READ_TIMEOUT_S
        while True:
            await anyio.sleep(FRESHNESS_CHECK_INTERVAL_S)
            if not self._needs_read(freshness):
                continue
            jitter_s = FRESHNESS_READ_JITTER * freshness.within_s
            await anyio.sleep(self._rng.uniform(0.0, jitter_s))
            if not self._needs_read(freshness):
                continue
            try:
                await self._read_evidence(timeout_s)
            except PlatformUnavailable as exc:
                timeout_s = min(2 * timeout_s, MAX_FRESHNESS_READ_TIMEOUT_S)
                await backoff.wait(exc)
                continue
            backoff.reset()
            timeout_s = FRESHNESS_READ_TIMEOUT_S
            frequent_reads_s = FREQUENT_READ_BOUNDS * freshness.within_s
            self._frequent_reads_until_s = anyio.current_time() + frequent_reads_s

    def _needs_read(self, freshness: Freshness) -> bool:
        # The lower threshold first: to find the role is slow in a large fleet.
        if not freshness.needs_read(is_watcher=True):
            return False
        reads_often = anyio.current_time() < self._frequent_reads_until_s
        is_watcher = reads_often or self._fleet.get_watch_role() is not WatchRole.NONE
        return freshness.needs_read(is_watcher=is_watcher)

    async def _read_evidence(self, timeout_s: float) -> None:
        sent_s = self._get_time_s()
        stored = await self._store.read_document(timeout_s=timeout_s)
        self._adopt(stored)
        self._record_answer(sent_s, stored)

    def _get_watch_timeout_s(self, role: WatchRole) -> float:
        if self._freshness is not None and role is WatchRole.FIRST:
            return FRESHNESS_WATCH_TIMEOUT_S
        return WATCH_TIMEOUTS_S[role]

    def _get_time_s(self) -> float:
        return 0.0 if self._freshness is None else self._freshness.get_time_s()

    def _record_answer(
        self, sent_s: float, stored: StoredDocument, held_s: float = 0.0
    ) -> None:
        if self._freshness is not None:
            self._freshness.record_answer(sent_s, stored.era, held_s)

    async def _poll(self) -> None:
        stored = await self._store.read_document(stale=True)
        if self._freshness is not None:
            # The revision of a stale item may be of an earlier era.
            stored = replace(stored, revision=None)
        self._adopt(stored)

    def _get_poll_interval_s(self) -> float:
        known = self._active_document.current is not None
        return compute_poll_interval_s(self._fleet.size if known else 0, self._rng)

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

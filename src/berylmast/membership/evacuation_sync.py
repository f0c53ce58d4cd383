"""Keeps the evacuations of this daemon up to date from the store.

Fault: an operator evacuates a failure domain while watches are silent, daemons restart
or the store answers only some of them. The watchers of the configuration also watch the
evacuations and pass them on. Only reads that are not stale are acted on, because the
store may state its present revision with stale items. A stale read only shows whether
such a read is needed.
"""

from collections.abc import Callable
from random import Random

import anyio

from ..model import Evacuations
from ..platform.objects import PlatformUnavailable, RevisionExpired
from ..telemetry import log_event
from .active_evacuations import ActiveEvacuations
from .fleet_view import FleetView
from .store import Store
from .store_calls import Backoff, StoreStatus
from .watch_loop import compute_poll_interval_s, run_polls, run_watch
from .watchers import WatchRole

SPREAD_TIME_S = 1.0
"""Part of the bound, in seconds, that is left after a silent watch. The store's client
ends it half a second late; the rest is for reading the change and passing it on."""

MIN_WATCH_S = 1.0

BACKUP_WATCH_S = 30.0
"""How long the watches of the backup watchers wait. Each watch costs a call, and the
store allows no longer ones."""

PEER_WAIT_S = 0.5
"""Mean time for which a daemon that starts waits for the evacuations from another one,
before it reads them from the store."""

INITIAL_LOAD_LIMIT_S = 3.0
"""Time after its start from which a daemon is ready without knowing the evacuations."""

_POLL_S = 0.05


def get_watch_time_s(role: WatchRole, within_s: float) -> float:
    """Return how long a watch waits for a change, in seconds.

    A watch whose connection died silently hears nothing for this long, and ``within_s``
    seconds after a change it must be known to all daemons.
    """
    if role is WatchRole.FIRST:
        return max(MIN_WATCH_S, within_s - SPREAD_TIME_S)
    return max(BACKUP_WATCH_S, within_s)


class EvacuationSync:
    """Reads and watches the evacuations.

    ``spread`` is called after a change was read from the store. ``settled`` is set once
    evacuations are known, or after INITIAL_LOAD_LIMIT_S without any source.
    """

    def __init__(
        self,
        store: Store,
        active: ActiveEvacuations,
        store_status: StoreStatus,
        rng: Random,
        fleet: FleetView,
        spread: Callable[[], None],
        within_s: float,
    ) -> None:
        self.settled = False
        self._store = store
        self._active = active
        self._store_status = store_status
        self._rng = rng
        self._fleet = fleet
        self._spread = spread
        self._within_s = within_s
        self._must_read = False

    async def run(self) -> None:
        """Keep the evacuations up to date until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._load_initial)
            tg.start_soon(run_watch, self._fleet, self._make_backoff(), self._watch)
            tg.start_soon(
                run_polls,
                self._fleet,
                self._make_backoff(),
                self._poll,
                lambda: compute_poll_interval_s(self._fleet.size, self._rng),
            )

    async def _load_initial(self) -> None:
        with anyio.move_on_after(INITIAL_LOAD_LIMIT_S):
            await self._wait_for_peer()
            await self._read_first()
        if self._active.current is None:
            log_event("evacuations_unknown", waited_s=INITIAL_LOAD_LIMIT_S)
        self.settled = True

    async def _wait_for_peer(self) -> None:
        with anyio.move_on_after(PEER_WAIT_S * self._rng.uniform(0.5, 1.5)):
            while self._active.current is None:
                await anyio.sleep(_POLL_S)

    async def _read_first(self) -> None:
        """Read the evacuations, or return once another daemon has sent them."""
        backoff = self._make_backoff()
        while self._active.current is None:
            try:
                await self._read()
            except PlatformUnavailable as exc:
                await backoff.wait(exc)
                continue
            backoff.reset()

    async def _watch(self, role: WatchRole) -> bool:
        """Wait for one change; return whether there was one."""
        known = self._active.current
        if known is None or self._must_read:
            return await self._read()
        try:
            wait_s = get_watch_time_s(role, self._within_s)
            return self._adopt(await self._store.wait_evacuations(known, wait_s))
        except RevisionExpired:
            self._must_read = True
            return False

    async def _poll(self) -> None:
        """Read the evacuations if a stale read differs from what is known."""
        seen = await self._store.read_evacuations(stale=True)
        known = self._active.current
        if (
            known is None
            or seen.era > known.era
            or seen.failure_domains != known.failure_domains
        ):
            await self._read()

    async def _read(self) -> bool:
        """Read the evacuations; return whether that changes anything.

        Raises PlatformUnavailable if the store answers from an older era.
        """
        value = await self._store.read_evacuations()
        if self._active.is_older(value):
            raise PlatformUnavailable(
                f"evacuations of era {value.era}, revision {value.revision} are older "
                "than those in force"
            )
        self._must_read = False
        return self._adopt(value)

    def _adopt(self, value: Evacuations) -> bool:
        changed = self._active.adopt(value, "store")
        if changed:
            self._spread()
        return changed

    def _make_backoff(self) -> Backoff:
        return Backoff(self._store_status, self._rng)

"""Guards against a removed key that a daemon still accepts, or a valid one it refuses.

Each test removes a key, as version 2 of the configuration, while something is wrong
with one or all daemons. A daemon accepts the key while it holds version 1 and relies on
its evidence. The bounds are computed from the settings.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import pytest

from berylmast_dev.objects import ObjectTable

from ...daemons.frames import Compared, Frame
from ...operators.revisions import DOCUMENT_KIND
from ...platform.objects import Changes, Listing, PlatformUnavailable
from ...platform.records import ENDPOINT_KIND
from ...platform.tests.fake_store import FakeStore
from ..document_sync import FRESHNESS_READ_JITTER
from ..store import StoredDocument
from .fleet import ENVIRONMENT, Daemon, Fleet, make_text, run_fleet
from .started_fleets import start_domains

pytestmark = pytest.mark.anyio

WITHIN_S = 5.0
OWED_S = 0.6 * WITHIN_S
"""Time without a way to the store for which requests with a key are still owed."""

IN_TOUCH_AGE_S = 0.3 * WITHIN_S
"""Highest age of the evidence in touch; a daemon that is then cut off accepts requests
with a key for as long as they are owed."""

RECOVERY_S = 1.5
POLL_S = 0.02
NAME = "n1-2"
"""The daemon that something is wrong with; it is not a watcher."""


class EraStore(FakeStore):
    """A store that can come back from a copy of its data, with faults for one daemon.

    ``linearizable_down`` makes all calls but stale reads fail.
    """

    era = 1
    linearizable_down = False

    async def list(
        self, kind: str, *, stale: bool = False, timeout_s: float | None = None
    ) -> Listing:
        listing = await super().list(kind, stale=stale, timeout_s=timeout_s)
        if self.linearizable_down and not stale:
            raise PlatformUnavailable("injected fault: stale reads only")
        return replace(listing, era=self.era)

    async def wait_changes(self, kind: str, revision: int, wait_s: float) -> Changes:
        if self.linearizable_down:
            await anyio.sleep(0.01)
            raise PlatformUnavailable("injected fault: stale reads only")
        changes = await super().wait_changes(kind, revision, wait_s)
        return replace(changes, era=self.era)


@asynccontextmanager
async def run_strict_fleet() -> AsyncIterator[Fleet]:
    """Provide eight daemons in two failure domains, all in touch."""
    async with run_fleet() as fleet:
        fleet.within_s = WITHIN_S
        fleet.make_store = lambda table, _name: EraStore(table)
        await start_domains(fleet, 4)
        yield fleet


def accepts(daemon: Daemon) -> bool:
    """Return whether a daemon accepts requests with a key that version 1 holds."""
    assert daemon.freshness is not None
    return daemon.document.version == 1 and daemon.freshness.is_current()


def is_current(daemon: Daemon) -> bool:
    assert daemon.freshness is not None
    return daemon.freshness.is_current()


async def hold_while(check: Callable[[], bool], duration_s: float) -> None:
    """Fail unless a condition holds all the time."""
    end_s = anyio.current_time() + duration_s
    while anyio.current_time() < end_s:
        assert check(), f"{end_s - anyio.current_time():.2f} s before the end"
        await anyio.sleep(POLL_S)


async def check_revocation(fleet: Fleet, *, duration_s: float = 12.0) -> None:
    """Remove the key now, and fail if it is accepted after the bound."""
    fleet.apply(2, orders=9)
    await anyio.sleep(WITHIN_S)
    await hold_while(
        lambda: not any(accepts(d) for d in fleet.daemons.values()), duration_s
    )


def cut_off(fleet: Fleet, name: str, *, silent: bool, store: bool) -> None:
    """Cut a daemon off from all others, and from the store with ``store``."""
    fleet.cut = {frozenset({name, other}) for other in fleet.daemons}
    if not silent:
        fleet.cut_links(name)
    if store:
        fleet.daemons[name].platform.down = True
        if silent:
            fleet.daemons[name].platform.silence_open_watches()


def reconnect(fleet: Fleet, name: str) -> None:
    fleet.cut = set()
    fleet.cut_links(name)
    fleet.daemons[name].platform.down = False


def get_stores(fleet: Fleet) -> list[EraStore]:
    stores = [daemon.platform for daemon in fleet.daemons.values()]
    return [store for store in stores if isinstance(store, EraStore)]


def restore_store(fleet: Fleet, version: int) -> None:
    """Bring the store back from a copy that holds this version and all records."""
    records = fleet.table.list_objects(ENDPOINT_KIND)
    fleet.table = ObjectTable()
    for record in records:
        name = record["metadata"]["name"]
        fleet.table.put(ENDPOINT_KIND, name, record["spec"], None)
    fleet.apply(version, orders=6)
    for store in get_stores(fleet):
        store.table = fleet.table
        store.era = 2


async def test_daemons_in_touch_have_evidence_all_the_time() -> None:
    """With older evidence, a daemon that is cut off refuses what it still owes."""
    async with run_strict_fleet() as fleet:

        def is_fresh(daemon: Daemon) -> bool:
            assert daemon.freshness is not None
            return daemon.freshness.get_age_s() <= IN_TOUCH_AGE_S

        await hold_while(lambda: all(map(is_fresh, fleet.daemons.values())), 30.0)


async def test_removed_key_is_refused_by_daemons_in_touch() -> None:
    async with run_strict_fleet() as fleet:
        await check_revocation(fleet)
        assert all(is_current(daemon) for daemon in fleet.daemons.values())


@pytest.mark.parametrize("silent", [True, False])
@pytest.mark.parametrize("cut_before_s", [0.0, 0.5, 1.5, 2.5])
async def test_daemon_that_is_cut_off_refuses_in_time_and_not_too_early(
    silent: bool, cut_before_s: float
) -> None:
    """It can't hear of the removal, whether its connections are reset or silent."""
    async with run_strict_fleet() as fleet:
        cut_off(fleet, NAME, silent=silent, store=True)
        await hold_while(lambda: accepts(fleet.daemons[NAME]), cut_before_s)
        async with anyio.create_task_group() as tg:
            tg.start_soon(
                hold_while,
                lambda: accepts(fleet.daemons[NAME]),
                OWED_S - cut_before_s,
            )
            await check_revocation(fleet)
        reconnect(fleet, NAME)
        await fleet.wait_until(
            lambda: fleet.daemons[NAME].document.version == 2, 4 * RECOVERY_S
        )


async def test_daemon_accepts_keys_again_once_it_is_back_in_touch() -> None:
    async with run_strict_fleet() as fleet:
        daemon = fleet.daemons[NAME]
        cut_off(fleet, NAME, silent=False, store=True)
        await fleet.wait_until(lambda: not is_current(daemon), WITHIN_S)
        await anyio.sleep(20.0)
        reconnect(fleet, NAME)
        # Calls to the store are repeated within 1.5 s, comparisons every second.
        await fleet.wait_until(lambda: is_current(daemon), 2 * RECOVERY_S)


@pytest.mark.parametrize("silent", [True, False])
async def test_daemon_with_a_way_to_the_store_alone_serves_on(silent: bool) -> None:
    """No other daemon answers it."""
    async with run_strict_fleet() as fleet:
        cut_off(fleet, NAME, silent=silent, store=False)
        await hold_while(lambda: is_current(fleet.daemons[NAME]), 15.0)
        await check_revocation(fleet)


@pytest.mark.parametrize(
    "reachable", [{"n1-0"}, {"n2-1"}, {"n1-3"}], ids=["first", "watcher", "other"]
)
async def test_store_that_answers_one_daemon_serves_all(reachable: set[str]) -> None:
    """The others must learn from it that their configuration is current."""
    async with run_strict_fleet() as fleet:
        for name, daemon in fleet.daemons.items():
            daemon.platform.down = name not in reachable
        await anyio.sleep(20.0)
        await hold_while(
            lambda: all(is_current(d) for d in fleet.daemons.values()), 20.0
        )
        await check_revocation(fleet)


async def test_keys_are_refused_while_the_store_answers_nobody() -> None:
    """Other daemons' replies must not keep each other's evidence alive."""
    async with run_strict_fleet() as fleet:
        fleet.set_store_down(True)
        for store in get_stores(fleet):
            store.silence_open_watches()
        await hold_while(
            lambda: all(is_current(d) for d in fleet.daemons.values()), OWED_S
        )
        await anyio.sleep(WITHIN_S - OWED_S)
        await hold_while(
            lambda: not any(is_current(d) for d in fleet.daemons.values()), 20.0
        )
        fleet.set_store_down(False)
        await fleet.wait_until(
            lambda: all(is_current(d) for d in fleet.daemons.values()), 2 * RECOVERY_S
        )


async def test_stale_reads_are_no_evidence() -> None:
    """They succeed while the store answers nothing else, and may be seconds old."""
    async with run_strict_fleet() as fleet:
        for store in get_stores(fleet):
            store.stale_listings[DOCUMENT_KIND] = replace(
                await FakeStore.list(store, DOCUMENT_KIND), era=1
            )
            store.linearizable_down = True
        fleet.apply(2, orders=9)
        await anyio.sleep(WITHIN_S)
        await hold_while(
            lambda: not any(accepts(d) for d in fleet.daemons.values()), 20.0
        )


@pytest.mark.parametrize("store_answers", ["nothing", "stale reads"])
async def test_daemon_that_restarts_cut_off_accepts_no_key(store_answers: str) -> None:
    """It has no evidence for what it reads or keeps from before."""
    async with run_strict_fleet() as fleet:
        listing = await fleet.daemons[NAME].platform.list(DOCUMENT_KIND)
        fleet.stop(NAME)
        fleet.cut = {frozenset({NAME, other}) for other in fleet.daemons}
        fleet.apply(2, orders=9)
        await anyio.sleep(WITHIN_S)
        daemon = fleet.start(NAME)
        store = daemon.platform
        assert isinstance(store, EraStore)
        store.stale_listings[DOCUMENT_KIND] = listing
        store.down = store_answers == "nothing"
        store.linearizable_down = True
        await hold_while(lambda: not accepts(daemon), 20.0)


async def test_daemon_that_restarts_in_touch_accepts_keys_soon() -> None:
    async with run_strict_fleet() as fleet:
        fleet.stop(NAME)
        await anyio.sleep(2.0)
        daemon = fleet.start(NAME)
        await fleet.wait_until(lambda: accepts(daemon), 1.0)


@pytest.mark.parametrize("suspended_s", [2.0, 4.0, 10.0, 3600.0])
async def test_daemon_that_was_suspended_accepts_no_removed_key(
    suspended_s: float,
) -> None:
    """Its timers and its steady clock stood still, and its evidence seemed recent.

    The answers that arrive first were sent before the suspension.
    """
    async with run_strict_fleet() as fleet:
        daemon = fleet.daemons[NAME]
        cut_off(fleet, NAME, silent=True, store=True)
        fleet.apply(2, orders=9)
        # The test's clock doesn't go on while the daemon's boot clock does.
        daemon.boot_offset_s += suspended_s
        await anyio.sleep(max(0.0, WITHIN_S - suspended_s))
        await hold_while(lambda: not accepts(daemon), 3.0)
        reconnect(fleet, NAME)
        await hold_while(lambda: not accepts(daemon), 3.0)
        await fleet.wait_until(lambda: is_current(daemon), 2 * RECOVERY_S)


async def test_daemon_in_touch_accepts_keys_soon_after_a_suspension() -> None:
    async with run_strict_fleet() as fleet:
        daemon = fleet.daemons[NAME]
        daemon.boot_offset_s += 60.0
        assert not is_current(daemon)
        await fleet.wait_until(lambda: is_current(daemon), 1.0)


@pytest.mark.parametrize(
    ("restarts", "peers"),
    [(False, False), (False, True), (True, True)],
    ids=["held-alone", "held-with-peers", "restarted-with-peers"],
)
async def test_store_back_from_a_copy_without_the_removal(
    restarts: bool, peers: bool
) -> None:
    """The store answered, linearizably, with the configuration before the removal.

    A daemon that starts while it reaches no other one can't know of the removal.
    """
    async with run_strict_fleet() as fleet:
        cut_off(fleet, NAME, silent=False, store=True)
        fleet.apply(2, orders=9)
        await anyio.sleep(WITHIN_S)
        restore_store(fleet, 1)
        if restarts:
            fleet.stop(NAME)
            fleet.start(NAME)
        daemon = fleet.daemons[NAME]
        store = daemon.platform
        assert isinstance(store, EraStore)
        store.era = 2
        if peers:
            reconnect(fleet, NAME)
        else:
            store.down = False
        await hold_while(lambda: not accepts(daemon), 2 * WITHIN_S)
        fleet.apply(2, orders=9)
        await fleet.wait_until(lambda: daemon.document.version == 2, WITHIN_S)
        assert not accepts(daemon)


async def test_watch_from_a_revision_of_another_era_is_no_evidence() -> None:
    """The new history had reached the same revision, so nothing seemed to change."""
    async with run_strict_fleet() as fleet:
        names = list(fleet.daemons)
        fleet.cut = {frozenset({a, b}) for a in names for b in names}
        await anyio.sleep(3.0)
        revision = fleet.table.revision
        restore_store(fleet, 1)
        spec = {"version": 2, "text": make_text(orders=9)}
        fleet.table.put(DOCUMENT_KIND, ENVIRONMENT, spec, None)
        while fleet.table.revision < revision:
            fleet.table.put("other", "x", {"n": fleet.table.revision}, None)
        await anyio.sleep(WITHIN_S)
        await hold_while(
            lambda: not any(accepts(d) for d in fleet.daemons.values()), 10.0
        )
        assert fleet.versions() == {2}


async def test_first_watcher_whose_connection_is_silent_is_replaced() -> None:
    """Its watch hung while all others relied on it."""
    async with run_strict_fleet() as fleet:
        first = fleet.daemons["n1-0"]
        first.platform.silence_open_watches()
        await hold_while(
            lambda: all(is_current(d) for d in fleet.daemons.values()), 10.0
        )


async def test_frozen_first_watcher_holds_back_no_evidence() -> None:
    """The others ask it until they notice that it doesn't respond."""
    async with run_strict_fleet() as fleet:
        cut_off(fleet, "n1-0", silent=True, store=True)
        others = [d for name, d in fleet.daemons.items() if name != "n1-0"]
        await hold_while(lambda: all(map(is_current, others)), 20.0)


async def test_store_calls_of_a_strict_fleet_are_few() -> None:
    """Guards against a fleet whose daemons all read the store instead of comparing."""
    async with run_strict_fleet() as fleet:
        before = sum(len(d.list_full_price_calls()) for d in fleet.daemons.values())
        await anyio.sleep(30.0)
        after = sum(len(d.list_full_price_calls()) for d in fleet.daemons.values())
        # One watch a second, and those of the other three watchers.
        assert after - before <= 30 / (1.0 - FRESHNESS_READ_JITTER) + 3 * 30 / 15.0


async def test_reply_that_was_on_its_way_during_a_suspension_counts_as_old() -> None:
    """It was counted from its arrival, as if the other daemon had just sent it."""
    async with run_strict_fleet() as fleet:
        daemon = fleet.daemons[NAME]
        daemon.platform.down = True
        daemon.platform.silence_open_watches()

        def suspend(_source: str, target: str, frame: Frame) -> None:
            if target == NAME and isinstance(frame, Compared):
                daemon.boot_offset_s += 2 * WITHIN_S

        fleet.on_frame = suspend
        await anyio.sleep(2.0)
        await hold_while(lambda: not is_current(daemon), 5.0)


async def test_silent_read_is_repeated_before_keys_are_refused() -> None:
    """The first one waited on a dead connection until requests were refused."""
    async with run_strict_fleet() as fleet:
        fleet.set_store_down(True)
        for store in get_stores(fleet):
            store.silence_open_watches()
        daemon = fleet.daemons[NAME]
        daemon.platform.call_log.clear()
        await fleet.wait_until(lambda: not is_current(daemon), WITHIN_S)
        assert daemon.platform.call_log.count(("list", DOCUMENT_KIND)) >= 2


@pytest.mark.parametrize(
    ("answers", "revision"),
    [
        ([StoredDocument(100, None, 1), StoredDocument(5, None, 2)], 5),
        ([StoredDocument(5, None, 2), StoredDocument(100, None, 1)], 5),
        ([StoredDocument(5, None, 2), StoredDocument(3, None, 2)], 5),
    ],
    ids=["new-era", "late-answer", "same-era"],
)
async def test_watch_continues_from_a_revision_of_the_present_era(
    answers: list[StoredDocument], revision: int
) -> None:
    """A higher revision of an earlier era hides the changes of the present one."""
    async with run_strict_fleet() as fleet:
        document_sync = fleet.daemons[NAME].document_sync
        for answer in answers:
            document_sync._adopt(answer)
        assert document_sync._revision == revision


async def test_stale_read_sets_no_revision_to_watch_from() -> None:
    """A stale item may be of an earlier era than the answer that brings it."""
    async with run_strict_fleet() as fleet:
        daemon = fleet.daemons[NAME]
        daemon.document_sync._revision = None
        daemon.platform.call_log.clear()
        await anyio.sleep(30.0)
        assert ("stale list", DOCUMENT_KIND) in daemon.platform.call_log
        assert ("list", DOCUMENT_KIND) not in daemon.platform.call_log
        assert daemon.document_sync._revision is None

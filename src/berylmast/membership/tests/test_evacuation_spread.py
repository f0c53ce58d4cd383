"""Guards against daemons that miss an evacuation or its removal.

The causes are silent watches, restarts, a store that is away, answers some daemons only
or came back from a copy, and daemons that were cut off.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from ...daemons.frames import Compare, Compared, Frame
from ...platform.evacuations import EVACUATION_KIND
from ..evacuation_sync import BACKUP_WATCH_S, INITIAL_LOAD_LIMIT_S, SPREAD_TIME_S
from .fleet import Daemon, Fleet, run_fleet
from .started_fleets import start_domains

pytestmark = pytest.mark.anyio

WITHIN_S = 5.0
IN_TOUCH_LIMIT_S = 2.0
"""Time in which daemons follow a change while nothing is disturbed."""

NONE = frozenset[str]()
Z1, Z2 = frozenset({"z1"}), frozenset({"z2"})


@asynccontextmanager
async def run_evacuating_fleet(daemons_per_domain: int = 4) -> AsyncIterator[Fleet]:
    async with run_fleet() as fleet:
        fleet.evacuate_within_s = WITHIN_S
        await start_domains(fleet, daemons_per_domain)
        yield fleet


async def wait_evacuated(
    fleet: Fleet, expected: frozenset[str], limit_s: float = IN_TOUCH_LIMIT_S
) -> float:
    return await fleet.wait_until(lambda: fleet.list_evacuated() == {expected}, limit_s)


def count_calls(daemon: Daemon) -> int:
    return sum(kind == EVACUATION_KIND for _, kind in daemon.list_full_price_calls())


async def wait_settled(fleet: Fleet, *names: str) -> None:
    """Wait until daemons are ready; each must know what is evacuated by then."""
    waiting = list(names or fleet.daemons)
    with anyio.fail_after(INITIAL_LOAD_LIMIT_S + 1):
        while waiting:
            for name in list(waiting):
                daemon = fleet.daemons[name]
                assert daemon.evacuation_sync is not None
                assert daemon.evacuations is not None
                if daemon.evacuation_sync.settled:
                    assert daemon.evacuations.failure_domains == Z1
                    waiting.remove(name)
            await anyio.sleep(0.01)


async def test_change_wakes_the_watchers_only_and_reaches_all() -> None:
    async with run_evacuating_fleet(8) as fleet:
        before = {name: count_calls(d) for name, d in fleet.daemons.items()}
        fleet.evacuate("z1")
        await wait_evacuated(fleet, Z1)
        await anyio.sleep(0.5)
        calling = {n for n, d in fleet.daemons.items() if count_calls(d) > before[n]}
        assert calling <= {"n1-0", "n1-1", "n2-0", "n2-1"}
        fleet.evacuate("z2")
        fleet.end_evacuation("z1")
        await wait_evacuated(fleet, Z2)
        fleet.end_evacuation("z2")
        await wait_evacuated(fleet, NONE)


async def test_calls_at_rest_are_few() -> None:
    """Each watcher waits once per watch; the looks of the others are stale reads."""
    async with run_evacuating_fleet(8) as fleet:
        for daemon in fleet.daemons.values():
            daemon.platform.call_log.clear()
        await anyio.sleep(60)
        calls = [c for d in fleet.daemons.values() for c in d.platform.call_log]
        verbs = [verb for verb, kind in calls if kind == EVACUATION_KIND]
        assert verbs.count("list") == 0
        expected = 60 / (WITHIN_S - SPREAD_TIME_S) + 3 * 60 / BACKUP_WATCH_S
        assert verbs.count("watch") <= expected + 4
        assert verbs.count("stale list") <= 80


@pytest.mark.parametrize("phase_s", [0.0, 0.7, 1.4, 2.1, 2.8, 3.5, 3.9])
async def test_change_is_noticed_although_all_open_watches_went_silent(
    phase_s: float,
) -> None:
    async with run_evacuating_fleet() as fleet:
        await anyio.sleep(phase_s)
        for daemon in fleet.daemons.values():
            daemon.platform.silence_open_watches()
        fleet.evacuate("z1")
        await wait_evacuated(fleet, Z1, WITHIN_S)


@pytest.mark.parametrize("names", [("n1-0",), ("n1-3",), ("n1-0", "n2-0", "n2-3")])
@pytest.mark.parametrize("store_down", [False, True])
async def test_daemon_that_restarts_knows_evacuations_before_it_is_ready(
    names: tuple[str, ...], store_down: bool
) -> None:
    async with run_evacuating_fleet() as fleet:
        fleet.evacuate("z1")
        await wait_evacuated(fleet, Z1)
        if store_down:
            fleet.set_store_down(True)
        known = fleet.daemons["n1-1"].registry.records()
        for name in names:
            fleet.stop(name)
            await anyio.sleep(0.1)
            fleet.start(name, name[:2])
            if store_down:
                fleet.daemons[name].platform.down = True
                # Other daemons tell a daemon that starts of theirs.
                fleet.daemons[name].registry.merge(known)
        await wait_settled(fleet, *names)


async def test_fleet_that_restarts_knows_evacuations_before_it_is_ready() -> None:
    async with run_evacuating_fleet() as fleet:
        fleet.evacuate("z1")
        names = list(fleet.daemons)
        for name in names:
            fleet.stop(name)
        for name in names:
            fleet.start(name, name[:2])
        await wait_settled(fleet)


async def test_daemon_is_ready_although_nobody_tells_evacuations() -> None:
    """Otherwise an outage of the store would keep a fleet that starts unready."""
    async with run_fleet() as fleet:
        fleet.evacuate_within_s = WITHIN_S
        daemon = fleet.start("a0")
        daemon.platform.down = True
        sync = daemon.evacuation_sync
        assert sync is not None
        waited_s = await fleet.wait_until(
            lambda: sync.settled, INITIAL_LOAD_LIMIT_S + 0.2
        )
        assert waited_s > INITIAL_LOAD_LIMIT_S - 0.2


async def test_removal_during_an_outage_holds_once_the_store_is_back() -> None:
    async with run_evacuating_fleet() as fleet:
        fleet.evacuate("z1")
        await wait_evacuated(fleet, Z1)
        fleet.set_store_down(True)
        fleet.end_evacuation("z1")
        await anyio.sleep(20)
        assert fleet.list_evacuated() == {Z1}
        fleet.set_store_down(False)
        await wait_evacuated(fleet, NONE, 4.0)


@pytest.mark.parametrize("evacuated_first", [True, False])
async def test_daemon_that_was_cut_off_does_not_revert_the_others(
    evacuated_first: bool,
) -> None:
    async with run_evacuating_fleet() as fleet:
        if evacuated_first:
            fleet.evacuate("z1")
            await wait_evacuated(fleet, Z1)
        cut = fleet.daemons["n1-3"]
        fleet.cut = {frozenset({"n1-3", name}) for name in fleet.daemons}
        cut.platform.down = True
        if evacuated_first:
            fleet.end_evacuation("z1")
        else:
            fleet.evacuate("z1")
        expected = NONE if evacuated_first else Z1
        await anyio.sleep(10)
        assert len(fleet.list_evacuated()) == 2
        fleet.cut = set()
        await wait_evacuated(fleet, expected, 4.0)
        await anyio.sleep(5)
        assert fleet.list_evacuated() == {expected}


@pytest.mark.parametrize("silent", [False, True])
async def test_daemon_that_is_cut_off_from_all_others_follows_the_store(
    silent: bool,
) -> None:
    async with run_evacuating_fleet() as fleet:
        fleet.cut = {frozenset({"n1-3", name}) for name in fleet.daemons}
        if not silent:
            fleet.cut_links("n1-3")
        fleet.evacuate("z1")
        await wait_evacuated(fleet, Z1, WITHIN_S)


async def test_change_is_noticed_if_no_watcher_reaches_the_store() -> None:
    """The other daemons look now and then, with stale reads."""
    async with run_evacuating_fleet(8) as fleet:
        for name in ("n1-0", "n1-1", "n2-0", "n2-1"):
            fleet.daemons[name].platform.down = True
        fleet.evacuate("z1")
        await wait_evacuated(fleet, Z1, 9.0)


async def test_stale_read_does_not_bring_back_a_removed_evacuation() -> None:
    """The store may name its present revision beside stale items."""
    async with run_evacuating_fleet(8) as fleet:
        fleet.evacuate("z1")
        await wait_evacuated(fleet, Z1)
        for daemon in fleet.daemons.values():
            stale = await daemon.platform.list(EVACUATION_KIND)
            daemon.platform.stale_listings[EVACUATION_KIND] = stale
        fleet.end_evacuation("z1")
        await wait_evacuated(fleet, NONE)
        for _ in range(40):
            await anyio.sleep(0.5)
            assert fleet.list_evacuated() == {NONE}


@pytest.mark.parametrize("lost", ["evacuation", "removal"])
@pytest.mark.parametrize("writes_after", [0, 50], ids=["behind", "ahead"])
async def test_store_that_comes_back_from_a_copy_is_believed(
    lost: str, writes_after: int
) -> None:
    """The copy's revisions are lower at first and then pass those of the old era."""
    async with run_evacuating_fleet() as fleet:
        before, after = (NONE, Z1) if lost == "evacuation" else (Z1, NONE)
        if before:
            fleet.evacuate("z1")
            await wait_evacuated(fleet, Z1)
        copy = fleet.table.copy()
        if lost == "evacuation":
            fleet.evacuate("z1")
        else:
            fleet.end_evacuation("z1")
        await wait_evacuated(fleet, after)
        fleet.set_store_down(True)
        fleet.table.restore(copy)
        for number in range(writes_after):
            fleet.table.put("other", str(number), {}, None)
        fleet.set_store_down(False)
        await wait_evacuated(fleet, before, WITHIN_S)
        # Operators write again what is missing.
        if lost == "evacuation":
            fleet.evacuate("z1")
        else:
            fleet.end_evacuation("z1")
        await wait_evacuated(fleet, after)


async def test_evacuations_are_read_again_after_their_history_is_compacted() -> None:
    async with run_evacuating_fleet() as fleet:
        fleet.evacuate("z1")
        fleet.table.compact()
        await wait_evacuated(fleet, Z1)


@pytest.mark.parametrize("enabled", [False, True])
async def test_nothing_is_sent_or_called_without_the_section(enabled: bool) -> None:
    async with run_fleet() as fleet:
        fleet.evacuate_within_s = WITHIN_S if enabled else None
        carrying = 0

        def count(_source: str, _target: str, frame: Frame) -> None:
            nonlocal carrying
            if isinstance(frame, Compare | Compared):
                carrying += frame.evacuations is not None

        fleet.on_frame = count
        fleet.evacuate("z1")
        await start_domains(fleet, 2)
        assert bool(carrying) == enabled
        calls = sum(count_calls(d) for d in fleet.daemons.values())
        assert bool(calls) == enabled

"""Guards against a configuration that is not in force in time, reverts, or is invalid.

The causes are watches that are silent, watchers and peers that are dead or cut off,
stale reads and invalid documents.
"""

import tracemalloc
import zlib

import anyio
import pytest

from ...daemons.pool import CONNECT_TIMEOUT_S
from ...operators.revisions import DOCUMENT_KIND
from ...platform.objects import Listing
from ...platform.tests.fake_store import FakeStore
from .. import gossip
from ..document_sync import WATCH_TIMEOUTS_S
from ..watch_loop import FLEET_SEARCH_TIME_S
from ..watchers import WatchRole
from .fleet import ENVIRONMENT, make_text, run_fleet
from .started_fleets import (
    JOIN_LIMIT_S,
    SPREAD_LIMIT_S,
    all_know,
    start_all,
    start_domains,
)

pytestmark = pytest.mark.anyio

APPLY_LIMIT_S = 3.0
"""Time in which a change of the configuration must be in force on all daemons."""

STORE_UNSTABLE_S = 6.0
"""Additional time while the store refuses some of the daemons."""

REPLACEMENT_TIME_S = 10.0
"""Time in which the other daemons notice that a watcher is dead."""

IN_FORCE_LIMIT_S = 2.0
"""Time in which a daemon that is in touch must follow a change. A daemon is in touch
again ``IN_TOUCH_AGAIN_S`` after the last disturbance of its connections."""

IN_TOUCH_AGAIN_S = 3.0


async def test_change_of_the_configuration_wakes_the_watchers_only() -> None:
    """A change cost one call for each daemon of the fleet."""
    async with run_fleet() as fleet:
        await start_domains(fleet, 8)
        before = {n: len(d.list_full_price_calls()) for n, d in fleet.daemons.items()}
        fleet.apply(2, orders=9)
        await fleet.wait_until(lambda: fleet.versions() == {2}, APPLY_LIMIT_S)
        await anyio.sleep(1)
        calling = {
            name
            for name, daemon in fleet.daemons.items()
            if len(daemon.list_full_price_calls()) > before[name]
        }
        assert calling == {"n1-0", "n1-1", "n2-0", "n2-1"}


@pytest.mark.parametrize(
    ("fault", "limit_s"),
    [
        ("dead", APPLY_LIMIT_S),
        ("partitioned", APPLY_LIMIT_S),
        ("no-store", APPLY_LIMIT_S + STORE_UNSTABLE_S),
    ],
)
@pytest.mark.parametrize("domains", [("n1",), ("n1", "n2")], ids=["half", "all"])
async def test_change_is_applied_in_time_without_watchers(
    fault: str, limit_s: float, domains: tuple[str, ...]
) -> None:
    """Watchers that die or cannot reach the store must not hide a change.

    While the store refuses some daemons, the users allow six seconds more.
    """
    async with run_fleet() as fleet:
        await start_domains(fleet, 8)
        watchers = {f"{domain}-{number}" for domain in domains for number in (0, 1)}
        for name in watchers:
            if fault == "dead":
                fleet.stop(name)
                continue
            fleet.daemons[name].platform.down = True
            if fault == "partitioned":
                fleet.cut |= {frozenset({name, other}) for other in fleet.daemons}
        if fault != "no-store":
            await anyio.sleep(REPLACEMENT_TIME_S)
        fleet.apply(2, orders=9)
        unreachable = watchers if fault == "partitioned" else set()
        others = [d for name, d in fleet.daemons.items() if name not in unreachable]
        await fleet.wait_until(
            lambda: all(d.directory.document_version == 2 for d in others), limit_s
        )


@pytest.mark.parametrize("phase_s", [0.0, 0.5, 1.0, 1.5, 1.9])
async def test_change_is_noticed_although_all_open_watches_went_silent(
    phase_s: float,
) -> None:
    """No daemon of the fleet heard of a change for as long as a watch lasted.

    Stale reads do not show it in time, as they may be seconds old.
    """
    async with run_fleet() as fleet:
        await start_domains(fleet, 8)
        await anyio.sleep(phase_s)
        for daemon in fleet.daemons.values():
            daemon.platform.silence_open_watches()
            listing = await daemon.platform.list(DOCUMENT_KIND)
            daemon.platform.stale_listings[DOCUMENT_KIND] = listing
        await anyio.sleep(IN_TOUCH_AGAIN_S)
        fleet.apply(2, orders=9)
        await fleet.wait_until(lambda: fleet.versions() == {2}, IN_FORCE_LIMIT_S)


@pytest.mark.parametrize("watcher", ["n1-0", "n2-1", "s1-1", "s2-0"])
async def test_change_that_one_watcher_hears_reaches_every_daemon(
    watcher: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Single daemons were left out and waited for a comparison of their own."""
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        for domain in ("n1", "n2", "s1", "s2"):
            for number in range(8):
                fleet.start(f"{domain}-{number}", domain)
        await fleet.wait_until(lambda: all_know(fleet, *fleet.daemons), SPREAD_LIMIT_S)
        await fleet.wait_until(lambda: fleet.versions() == {1}, SPREAD_LIMIT_S)
        monkeypatch.setattr(gossip, "COMPARE_INTERVAL_S", 3600.0)
        await anyio.sleep(max(WATCH_TIMEOUTS_S.values()))
        for name, daemon in fleet.daemons.items():
            daemon.platform.down = name != watcher
        fleet.apply(2, orders=9)
        await fleet.wait_until(lambda: fleet.versions() == {2}, IN_FORCE_LIMIT_S)


@pytest.mark.parametrize("apply_after_s", [0.0, 0.4, 0.8, 1.2, 5.0])
@pytest.mark.parametrize("silent", [True, False])
async def test_daemon_that_is_cut_off_from_all_others_follows_the_store(
    silent: bool, apply_after_s: float
) -> None:
    """It reached the store, but nobody told it of the change, and it didn't look."""
    async with run_fleet() as fleet:
        await start_domains(fleet, 8)
        daemon = fleet.daemons["n1-5"]
        assert daemon.gossip._fleet.get_watch_role() is WatchRole.NONE
        fleet.cut = {frozenset({"n1-5", other}) for other in fleet.daemons}
        if not silent:
            fleet.cut_links("n1-5")
        listing = await daemon.platform.list(DOCUMENT_KIND)
        daemon.platform.stale_listings[DOCUMENT_KIND] = listing
        await anyio.sleep(apply_after_s)
        fleet.apply(2, orders=9)
        await fleet.wait_until(lambda: fleet.versions() == {2}, IN_FORCE_LIMIT_S)


@pytest.mark.parametrize("found", [True, False], ids=["old", "none"])
async def test_watch_after_a_stale_read_misses_no_change(found: bool) -> None:
    """The stale answer named the present revision, and the watch began there."""
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        listing = await FakeStore(fleet.table).list(DOCUMENT_KIND)
        fleet.apply(2, orders=9)
        fleet.table.put("other", "x", {}, None)
        daemon = fleet.start("a0")
        daemon.platform.stale_listings[DOCUMENT_KIND] = Listing(
            fleet.table.revision, listing.items if found else ()
        )
        await anyio.sleep(FLEET_SEARCH_TIME_S + IN_FORCE_LIMIT_S)
        assert fleet.versions() == {2}


async def test_dead_peers_do_not_hold_back_the_next_comparison(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A daemon that had missed a change waited for up to two seconds for each of them.

    The others have the change and happen to compare with each other.
    """
    async with run_fleet() as fleet:
        fleet.dial_failure_s = CONNECT_TIMEOUT_S
        await start_domains(fleet, 8)
        dead = [fleet.daemons[name].record for name in ("n1-6", "n1-7")]
        for name in ("n1-6", "n1-7"):
            fleet.stop(name)
        live = fleet.daemons["n1-0"]
        assert live.document.adopt({"version": 2, "text": make_text(orders=9)}, "test")
        daemon = fleet.daemons.pop("n1-5")
        for other in fleet.daemons.values():
            monkeypatch.setattr(
                other.gossip._fleet, "choose_comparison_peer", lambda: None
            )
        peers = iter(dead)
        monkeypatch.setattr(
            daemon.gossip._fleet,
            "choose_comparison_peer",
            lambda: next(peers, live.record),
        )
        fleet.daemons["n1-5"] = daemon
        await anyio.sleep(IN_FORCE_LIMIT_S)
        assert daemon.directory.document_version == 2


async def test_older_document_never_replaces_a_newer_one() -> None:
    async with run_fleet() as fleet:
        await start_all(fleet)
        fleet.apply(2, orders=9)
        await fleet.wait_until(lambda: fleet.versions() == {2}, JOIN_LIMIT_S)
        fleet.apply(1, orders=6)
        await anyio.sleep(5)
        assert fleet.versions() == {2}


@pytest.mark.parametrize(
    "spec",
    [
        {"version": 3, "text": "{"},
        {"version": 3},
        {"version": "x", "text": make_text(orders=1)},
        "not an object",
        None,
    ],
)
async def test_invalid_document_leaves_the_last_one_active(spec: object) -> None:
    async with run_fleet() as fleet:
        await start_all(fleet)
        fleet.table.put(DOCUMENT_KIND, ENVIRONMENT, spec, None)
        await anyio.sleep(3)
        assert fleet.versions() == {1}
        fleet.apply(4, orders=3)
        await fleet.wait_until(lambda: fleet.versions() == {4}, JOIN_LIMIT_S)


async def test_document_is_read_again_after_its_history_is_compacted() -> None:
    async with run_fleet() as fleet:
        await start_all(fleet)
        fleet.apply(2, orders=9)
        fleet.table.compact()
        await fleet.wait_until(lambda: fleet.versions() == {2}, JOIN_LIMIT_S)


@pytest.mark.parametrize(
    "data",
    [zlib.compress(b"x" * 64 * 1024 * 1024), zlib.compress(b"[]")[:-3], b"", b"x" * 99],
    ids=["expands-too-far", "cut", "empty", "not-compressed"],
)
async def test_unreadable_document_from_a_peer_is_dropped(data: bytes) -> None:
    """A few KB could expand to more memory than the machine has."""
    async with run_fleet() as fleet:
        await start_all(fleet)
        daemon = fleet.daemons["a0"]
        tracemalloc.start()
        daemon.gossip._adopt_document(data)
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < 16 * 1024 * 1024
        assert fleet.versions() == {1}


async def test_deeply_nested_document_from_a_peer_is_rejected() -> None:
    """Its error was not one of those expected and ended the daemon."""
    async with run_fleet() as fleet:
        await start_all(fleet)
        document = fleet.daemons["a0"].document
        assert not document.adopt_text(b"[" * 200_000, "peer")
        assert fleet.versions() == {1}

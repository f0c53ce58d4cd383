"""Guards against daemons that do not learn of each other or revert to an older state.

The causes are store outages, lost messages, lost responses of the store and restarts.
"""

import logging
import time
import tracemalloc
import zlib
from dataclasses import replace

import anyio
import pytest

from ...daemons.frames import Endpoints, Frame
from ...daemons.pool import CONNECT_TIMEOUT_S
from ...model import FINAL_SEQ, Endpoint, EndpointState
from ...operators.revisions import DOCUMENT_KIND
from ...platform import records
from ...platform.objects import Listing, StoredObject
from ...platform.tests.fake_store import FakeStore
from .. import gossip
from ..directory import Directory
from ..document_sync import FLEET_SEARCH_TIME_S, WATCH_TIMEOUTS_S
from ..record_sync import MIN_LIST_INTERVAL_S
from ..registry import EndpointRegistry
from ..watchers import WatchRole
from .fleet import ENVIRONMENT, Fleet, make_text, run_fleet

pytestmark = pytest.mark.anyio

JOIN_LIMIT_S = 3.0
SPREAD_LIMIT_S = 10.0
APPLY_LIMIT_S = 3.0
"""Time in which a change of the configuration must be in force on all daemons."""

STORE_UNSTABLE_S = 6.0
"""Additional time while the store refuses some of the daemons."""

REPLACEMENT_TIME_S = 10.0
"""Time in which the other daemons notice that a watcher is dead."""

NAMES = ("a0", "a1", "b0", "b1")

REST_S = 20.0

IN_FORCE_LIMIT_S = 2.0
"""Time in which a daemon that is in touch must follow a change. A daemon is in touch
again ``IN_TOUCH_AGAIN_S`` after the last disturbance of its connections."""

IN_TOUCH_AGAIN_S = 3.0


async def start_all(fleet: Fleet) -> None:
    """Start four daemons in two regions and wait until each knows all of them."""
    fleet.apply(1, orders=6)
    for name in NAMES:
        fleet.start(name, "n1" if name[0] == "a" else "s1")
    await fleet.wait_until(lambda: all_know(fleet, *NAMES), JOIN_LIMIT_S)
    await fleet.wait_until(lambda: fleet.versions() == {1}, JOIN_LIMIT_S)


def all_know(fleet: Fleet, *backends: str) -> bool:
    return all(fleet.known(name) == set(backends) for name in fleet.daemons)


async def test_daemons_that_start_at_once_know_each_other_with_few_calls() -> None:
    """Store calls are billed; joining takes stale lists, a write and the watches."""
    async with run_fleet() as fleet:
        await start_all(fleet)
        await anyio.sleep(REST_S)
        for name, daemon in fleet.daemons.items():
            log = daemon.platform.call_log
            watches = [call for call in log if call[0] == "watch"]
            # The daemons are two in each region; the first one watches first.
            role = WatchRole.FIRST if name.endswith("0") else WatchRole.BACKUP
            assert len(watches) <= 1 + REST_S / WATCH_TIMEOUTS_S[role], log
            assert len(daemon.list_full_price_calls()) - len(watches) <= 1, log
            assert daemon.platform.calls - len(watches) <= 5, log


async def test_state_spreads_during_a_store_outage() -> None:
    async with run_fleet() as fleet:
        await start_all(fleet)
        fleet.set_store_down(True)
        fleet.daemons["b0"].announce_state(EndpointState.DRAINING)
        others = set(NAMES) - {"b0"}
        took_s = await fleet.wait_until(lambda: all_know(fleet, *others), 1.0)
        assert took_s < 0.5


async def test_daemon_that_starts_without_the_store_learns_from_a_peer() -> None:
    async with run_fleet() as fleet:
        await start_all(fleet)
        fleet.set_store_down(True)
        fleet.stop("a0")
        await anyio.sleep(1)
        fleet.start("a0").platform.down = True
        await fleet.wait_until(lambda: fleet.versions() == {1}, SPREAD_LIMIT_S)
        await fleet.wait_until(lambda: all_know(fleet, *NAMES), SPREAD_LIMIT_S)


async def test_record_is_stored_soon_after_the_store_is_back() -> None:
    async with run_fleet() as fleet:
        await start_all(fleet)
        fleet.set_store_down(True)
        fleet.daemons["b0"].announce_state(EndpointState.GONE)
        await anyio.sleep(10)
        fleet.set_store_down(False)

        def is_stored() -> bool:
            found = fleet.table.get(records.ENDPOINT_KIND, "b0")
            return found is not None and found["spec"]["state"] == "gone"

        assert await fleet.wait_until(is_stored, 5) <= 2.0


async def start_domains(fleet: Fleet, daemons_per_domain: int) -> None:
    """Start daemons in two failure domains of one region and let them settle."""
    fleet.apply(1, orders=6)
    for domain in ("n1", "n2"):
        for number in range(daemons_per_domain):
            fleet.start(f"{domain}-{number}", domain)
    await fleet.wait_until(lambda: all_know(fleet, *fleet.daemons), SPREAD_LIMIT_S)
    await fleet.wait_until(lambda: fleet.versions() == {1}, SPREAD_LIMIT_S)
    # Watches that began before the fleet was known have ended by now.
    await anyio.sleep(max(WATCH_TIMEOUTS_S.values()))


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


async def test_restart_with_the_same_backend_server_writes_nothing() -> None:
    """After a power loss every daemon wrote a record that the store already held."""
    async with run_fleet() as fleet:
        await start_all(fleet)
        await anyio.sleep(5)
        daemon = fleet.daemons["b0"]
        assert daemon.record is not None
        fleet.stop("b0")
        restarted = fleet.start("b0", "s1")
        restarted.record = replace(daemon.record, seq=500)
        await anyio.sleep(5)
        assert "put" not in [call[0] for call in restarted.platform.call_log]


async def test_undecodable_records_of_others_end_no_daemon(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Logging such a record raised an error that ended every daemon that listed it."""
    caplog.set_level(logging.INFO, "berylmast")
    async with run_fleet() as fleet:
        fleet.table.put(records.ENDPOINT_KIND, "x0", {"backend": 5}, None)
        await start_all(fleet)
    assert "record_unreadable" in caplog.messages


async def test_undecodable_record_of_this_daemon_is_replaced(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The daemon wrote and read without a pause, hundreds of times a second."""
    caplog.set_level(logging.INFO, "berylmast")
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        fleet.table.put(records.ENDPOINT_KIND, "a0", {"backend": 5}, None)
        daemon = fleet.start("a0")
        await anyio.sleep(2)
        stored = fleet.table.get(records.ENDPOINT_KIND, "a0")
        assert stored is not None
        assert stored["spec"]["backend"] == "a0"
        assert len([c for c in daemon.platform.call_log if c[0] == "put"]) == 2


async def test_comparison_sends_what_differs_and_not_all_records() -> None:
    """One changed record made each comparison send all records of the fleet."""
    sent: list[int] = []

    def count(source: str, target: str, frame: Frame) -> None:
        if isinstance(frame, Endpoints):
            sent.append(len(frame.records))

    async with run_fleet() as fleet:
        await start_domains(fleet, 8)
        many = [
            Endpoint(f"x{n}", "orders", f"x{n}", 1, "n", "n1", 1, 1, EndpointState.GONE)
            for n in range(400)
        ]
        for daemon in fleet.daemons.values():
            daemon.registry.merge(many)
        await anyio.sleep(5)
        fleet.on_frame = count
        fleet.daemons["n1-7"].registry.merge([replace(many[7], seq=2)])
        await fleet.wait_until(
            lambda: all(
                (found := d.registry.get("x7")) is not None and found.seq == 2
                for d in fleet.daemons.values()
            ),
            SPREAD_LIMIT_S,
        )
        assert max(sent) < 100


@pytest.mark.parametrize("fault", ["cut", "silent"])
async def test_lost_message_is_repaired_by_comparison(fault: str) -> None:
    async with run_fleet() as fleet:
        await start_all(fleet)
        pairs = {frozenset({"b0", name}) for name in NAMES if name != "b0"}
        if fault == "cut":
            fleet.cut = set(pairs)
        else:
            fleet.silence("b0")
        fleet.daemons["b0"].announce_state(EndpointState.DRAINING)
        await anyio.sleep(2)
        fleet.cut = set()
        others = set(NAMES) - {"b0"}
        await fleet.wait_until(lambda: all_know(fleet, *others), SPREAD_LIMIT_S)


async def test_lost_response_to_a_write_leaves_one_record() -> None:
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        fleet.start("a0").platform.put_responses_to_lose = 1
        daemon = fleet.daemons["a0"]
        await fleet.wait_until(lambda: daemon.store_status.up is True, JOIN_LIMIT_S)
        await anyio.sleep(2)
        stored = fleet.table.get(records.ENDPOINT_KIND, "a0")
        assert stored is not None
        assert stored["spec"]["backend"] == "a0"
        assert len([call for call in daemon.platform.call_log if call[0] == "put"]) == 2


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
    ("new", "expected"),
    [
        (("n2", 5, EndpointState.READY), {"n2"}),
        (("n2", 5, EndpointState.GONE), {"n1"}),
        (("n2", 1, EndpointState.READY), {"n1", "n2"}),
    ],
    ids=["newer", "newer-but-gone", "older"],
)
def test_backend_server_replaces_the_one_before_it_at_an_address(
    new: tuple[str, int, EndpointState], expected: set[str]
) -> None:
    """A stale record would send requests to the daemon that has its address now."""
    directory = Directory()
    registry = EndpointRegistry(directory)
    first = Endpoint("n1", "orders", "h", 1, "r", "d", 3, 1)
    registry.merge([first])
    backend, incarnation, state = new
    second = replace(first, backend=backend, incarnation=incarnation, state=state)
    registry.merge([second])
    found = {endpoint.backend for endpoint in directory.endpoints("orders")}
    assert found == expected


def test_joining_a_large_fleet_takes_time_in_proportion_to_it() -> None:
    """Guards against quadratic time: a scan of all records for each new one."""
    many = [
        Endpoint(f"n{n}", "orders", f"h{n}", 1, "r", "d", 3, 1) for n in range(5000)
    ]
    registry = EndpointRegistry(Directory())
    started_s = time.process_time()
    registry.merge(many)
    took_s = time.process_time() - started_s
    assert took_s < 2.0, "a scan for each record takes ten times as long"
    assert len(registry.peers(("other", 1)).all) == 5000


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


async def test_record_is_stored_although_the_task_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After an unexpected error the record was not stored until its next change."""
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        daemon = fleet.start("a0")
        put = daemon.platform.put
        failures = 0

        async def fail_once(
            kind: str, name: str, spec: object, revision: int | None
        ) -> StoredObject:
            nonlocal failures
            if not failures:
                failures += 1
                raise RuntimeError("unexpected")
            return await put(kind, name, spec, revision)

        monkeypatch.setattr(daemon.platform, "put", fail_once)
        await fleet.wait_until(
            lambda: fleet.table.get(records.ENDPOINT_KIND, "a0") is not None,
            JOIN_LIMIT_S,
        )


async def test_stale_list_does_not_replace_a_newer_revision() -> None:
    """The next write then met a conflict, which cost two more calls."""
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        daemon = fleet.start("a0")
        await anyio.sleep(1)
        stale = list(fleet.table.list_objects(records.ENDPOINT_KIND))
        daemon.announce_state(EndpointState.GONE)
        await anyio.sleep(1)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(fleet.table, "list_objects", lambda kind: stale)
            await anyio.sleep(2 * MIN_LIST_INTERVAL_S)
        assert daemon.record is not None
        daemon.record = replace(
            daemon.record, incarnation=9, seq=1, state=EndpointState.READY
        )
        daemon.publish()
        await anyio.sleep(1)
        assert [c[0] for c in daemon.list_full_price_calls()].count("get") == 0


async def test_departure_outlasts_a_restart_of_all_daemons_and_a_stale_list() -> None:
    """The server was in use again: the stale list was taken for what the store holds.

    No daemon had lived on to tell of the departure, and a late report of the server
    arrived after the restart.
    """
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        daemon = fleet.start("a0")
        await anyio.sleep(1)
        stale = list(fleet.table.list_objects(records.ENDPOINT_KIND))
        assert daemon.record is not None
        gone = replace(daemon.record, seq=FINAL_SEQ, state=EndpointState.GONE)
        daemon.record = gone
        daemon.publish()
        await anyio.sleep(1)
        fleet.stop("a0")
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(fleet.table, "list_objects", lambda kind: stale)
            daemon = fleet.start("a0", service=None)
            await anyio.sleep(0.5)
            daemon.record = replace(gone, seq=700, state=EndpointState.READY)
            daemon.publish()
            await anyio.sleep(2)
        assert fleet.known("a0") == set()
        stored = fleet.table.get(records.ENDPOINT_KIND, "a0")
        assert stored is not None
        assert stored["spec"]["state"] == "gone"


async def test_change_after_the_gossip_ended_is_no_error() -> None:
    """A daemon that read a new configuration just as it stopped raised an error."""
    async with run_fleet() as fleet:
        await start_all(fleet)
        daemon = fleet.daemons["a0"]
        fleet.stop("a0")
        await anyio.sleep(0.1)
        daemon.gossip.spread_document()
        daemon.gossip.broadcast([])

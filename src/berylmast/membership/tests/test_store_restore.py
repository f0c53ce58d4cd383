"""Guards against daemons that trust a store which came back from a copy of its data.

The store has lost what was written since the copy and gives the same revisions out
again. Each test runs with the restore alone and with one other fault of the store.
"""

from dataclasses import replace

import anyio
import pytest

from ...model import FINAL_SEQ, Endpoint, EndpointState
from ...operators.revisions import DOCUMENT_KIND
from ...platform import records
from ...platform.objects import Listing
from ...platform.store_client import WATCH_TIMEOUT_MARGIN_S
from ...platform.tests.fake_store import OUTAGE_S, make_stored_object
from ..document_sync import WATCH_TIMEOUTS_S
from ..store import StoredRecord
from ..store_restore import (
    MAX_JITTER_S,
    MIN_JITTER_S,
    compute_jitter_s,
    find_lost_removals,
)
from ..watchers import WatchRole
from .fleet import Fleet, run_fleet
from .started_fleets import SPREAD_LIMIT_S, all_know, start_all, start_domains

pytestmark = pytest.mark.anyio

RESTORE_LIMIT_S = 12.0
"""Time in which everything is stored again: a watch ends, and the others are told."""

IN_FORCE_LIMIT_S = 3.0

FAULTS = ["none", "silent-watches", "lost-response", "stale-reads", "some-daemons"]


def get_stale_listings(fleet: Fleet) -> dict[str, Listing]:
    """Return what the store holds now, as a replica that lags may return it later."""
    return {
        kind: Listing(
            fleet.table.revision,
            tuple(make_stored_object(o) for o in fleet.table.list_objects(kind)),
            fleet.table.era,
        )
        for kind in (DOCUMENT_KIND, records.ENDPOINT_KIND)
    }


def inject(fleet: Fleet, fault: str, stale: dict[str, Listing]) -> None:
    """Begin one further fault of the store."""
    for name, daemon in fleet.daemons.items():
        platform = daemon.platform
        if fault == "silent-watches":
            platform.silence_open_watches()
        elif fault == "lost-response":
            platform.put_responses_to_lose = 1
        elif fault == "stale-reads":
            platform.stale_listings = stale
        elif fault == "some-daemons":
            platform.connection_refused = name.endswith("0")


def end_faults(fleet: Fleet) -> None:
    for daemon in fleet.daemons.values():
        daemon.platform.connection_refused = False
        daemon.platform.stale_listings = {}


def get_stored_states(fleet: Fleet) -> dict[str, str]:
    return {
        entry["metadata"]["name"]: entry["spec"]["state"]
        for entry in fleet.table.list_objects(records.ENDPOINT_KIND)
    }


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("outage", [True, False])
@pytest.mark.parametrize("writes_after", [0, 5, 40])
async def test_configuration_never_goes_back_and_the_next_one_is_in_force(
    fault: str, writes_after: int, outage: bool
) -> None:
    """The watchers waited for changes after a revision that was given out again.

    They hold a revision that the copy lacks. The next configuration is written before
    that revision exists again.
    """
    async with run_fleet() as fleet:
        fleet.table.era = 1
        await start_all(fleet)
        copy = fleet.table.copy()
        fleet.apply(2, orders=8)
        for number in range(20):
            fleet.table.put("other", "x", {"n": number}, None)
        await fleet.wait_until(lambda: fleet.versions() == {2}, IN_FORCE_LIMIT_S)
        await anyio.sleep(max(WATCH_TIMEOUTS_S.values()))
        stale = get_stale_listings(fleet)
        fleet.set_store_down(outage)
        await anyio.sleep(0.5)
        fleet.table.restore(copy)
        fleet.apply(3, orders=9)
        for number in range(writes_after):
            fleet.table.put("other", "x", {"n": number}, None)
        inject(fleet, fault, stale)
        await anyio.sleep(OUTAGE_S)
        assert fleet.versions() <= {2, 3}
        fleet.set_store_down(False)
        # Without an outage no connection breaks, and watches that are open may last.
        limit_s = IN_FORCE_LIMIT_S if outage else WATCH_TIMEOUTS_S[WatchRole.FIRST]
        if fault == "silent-watches":
            limit_s += WATCH_TIMEOUT_MARGIN_S
        if fault == "some-daemons" and not outage:
            # The first watchers can't reach the store, and the open watches of the
            # others last for 15 s.
            end_faults(fleet)
        await fleet.wait_until(lambda: fleet.versions() == {3}, limit_s)
        end_faults(fleet)
        await anyio.sleep(20.0)
        assert fleet.versions() == {3}


@pytest.mark.parametrize("fault", FAULTS)
async def test_records_and_departures_are_stored_again(fault: str) -> None:
    """The copy holds a server that has left, and lacks one that has joined."""
    async with run_fleet() as fleet:
        fleet.table.era = 1
        await start_all(fleet)
        copy = fleet.table.copy()
        fleet.daemons["b0"].announce_state(EndpointState.GONE)
        fleet.start("c0", "n2")
        left = {"a0", "a1", "b1", "c0"}
        await fleet.wait_until(lambda: all_know(fleet, *left), SPREAD_LIMIT_S)
        await anyio.sleep(1.0)
        expected = get_stored_states(fleet)
        assert (expected["b0"], expected["c0"]) == ("gone", "ready")
        stale = get_stale_listings(fleet)
        fleet.table.restore(copy)
        inject(fleet, fault, stale)
        assert get_stored_states(fleet) != expected
        await anyio.sleep(RESTORE_LIMIT_S / 2)
        assert all_know(fleet, *left)
        end_faults(fleet)
        await fleet.wait_until(
            lambda: get_stored_states(fleet) == expected, RESTORE_LIMIT_S
        )
        assert all_know(fleet, *left)


@pytest.mark.parametrize("fault", FAULTS)
async def test_removal_of_a_replaced_server_is_done_again(fault: str) -> None:
    """A daemon that starts later would take the address for that of the old server."""
    async with run_fleet() as fleet:
        fleet.table.era = 1
        await start_all(fleet)
        copy = fleet.table.copy()
        daemon = fleet.daemons["b0"]
        assert daemon.record is not None
        daemon.record = replace(daemon.record, backend="b0-new", incarnation=99)
        daemon.publish()
        names = {"a0", "a1", "b0-new", "b1"}
        await fleet.wait_until(lambda: all_know(fleet, *names), SPREAD_LIMIT_S)
        await fleet.wait_until(lambda: set(get_stored_states(fleet)) == names, 3.0)
        stale = get_stale_listings(fleet)
        fleet.table.restore(copy)
        inject(fleet, fault, stale)
        await anyio.sleep(RESTORE_LIMIT_S / 2)
        end_faults(fleet)
        await fleet.wait_until(
            lambda: set(get_stored_states(fleet)) == names, RESTORE_LIMIT_S
        )
        late = fleet.start("c0", "n2")
        late.platform.calls = 0
        await fleet.wait_until(lambda: all_know(fleet, *names, "c0"), SPREAD_LIMIT_S)


async def test_restore_costs_each_daemon_one_read_and_writes_what_is_lost() -> None:
    """All daemons wrote at the same moment."""
    async with run_fleet() as fleet:
        fleet.table.era = 1
        await start_domains(fleet, 16)
        copy = fleet.table.copy()
        fleet.daemons["n1-5"].announce_state(EndpointState.GONE)
        await anyio.sleep(5.0)
        for daemon in fleet.daemons.values():
            daemon.platform.call_log.clear()
        fleet.table.restore(copy)
        started_s = anyio.current_time()
        await fleet.wait_until(
            lambda: get_stored_states(fleet)["n1-5"] == "gone", RESTORE_LIMIT_S
        )
        await anyio.sleep(RESTORE_LIMIT_S - (anyio.current_time() - started_s))
        calls = [call for d in fleet.daemons.values() for call in d.platform.call_log]
        assert sum(verb == "put" for verb, _ in calls) == 1
        lists = [
            d.platform.call_log.count(("list", records.ENDPOINT_KIND))
            for d in fleet.daemons.values()
        ]
        assert lists == [1] * len(lists)
        reads = [call for call in calls if call[0] == "get"]
        assert reads == []


async def test_error_of_the_era_that_another_daemon_tells_costs_one_read() -> None:
    """The era is taken from the store only."""
    async with run_fleet() as fleet:
        fleet.table.era = 1
        await start_all(fleet)
        daemon = fleet.daemons["a1"]
        daemon.platform.call_log.clear()
        for _ in range(3):
            daemon.record_sync.record_peer_era(1_000)
        await anyio.sleep(5.0)
        assert daemon.platform.era.current == 1
        lists = daemon.platform.call_log.count(("list", records.ENDPOINT_KIND))
        assert lists == 1
        fleet.apply(2, orders=9)
        await fleet.wait_until(lambda: fleet.versions() == {2}, IN_FORCE_LIMIT_S)


async def test_store_that_names_no_era_is_used_as_before() -> None:
    async with run_fleet() as fleet:
        await start_all(fleet)
        await anyio.sleep(5.0)
        full_reads = [
            call
            for daemon in fleet.daemons.values()
            for call in daemon.platform.call_log
            if call == ("list", records.ENDPOINT_KIND)
        ]
        assert full_reads == []


@pytest.mark.parametrize(
    ("records", "jitter_s"), [(0, MIN_JITTER_S), (66, 1.32), (100_000, MAX_JITTER_S)]
)
def test_wait_before_the_read_grows_with_the_fleet(
    records: int, jitter_s: float
) -> None:
    assert compute_jitter_s(records) == pytest.approx(jitter_s)


OWN = Endpoint("new", "orders", "h", 1, "n", "n1", 50, 1)
OLD = replace(OWN, backend="old", incarnation=40)
GONE = replace(OLD, state=EndpointState.GONE)


@pytest.mark.parametrize(
    ("listed", "own", "known", "lost"),
    [
        ([OLD], OWN, GONE, [GONE]),
        ([OLD], OWN, replace(GONE, seq=FINAL_SEQ), [replace(GONE, seq=FINAL_SEQ)]),
        ([OLD], OWN, OLD, []),
        ([OLD], OWN, None, []),
        ([OWN], OWN, GONE, []),
        ([OLD], None, GONE, []),
        ([OLD], OWN, replace(GONE, incarnation=60), []),
    ],
    ids=[
        "replaced",
        "departed",
        "not-known-as-gone",
        "unknown",
        "own",
        "no-server-here",
        "later-server",
    ],
)
def test_only_records_that_this_daemon_removed_are_removed_again(
    listed: list[Endpoint],
    own: Endpoint | None,
    known: Endpoint | None,
    lost: list[Endpoint],
) -> None:
    stored = [StoredRecord(endpoint, 3) for endpoint in listed]
    assert find_lost_removals(stored, own, lambda _backend: known) == lost

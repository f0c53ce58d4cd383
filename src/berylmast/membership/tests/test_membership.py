"""Guards against daemons that do not learn of each other or revert to an older state.

The causes are store outages, lost messages, lost responses of the store and restarts.
"""

import logging
import time
from dataclasses import replace

import anyio
import pytest

from ...daemons.frames import Endpoints, Frame
from ...model import FINAL_SEQ, Endpoint, EndpointState
from ...platform import records
from ...platform.objects import StoredObject
from ..directory import Directory
from ..document_sync import WATCH_TIMEOUTS_S
from ..record_sync import MIN_LIST_INTERVAL_S
from ..registry import EndpointRegistry
from ..watchers import WatchRole
from .fleet import run_fleet
from .started_fleets import (
    JOIN_LIMIT_S,
    NAMES,
    SPREAD_LIMIT_S,
    all_know,
    start_all,
    start_domains,
)

pytestmark = pytest.mark.anyio


REST_S = 20.0


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


async def test_error_in_one_comparison_ends_no_other_one(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It ended the task that compares, with all comparisons and messages under way."""
    caplog.set_level(logging.INFO, "berylmast")
    async with run_fleet() as fleet:
        await start_all(fleet)
        gossip = fleet.daemons["a0"].gossip
        group = gossip._tg
        failed: list[str] = []

        async def fail(exchange: object) -> None:
            failed.append("a0")
            raise RuntimeError("unexpected")

        monkeypatch.setattr(gossip, "_receive_response", fail)
        await anyio.sleep(5)
        assert len(failed) >= 3
        assert caplog.messages.count("task_failed") == len(failed)
        assert gossip._tg is group, "the task was started again"
        fleet.daemons["a0"].announce_state(EndpointState.DRAINING)
        await anyio.sleep(0.1)
        known = fleet.daemons["b0"].registry.get("a0")
        assert known is not None
        assert known.state is EndpointState.DRAINING


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

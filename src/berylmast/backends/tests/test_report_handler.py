"""Tests the endpoint records and admission of a backend server that leaves.

The other daemons must learn of the departure in time, and the leaving server must get
no more requests after a grace time.
"""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
import pytest

from ...limits import SlotAdmission
from ...membership import Directory
from ...membership.registry import EndpointRegistry
from ...model import DaemonLocation, Endpoint, EndpointState
from ..backend_state import BackendState, Departure
from ..report_handler import (
    LEAVE_ACCEPT_FRACTION,
    STOP_ACCEPT_S,
    BackendReportHandler,
)
from .test_backend_state import make_report

pytestmark = pytest.mark.anyio

LEAVE_S = 2.0
REPORT_GAP_S = 1.9
UPTIME_S = 10.0
"""Time in seconds since the start that the backend server's reports state."""

REPORT = make_report()


@dataclass
class Parts:
    handler: BackendReportHandler
    admission: SlotAdmission
    published: list[Endpoint]
    stored: anyio.Event = field(default_factory=anyio.Event)

    @property
    def states(self) -> list[EndpointState]:
        return [record.state for record in self.published]


@asynccontextmanager
async def run_report_handler(
    known: frozenset[str] = frozenset({"orders"}),
    known_record: Endpoint | None = None,
    is_backend_leaving: Callable[[], bool] = lambda: False,
    get_known_record: Callable[[str], Endpoint | None] | None = None,
    report_gap_s: float | None = REPORT_GAP_S,
    sender: str = "",
) -> AsyncIterator[Parts]:
    admission = SlotAdmission("d1", 1, lambda: None)
    published: list[Endpoint] = []
    stored = anyio.Event()

    async def wait_stored(timeout_s: float) -> bool:
        with anyio.move_on_after(timeout_s):
            await stored.wait()
            return True
        return False

    async def ask_sender() -> str:
        return sender

    async with anyio.create_task_group() as tg:
        handler = BackendReportHandler(
            BackendState(),
            admission,
            DaemonLocation("h", 7, "n", "n1"),
            "h:1",
            lambda: LEAVE_S,
            lambda service: service in known,
            published.append,
            wait_stored,
            get_known_record or (lambda backend: known_record),
            is_backend_leaving,
            tg,
            lambda: REPORT.born_ms / 1000 + UPTIME_S,
            report_gap_s,
            ask_sender,
        )
        yield Parts(handler, admission, published, stored)
        tg.cancel_scope.cancel()


@pytest.mark.parametrize(
    "report",
    [replace(REPORT, address="h:2"), replace(REPORT, service="unknown")],
    ids=["other-address", "unknown-service"],
)
async def test_report_for_another_address_or_service_is_rejected(
    report: object,
) -> None:
    async with run_report_handler() as parts:
        assert (await parts.handler.handle_report(report)).is_err()  # type: ignore[arg-type]
        assert parts.published == []
        assert (await parts.handler.handle_report(REPORT)).is_ok()
        assert parts.states == [EndpointState.READY]


async def test_record_changes_only_with_the_state() -> None:
    """Each published record costs a store call and is sent to the other daemons."""
    async with run_report_handler() as parts:
        for sequence in range(1, 5):
            await parts.handler.handle_report(replace(REPORT, sequence=sequence))
        assert len(parts.published) == 1


@pytest.mark.parametrize("departs", [False, True], ids=["drains", "departs"])
async def test_leaving_is_published_at_once_and_closes_admission_later(
    departs: bool,
) -> None:
    async with run_report_handler() as parts:
        await parts.handler.handle_report(REPORT)
        parts.stored.set()
        if departs:
            await parts.handler.handle_departure(Departure("i-1", 0))
        else:
            draining = replace(REPORT, sequence=2, draining=True)
            await parts.handler.handle_report(draining)
        assert parts.states[-1] is not EndpointState.READY
        assert not parts.admission.draining, "requests already sent are still served"
        await anyio.sleep(LEAVE_S * LEAVE_ACCEPT_FRACTION + 0.01)
        assert parts.admission.draining


async def test_departure_is_acknowledged_within_a_second_without_the_store() -> None:
    async with run_report_handler() as parts:
        await parts.handler.handle_report(REPORT)
        with anyio.fail_after(0.9):
            await parts.handler.handle_departure(Departure("i-1", 0))


async def test_successor_reopens_admission() -> None:
    async with run_report_handler() as parts:
        await parts.handler.handle_report(REPORT)
        await parts.handler.handle_departure(Departure("i-1", 0))
        await parts.handler.handle_report(make_report("i-2", 20))
        await anyio.sleep(LEAVE_S)
        assert not parts.admission.draining
        assert parts.published[-1].backend == "i-2"


async def test_records_of_a_restarted_daemon_come_after_those_of_its_last_run() -> None:
    async with run_report_handler() as parts:
        await parts.handler.handle_report(REPORT)
        parts.handler.set_leaving(True, at_once=False)
        last = parts.published[-1]
        assert last.state is EndpointState.DRAINING
    async with run_report_handler() as parts:
        await parts.handler.handle_report(replace(REPORT, sequence=2))
        assert parts.published[-1].order > last.order


@pytest.mark.parametrize(
    ("sequence", "state", "accepted"),
    [
        (4, EndpointState.GONE, False),
        (6, EndpointState.GONE, True),
        (4, EndpointState.READY, True),
    ],
    ids=["older-than-departure", "newer-than-departure", "still-ready"],
)
async def test_delayed_report_of_a_departed_server_after_a_restart(
    sequence: int, state: EndpointState, accepted: bool
) -> None:
    """A restarted daemon used a server again whose departure it had acknowledged."""
    known = Endpoint("i-1", "orders", "h", 7, "n", "n1", REPORT.born_ms, 501, state)
    async with run_report_handler(known_record=known) as parts:
        report = replace(REPORT, sequence=sequence)
        assert (await parts.handler.handle_report(report)).is_ok()
        assert bool(parts.published) is accepted


@pytest.mark.parametrize("before_first_report", [False, True])
@pytest.mark.parametrize("sequence", [2, 500])
async def test_report_sent_before_a_departure_and_received_after_a_restart_is_ignored(
    sequence: int, before_first_report: bool
) -> None:
    """The server was in use again for as long as it ran, although it had left.

    The record of the departure was ordered by the last report that had arrived, so a
    report that was still on its way replaced it.
    """
    known = None
    async with run_report_handler() as parts:
        await parts.handler.handle_report(REPORT)
        known = parts.published[-1]
        if not before_first_report:
            await parts.handler.handle_departure(Departure("i-1", REPORT.born_ms))
            known = parts.published[-1]
    if before_first_report:
        async with run_report_handler(known_record=known) as parts:
            await parts.handler.handle_departure(Departure("i-1", REPORT.born_ms))
            known = parts.published[-1]
    assert known.state is EndpointState.GONE
    async with run_report_handler(known_record=known) as parts:
        await parts.handler.handle_report(replace(REPORT, sequence=sequence))
        assert parts.published == []
        successor = replace(REPORT, born_ms=REPORT.born_ms + 1)
        await parts.handler.handle_report(successor)
        assert parts.states == [EndpointState.READY]
        assert parts.published[-1].order > known.order


async def test_server_that_drains_at_the_first_report_gets_no_requests() -> None:
    """A daemon that restarted during a drain granted the leave time a second time."""
    async with run_report_handler() as parts:
        parts.stored.set()
        await parts.handler.handle_report(replace(REPORT, draining=True))
        assert parts.admission.draining


@pytest.mark.parametrize("returns", [False, True], ids=["stops", "is-ready-again"])
async def test_stopping_daemon_accepts_requests_for_a_moment_only(
    returns: bool,
) -> None:
    """A daemon accepted requests until it stopped, and then cut them off."""
    async with run_report_handler() as parts:
        await parts.handler.handle_report(REPORT)
        parts.handler.set_leaving(True, at_once=False)
        await anyio.sleep(0.5 * STOP_ACCEPT_S)
        assert not parts.admission.draining
        if returns:
            parts.handler.set_leaving(False, at_once=False)
        await anyio.sleep(STOP_ACCEPT_S)
        assert parts.admission.draining is not returns


async def test_leaving_stated_in_responses_outweighs_reports_of_a_ready_server() -> (
    None
):
    leaving = False
    async with run_report_handler(is_backend_leaving=lambda: leaving) as parts:
        await parts.handler.handle_report(REPORT)
        leaving = True
        parts.handler.handle_leaving_notice()
        assert parts.states == [EndpointState.READY, EndpointState.DRAINING]
        assert not parts.admission.draining, "requests already sent are still served"
        await parts.handler.handle_report(replace(REPORT, sequence=2))
        await anyio.sleep(LEAVE_S * LEAVE_ACCEPT_FRACTION + 0.01)
        assert parts.states[-1] is EndpointState.DRAINING
        assert parts.admission.draining


@pytest.mark.parametrize("drains_before", [False, True])
async def test_server_that_stated_its_leaving_is_out_after_a_restart(
    drains_before: bool,
) -> None:
    """Its reports went on to say ready, and some entry had not seen the statement."""
    registry = EndpointRegistry(Directory())
    leaving = False
    async with run_report_handler(is_backend_leaving=lambda: leaving) as parts:
        await parts.handler.handle_report(replace(REPORT, draining=drains_before))
        leaving = True
        parts.handler.handle_leaving_notice()
        registry.merge(parts.published)
    async with run_report_handler(get_known_record=lambda _backend: None) as parts:
        # This daemon has restarted and has not yet received the records.
        await parts.handler.handle_report(replace(REPORT, sequence=50))
        registry.merge(parts.published)
    known = registry.get("i-1")
    assert known is not None
    assert known.state is EndpointState.DRAINING
    async with run_report_handler(get_known_record=registry.get) as parts:
        await parts.handler.handle_report(replace(REPORT, sequence=51))
        assert parts.states == [EndpointState.DRAINING]
        assert parts.admission.draining
        await parts.handler.handle_departure(Departure("i-1", 0))
        registry.merge(parts.published)
        successor = replace(REPORT, born_ms=REPORT.born_ms + 1)
        await parts.handler.handle_report(successor)
        assert parts.states[-1] is EndpointState.READY
    known = registry.get("i-1")
    assert known is not None
    assert known.state is EndpointState.GONE


@pytest.mark.parametrize(
    ("notice_born_ms", "record_born_ms", "report_born_ms", "accepted"),
    [
        (0, None, REPORT.born_ms, False),
        (0, REPORT.born_ms, REPORT.born_ms, False),
        (REPORT.born_ms, None, REPORT.born_ms, False),
        (0, None, REPORT.born_ms + 20_000, True),
        (0, REPORT.born_ms, REPORT.born_ms + 1, True),
    ],
    ids=["unknown", "known-record", "stated", "new-server", "new-after-record"],
)
async def test_server_that_left_beside_a_restarted_daemon_is_not_used_again(
    notice_born_ms: int,
    record_born_ms: int | None,
    report_born_ms: int,
    accepted: bool,
) -> None:
    """Its departure came before its first report, which was delayed by seconds."""
    known = None
    if record_born_ms is not None:
        state = EndpointState.READY
        known = Endpoint("i-1", "orders", "h", 7, "n", "n1", record_born_ms, 5, state)
    async with run_report_handler(known_record=known) as parts:
        parts.stored.set()
        await parts.handler.handle_departure(Departure("i-1", notice_born_ms))
        published = [EndpointState.GONE] if known is not None else []
        assert parts.states == published
        report = replace(REPORT, sequence=26, born_ms=report_born_ms)
        assert (await parts.handler.handle_report(report)).is_ok()
        assert parts.states == published + [EndpointState.READY] * accepted


KNOWN = Endpoint("i-1", "orders", "h", 7, "n", "n1", REPORT.born_ms, 5)


async def test_departure_is_published_once_the_record_of_the_server_arrives() -> None:
    """A daemon had restarted and had not read the records; the fleet kept the server.

    The second restart of the daemon then took a late report for that of a new server.
    """
    known: Endpoint | None = None
    async with run_report_handler(get_known_record=lambda _backend: known) as parts:
        parts.stored.set()
        with anyio.fail_after(0.9):
            await parts.handler.handle_departure(Departure("i-1", REPORT.born_ms))
        await anyio.sleep(5)
        assert parts.published == []
        known = KNOWN
        await anyio.sleep(0.1)
        assert parts.states == [EndpointState.GONE]
        assert parts.published[0].order > KNOWN.order


@pytest.mark.parametrize(
    ("born_ms", "state"),
    [(REPORT.born_ms - 1, "ready"), (REPORT.born_ms, "gone"), (0, "gone")],
    ids=["older", "same", "unknown"],
)
async def test_late_departure_of_an_older_incarnation_leaves_the_server_in_use(
    born_ms: int, state: str
) -> None:
    """A server had started again under its id; a restarted daemon gave it up."""
    async with run_report_handler(known_record=KNOWN) as parts:
        parts.stored.set()
        await parts.handler.handle_departure(Departure("i-1", born_ms))
        await parts.handler.handle_report(replace(REPORT, sequence=9))
        assert parts.states == [EndpointState(state)]


async def test_error_while_a_departure_is_published_ends_nothing_else() -> None:
    """The tasks of the handler run in the task group of the whole daemon."""

    def fail(backend: str) -> Endpoint | None:
        raise RuntimeError("fault")

    async with run_report_handler(get_known_record=lambda _backend: None) as parts:
        await parts.handler.handle_departure(Departure("i-0", 5))
        parts.handler._get_known_record = fail
        await anyio.sleep(1)
        assert parts.published == []


@pytest.mark.parametrize("late_s", [0.2, 2.5], ids=["soon", "late"])
@pytest.mark.parametrize("known_record", [None, KNOWN], ids=["no-record", "record"])
async def test_departure_known_to_killed_daemons_only_outlasts_a_late_report(
    known_record: Endpoint | None, late_s: float
) -> None:
    """A server that left while the store was down was used again after a restart.

    All daemons were killed, and nothing but its last report, a late one, came after.
    """
    async with run_report_handler(known_record=known_record) as parts:
        await anyio.sleep(late_s)
        await parts.handler.handle_report(replace(REPORT, sequence=7))
        await anyio.sleep(REPORT_GAP_S + 0.2)
        assert parts.states[-1] is EndpointState.DRAINING
        assert parts.admission.draining, "nothing is granted a leave time again"
        await anyio.sleep(60)
        assert parts.states[-1] is EndpointState.DRAINING


async def test_server_that_lived_through_a_restart_is_used_at_once() -> None:
    async with run_report_handler(known_record=KNOWN) as parts:
        for sequence in range(7, 20):
            await parts.handler.handle_report(replace(REPORT, sequence=sequence))
            assert not parts.admission.draining
            await anyio.sleep(1.5)
        assert parts.states == [EndpointState.READY]


async def test_server_whose_reports_were_held_up_is_used_again() -> None:
    async with run_report_handler(known_record=KNOWN) as parts:
        await parts.handler.handle_report(replace(REPORT, sequence=7))
        await anyio.sleep(10)
        assert parts.admission.draining
        for sequence in (8, 9):
            await parts.handler.handle_report(replace(REPORT, sequence=sequence))
            await anyio.sleep(1.5)
        assert parts.states[-1] is EndpointState.READY
        assert not parts.admission.draining


@pytest.mark.parametrize("interval_s", [0.5, 1.5, 3.0, 10.0])
async def test_server_that_reports_at_any_interval_is_used(interval_s: float) -> None:
    """One that reports less often than expected would have stayed out for ever."""
    async with run_report_handler(known_record=KNOWN) as parts:
        for sequence in range(7, 12):
            await parts.handler.handle_report(replace(REPORT, sequence=sequence))
            await anyio.sleep(interval_s)
        assert parts.states[-1] is EndpointState.READY
        assert not parts.admission.draining


async def test_server_that_reports_once_by_design_stays_in_use() -> None:
    """A server that is watched by health checks has one report, made of settings."""
    async with run_report_handler(report_gap_s=None) as parts:
        await parts.handler.handle_report(REPORT)
        await anyio.sleep(60)
        assert parts.states == [EndpointState.READY]


async def test_departure_that_is_not_stored_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "berylmast")
    async with run_report_handler() as parts:
        await parts.handler.handle_report(REPORT)
        await parts.handler.handle_departure(Departure("i-1", 0))
        assert caplog.messages.count("departure_unstored") == 1


@pytest.mark.parametrize(
    ("born_ms", "sender", "accepted", "current"),
    [
        (20, "i-2", True, "i-2"),
        (20, "i-1", False, "i-1"),
        (20, "", True, "i-2"),
        (20, "i-3", True, "i-2"),
        (5, "i-2", True, "i-2"),
        (5, "i-1", True, "i-1"),
        (5, "", True, "i-1"),
    ],
    ids=[
        "successor",
        "other-writer",
        "successor-unasked",
        "successor-of-a-third",
        "successor-after-a-clock-step",
        "late-report",
        "late-report-unasked",
    ],
)
async def test_server_at_the_address_says_whose_reports_count(
    born_ms: int, sender: str, accepted: bool, current: str
) -> None:
    """A report of another writer displaced the server that is there."""
    async with run_report_handler(sender=sender) as parts:
        await parts.handler.handle_report(replace(REPORT, sequence=1))
        await parts.handler.handle_report(replace(REPORT, sequence=2))
        result = await parts.handler.handle_report(make_report("i-2", born_ms))
        assert result.is_ok() is accepted
        assert parts.published[-1].backend == current
        own = make_report(current, REPORT.born_ms if current == "i-1" else born_ms, 3)
        assert (await parts.handler.handle_report(own)).is_ok()
        assert parts.states[-1] is EndpointState.READY
        assert not parts.admission.draining


async def test_first_report_of_another_writer_does_not_outlast_the_server() -> None:
    """It named a start far in the future, so no later report counted."""
    registry = EndpointRegistry(Directory())
    async with run_report_handler(sender="i-1") as parts:
        await parts.handler.handle_report(make_report("i-9", 10**15))
        assert (await parts.handler.handle_report(REPORT)).is_ok()
        assert (
            await parts.handler.handle_report(make_report("i-9", 10**15, 2))
        ).is_err()
        registry.merge(parts.published)
        ready = [
            r.backend for r in registry.records() if r.state is EndpointState.READY
        ]
        assert ready == ["i-1"]

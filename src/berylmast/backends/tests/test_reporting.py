"""Tests the endpoint records and admission of a backend server that leaves.

The other daemons must learn of the departure in time, and the leaving server must get
no more requests after a grace time.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import anyio
import pytest

from ...limits import SlotAdmission
from ...model import Endpoint, EndpointState
from ..announced import AnnouncedBackend, Departure
from ..reporting import ACCEPT_SHARE, BackendReporting, Place
from .test_announced import make_report

pytestmark = pytest.mark.anyio

LEAVE_S = 2.0
REPORT = make_report()


@dataclass
class Parts:
    reporting: BackendReporting
    admission: SlotAdmission
    published: list[Endpoint]
    stored: anyio.Event = field(default_factory=anyio.Event)

    @property
    def states(self) -> list[EndpointState]:
        return [record.state for record in self.published]


@asynccontextmanager
async def run_reporting(
    known: frozenset[str] = frozenset({"orders"}),
) -> AsyncIterator[Parts]:
    admission = SlotAdmission("d1", 1, lambda: None)
    published: list[Endpoint] = []
    stored = anyio.Event()

    async def wait_stored(timeout_s: float) -> bool:
        with anyio.move_on_after(timeout_s):
            await stored.wait()
            return True
        return False

    async with anyio.create_task_group() as tg:
        reporting = BackendReporting(
            AnnouncedBackend(),
            admission,
            Place("h", 7, "n", "n1"),
            "h:1",
            lambda: LEAVE_S,
            lambda service: service in known,
            published.append,
            wait_stored,
            tg,
        )
        yield Parts(reporting, admission, published, stored)
        tg.cancel_scope.cancel()


@pytest.mark.parametrize(
    "report",
    [replace(REPORT, address="h:2"), replace(REPORT, service="unknown")],
    ids=["other-address", "unknown-service"],
)
async def test_report_of_another_writer_names_no_server(report: object) -> None:
    async with run_reporting() as parts:
        assert (await parts.reporting.take_report(report)).is_err()  # type: ignore[arg-type]
        assert parts.published == []
        assert (await parts.reporting.take_report(REPORT)).is_ok()
        assert parts.states == [EndpointState.READY]


async def test_record_changes_only_with_the_state() -> None:
    """Each published record costs a store call and is sent to the other daemons."""
    async with run_reporting() as parts:
        for sequence in range(1, 5):
            await parts.reporting.take_report(replace(REPORT, sequence=sequence))
        assert len(parts.published) == 1


@pytest.mark.parametrize("departs", [False, True], ids=["drains", "departs"])
async def test_leaving_is_published_at_once_and_binds_in_time(departs: bool) -> None:
    async with run_reporting() as parts:
        await parts.reporting.take_report(REPORT)
        parts.stored.set()
        if departs:
            await parts.reporting.take_departure(Departure("i-1", 0))
        else:
            draining = replace(REPORT, sequence=2, draining=True)
            await parts.reporting.take_report(draining)
        assert parts.states[-1] is not EndpointState.READY
        assert not parts.admission.draining, "requests already sent are still served"
        await anyio.sleep(LEAVE_S * ACCEPT_SHARE + 0.01)
        assert parts.admission.draining


async def test_departure_is_acknowledged_within_a_second_without_the_store() -> None:
    async with run_reporting() as parts:
        await parts.reporting.take_report(REPORT)
        with anyio.fail_after(0.9):
            await parts.reporting.take_departure(Departure("i-1", 0))


async def test_successor_takes_work_again() -> None:
    async with run_reporting() as parts:
        await parts.reporting.take_report(REPORT)
        await parts.reporting.take_departure(Departure("i-1", 0))
        await parts.reporting.take_report(make_report("i-2", 20))
        await anyio.sleep(LEAVE_S)
        assert not parts.admission.draining
        assert parts.published[-1].backend == "i-2"


async def test_records_of_a_restarted_daemon_come_after_those_of_its_last_run() -> None:
    async with run_reporting() as parts:
        await parts.reporting.take_report(REPORT)
        parts.reporting.set_leaving(True, at_once=False)
        last = parts.published[-1]
        assert last.state is EndpointState.DRAINING
    async with run_reporting() as parts:
        await parts.reporting.take_report(replace(REPORT, sequence=2))
        assert parts.published[-1].order > last.order

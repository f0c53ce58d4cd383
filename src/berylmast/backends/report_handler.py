"""Handles reports of the local backend server and publishes its endpoint record."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from ..limits import Admission
from ..model import FINAL_SEQ, DaemonLocation, Endpoint, EndpointState
from ..supervision import run_logged
from ..telemetry import log_event
from .backend_state import BackendReport, BackendState, Departure
from .endpoint_record import LEAVING_SEQ, is_covered, make_order, make_record
from .report_stream import ReportStream

LEAVE_ACCEPT_FRACTION = 0.4
"""Fraction of the leave time during which a leaving backend server still accepts
requests, so that those already sent when the other daemons learn of it are served."""

STOP_ACCEPT_S = 1.0
"""Time in seconds for which a stopping daemon still accepts requests from others, which
learn of the stop meanwhile. A request accepted later might be cut off by the stop."""

STORE_TIMEOUT_S = 0.5
"""Longest wait for the record to be stored before a departure is acknowledged. The
sender treats an acknowledgement that takes a second as lost."""

READ_MARGIN_S = 0.05
"""Time in seconds in which a busy daemon reads a report that has already arrived."""

RECORD_WAIT_S = 30.0
RECORD_POLL_S = 0.05
"""How long, and how often, the record of a server is looked up that left before this
process had received the records of the fleet."""

MS_PER_S = 1000


async def _ask_nobody() -> str:
    return ""


class BackendReportHandler:
    """Updates admission control and this daemon's endpoint record from the reports.

    ``publish`` is called with each new record. ``wait_stored`` waits, for at most the
    given seconds, until the latest record is stored. ``get_leave_s`` returns the time
    in seconds that a leaving backend server is given. ``is_known`` returns whether a
    service is known. ``get_known_record`` returns the newest record of a backend
    server that this daemon has, from any daemon or the store. ``is_backend_leaving``
    returns whether the current server states its leaving in responses; that counts even
    if its reports say that it is ready. ``unix_time`` returns Unix time in seconds, the
    clock of the start times in reports. ``report_gap_s`` is the longest time in seconds
    between two reports of a running server, None if it sends only one. ``ask_sender``
    returns the id of the server that responds at the address, empty if it is not known.
    """

    def __init__(
        self,
        backend_state: BackendState,
        admission: Admission,
        location: DaemonLocation,
        backend_address: str,
        get_leave_s: Callable[[], float],
        is_known: Callable[[str], bool],
        publish: Callable[[Endpoint], None],
        wait_stored: Callable[[float], Awaitable[bool]],
        get_known_record: Callable[[str], Endpoint | None],
        is_backend_leaving: Callable[[], bool],
        tg: TaskGroup,
        unix_time: Callable[[], float] = time.time,
        report_gap_s: float | None = None,
        ask_sender: Callable[[], Awaitable[str]] = _ask_nobody,
    ) -> None:
        self._unix_time = unix_time
        self._backend_state = backend_state
        self._admission = admission
        self._location = location
        self._address = backend_address
        self._get_leave_s = get_leave_s
        self._is_known = is_known
        self._publish = publish
        self._wait_stored = wait_stored
        self._get_known_record = get_known_record
        self._is_backend_leaving = is_backend_leaving
        self._tg = tg
        self._record: Endpoint | None = None
        self._leaving = False
        self._report_gap_s = report_gap_s
        self._ask_sender = ask_sender
        self._report_stream = ReportStream(anyio.current_time(), report_gap_s or 0.0)

    async def handle_report(self, report: BackendReport) -> Result[None, str]:
        """Handle a report; return Err for another address or an unknown service."""
        if report.address != self._address:
            return Err(f"report is for address {report.address}, not {self._address}")
        if not self._is_known(report.service):
            return Err(f"unknown service {report.service!r}")
        if self._has_left(report):
            log_event("report_of_departed", backend=report.backend, order=report.order)
            return Ok(None)
        sender = await self._find_sender(report)
        current = self._backend_state.current
        if (
            current is not None
            and sender == current.backend
            and report.order > current.order
        ):
            return Err(f"{current.backend} responds at the address of the server")
        if not self._apply_report(report, sender):
            log_event("report_outdated", backend=report.backend, order=report.order)
            return Ok(None)
        if self._report_gap_s is not None:
            self._follow_report_stream(report, self._report_gap_s)
        if self._publish_if_changed():
            await self._wait_stored(STORE_TIMEOUT_S)
        return Ok(None)

    def _apply_report(self, report: BackendReport, sender: str) -> bool:
        """Apply a report; return False if it is outdated.

        ``sender`` is the server at the address, empty if it is not known.
        """
        if sender == report.backend:
            self._backend_state.replace_current(report)
            return True
        current = self._backend_state.current
        if current is not None and sender == current.backend:
            return False
        return self._backend_state.apply_report(report)

    async def _find_sender(self, report: BackendReport) -> str:
        """Return which server is at the address if a report names another one.

        Empty if the server there does not say who it is: the latest start counts then.
        A report of another writer may name any server and any start.
        """
        current = self._backend_state.current
        if current is None or report.backend == current.backend:
            return ""
        if self._backend_state.has_departed(report):
            return ""
        return await self._ask_sender()

    def _follow_report_stream(self, report: BackendReport, gap_s: float) -> None:
        """Take a server whose second report is overdue for one that left.

        The daemon may have acknowledged its departure before it was restarted, when
        neither the store nor another daemon that lived on could be told.
        """
        record = self._get_known_record(report.backend)
        known = record is not None and record.incarnation >= report.born_ms
        if self._report_stream.is_empty:
            self._start(partial(self._check_report_stream, gap_s))
        self._report_stream.record(report, anyio.current_time(), known=known)

    async def _check_report_stream(self, gap_s: float) -> None:
        await anyio.sleep(gap_s)
        await anyio.sleep(READ_MARGIN_S)
        if self._report_stream.check(anyio.current_time()):
            current = self._backend_state.current
            log_event("reports_ended", backend=current.backend if current else "")
            self._publish_if_changed()

    def _has_left(self, report: BackendReport) -> bool:
        """Return whether a known record states that the sender left after the report.

        A daemon that has restarted knows of the departure only from that record.
        """
        known = self._get_known_record(report.backend)
        if known is None or known.state is not EndpointState.GONE:
            return False
        return known.order >= make_order(report)

    async def handle_departure(self, departure: Departure) -> Result[None, str]:
        """Handle the notice that a backend server is shutting down permanently."""
        if self._backend_state.current is None:
            await self._handle_departure_of_unreported(departure)
        elif (
            self._backend_state.apply_departure(departure)
            and self._publish_if_changed()
            and not await self._wait_stored(STORE_TIMEOUT_S)
        ):
            # Until it is stored, only running daemons know of it.
            log_event("departure_unstored", backend=departure.backend)
        return Ok(None)

    async def _handle_departure_of_unreported(self, departure: Departure) -> None:
        """Handle the departure of a server that has not reported to this process.

        The daemon has restarted beside a running server. The notice may not state its
        start time, and reports sent before it may still arrive.
        """
        known = self._get_known_record(departure.backend)
        known_born_ms = None if known is None else known.incarnation
        if known_born_ms is not None and 0 < departure.born_ms < known_born_ms:
            log_event("departure_outdated", backend=departure.backend)
            return
        born_ms = (
            departure.born_ms or known_born_ms or int(self._unix_time() * MS_PER_S)
        )
        self._backend_state.apply_departure(Departure(departure.backend, born_ms))
        log_event("backend_departed", backend=departure.backend, born_ms=born_ms)
        published = anyio.Event()
        self._start(
            partial(
                self._publish_departure_of_unreported,
                departure.backend,
                born_ms,
                published,
            )
        )
        with anyio.move_on_after(STORE_TIMEOUT_S):
            await published.wait()
            await self._wait_stored(STORE_TIMEOUT_S)

    async def _publish_departure_of_unreported(
        self, backend: str, born_ms: int, published: anyio.Event
    ) -> None:
        """Replace the record of a departed server, once this daemon has received it.

        A daemon that has just restarted may still wait for the records of the others.
        """
        known: Endpoint | None = None
        with anyio.move_on_after(RECORD_WAIT_S):
            while (known := self._get_known_record(backend)) is None:
                await anyio.sleep(RECORD_POLL_S)
        own_address = (self._location.host, self._location.port)
        if (
            known is not None
            and (known.host, known.port) == own_address
            and known.state is not EndpointState.GONE
            and known.incarnation <= born_ms
            # The record of a server that has reported since replaces it.
            and self._backend_state.current is None
        ):
            self._publish(replace(known, seq=FINAL_SEQ, state=EndpointState.GONE))
        published.set()

    def handle_leaving_notice(self) -> None:
        """Announce that the backend server states its leaving in responses."""
        self._publish_if_changed()

    def set_leaving(self, leaving: bool, *, at_once: bool) -> None:
        """Announce that this instance is leaving, or is ready again.

        With ``at_once``, new requests are refused from now on. Otherwise they are
        accepted for a moment, until the other daemons have learned of the change.
        """
        self._leaving = leaving
        if at_once:
            self._admission.draining = leaving
        elif leaving:
            self._start(self._close_admission_if_leaving)
        self._publish_if_changed()

    def _publish_if_changed(self) -> bool:
        """Publish the endpoint record if it has changed.

        Returns True if the new record states that the backend server is not ready.
        """
        report = self._backend_state.current
        if report is None:
            return False
        state = self._compute_state(report)
        old = self._record
        leaving = self._is_known_leaving(report)
        if old is not None and is_covered(old, report, state, leaving=leaving):
            return False
        record = make_record(old, report, state, self._location, leaving=leaving)
        self._record = record
        log_event(
            "backend_state",
            backend=record.backend,
            service=record.service,
            state=state,
            born_ms=report.born_ms,
            sequence=report.sequence,
            slots=report.slots,
        )
        self._admission.set_backend(report.backend, report.born_ms)
        if old is not None and old.incarnation > record.incarnation:
            # Its record would outlast that of the server which is at the address.
            self._publish(replace(old, seq=FINAL_SEQ, state=EndpointState.GONE))
        self._publish(record)
        if state is EndpointState.READY:
            self._admission.draining = False
            return False
        if old is None or old.backend != record.backend or self._report_stream.silent:
            # This daemon may have restarted after it acknowledged the departure, so
            # the time to accept requests may already be over.
            self._admission.draining = True
        elif not self._leaving:
            self._start(partial(self._close_admission, record))
        return True

    def _start(self, run: Callable[[], Awaitable[None]]) -> None:
        self._tg.start_soon(run_logged, "report_handler", run)

    def _is_known_leaving(self, report: BackendReport) -> bool:
        """Return whether the current server has stated its leaving in responses.

        A daemon that has restarted knows it from the record of its last run.
        """
        if self._is_backend_leaving():
            return True
        known = self._get_known_record(report.backend)
        return known is not None and (
            known.incarnation == report.born_ms and known.seq >= LEAVING_SEQ
        )

    def _compute_state(self, report: BackendReport) -> EndpointState:
        if self._backend_state.left:
            return EndpointState.GONE
        if self._leaving or self._is_known_leaving(report):
            return EndpointState.DRAINING
        if self._backend_state.serving is None or self._report_stream.silent:
            return EndpointState.DRAINING
        return EndpointState.READY

    async def _close_admission_if_leaving(self) -> None:
        await anyio.sleep(STOP_ACCEPT_S)
        if self._leaving:
            self._admission.draining = True

    async def _close_admission(self, record: Endpoint) -> None:
        await anyio.sleep(self._get_leave_s() * LEAVE_ACCEPT_FRACTION)
        current = self._record
        if current is not None and current.backend == record.backend:
            self._admission.draining = current.state is not EndpointState.READY

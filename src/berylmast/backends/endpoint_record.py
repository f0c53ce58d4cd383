"""Builds the endpoint record of a backend server from its reports.

The sequence numbers order the records of one start of a backend server: those after its
reports, then that of its leaving, then that of its departure.
"""

from ..model import FINAL_SEQ, DaemonLocation, Endpoint, EndpointState
from .backend_state import BackendReport

SEQ_NUMBERS_PER_REPORT = 100
"""Sequence numbers reserved for record changes between two reports. A restarted daemon
continues from the next report, so its records sort after those of its previous run. A
departure has ``FINAL_SEQ``: it sorts after all reports of its backend server."""

LEAVING_SEQ = FINAL_SEQ - 1
"""Sequence number of the record of a backend server that states its leaving in
responses. It sorts after all its reports, which may go on to say that it is ready."""

MAX_REPORT_SEQUENCE = FINAL_SEQ // SEQ_NUMBERS_PER_REPORT - 1
"""Maximum sequence number of a report: its records sort before a departure."""


def make_order(report: BackendReport) -> tuple[int, int]:
    """Return the order of the first record that is published after a report."""
    return (report.born_ms, report.sequence * SEQ_NUMBERS_PER_REPORT)


def is_covered(
    old: Endpoint, report: BackendReport, state: EndpointState, *, leaving: bool
) -> bool:
    """Return whether the last record states all that a new one would.

    ``leaving`` is set if the backend server has stated its leaving in responses.
    """
    if leaving and old.seq < LEAVING_SEQ:
        return False
    return (old.backend, old.service, old.incarnation, old.state) == (
        report.backend,
        report.service,
        report.born_ms,
        state,
    )


def make_record(
    old: Endpoint | None,
    report: BackendReport,
    state: EndpointState,
    location: DaemonLocation,
    *,
    leaving: bool,
) -> Endpoint:
    """Return the record that replaces ``old``, the last one of this daemon."""
    return Endpoint(
        backend=report.backend,
        service=report.service,
        host=location.host,
        port=location.port,
        region=location.region,
        failure_domain=location.failure_domain,
        incarnation=report.born_ms,
        seq=_choose_seq(old, report, state, leaving=leaving),
        state=state,
    )


def _choose_seq(
    old: Endpoint | None, report: BackendReport, state: EndpointState, *, leaving: bool
) -> int:
    if state is EndpointState.GONE:
        # A report sent before the departure may arrive after it, at a daemon that has
        # restarted and at the store: it must not replace this record.
        return FINAL_SEQ
    if leaving:
        return LEAVING_SEQ
    _, seq = make_order(report)
    if old is not None and old.incarnation == report.born_ms:
        return max(seq, old.seq + 1)
    return seq

"""Guards against the use of a server that left, after a restart of all daemons."""

import pytest

from ..report_stream import ReportStream
from .test_backend_state import make_report

GAP = 1.9


@pytest.mark.parametrize(
    ("reports", "known", "check_s", "silent"),
    [
        ([(0.1, "i-1")], True, 0.1 + 0.9 * GAP, False),
        ([(0.1, "i-1")], True, 0.1 + GAP, True),
        ([(0.1, "i-1")], False, 0.1 + GAP, True),
        ([(0.1, "i-1"), (1.6, "i-1")], True, 60.0, False),
        ([(0.1, "i-1"), (0.2 + GAP, "i-1")], True, 60.0, True),
        ([(0.1, "i-1"), (3.0, "i-1"), (4.5, "i-1")], True, 60.0, False),
        ([(0.1, "i-1"), (5.1, "i-1"), (10.1, "i-1")], True, 60.0, False),
        ([(0.1, "i-1"), (9.0, "i-2")], True, 60.0, False),
        ([(GAP + 0.1, "i-1")], True, GAP + 0.2, True),
        ([(GAP + 0.1, "i-1")], False, GAP + 0.2, False),
        ([(GAP + 0.1, "i-1"), (GAP + 1.6, "i-1")], True, 60.0, False),
    ],
    ids=[
        "second-report-not-yet-due",
        "one-late-report",
        "one-late-report-of-an-unknown-server",
        "running",
        "two-late-reports-far-apart",
        "running-again",
        "reports-less-often",
        "successor",
        "late-first-report",
        "new-server",
        "late-first-report-of-a-running-server",
    ],
)
def test_server_that_stops_reporting_after_a_restart_is_silent(
    reports: list[tuple[float, str]], known: bool, check_s: float, silent: bool
) -> None:
    stream = ReportStream(started_s=0.0, max_gap_s=GAP)
    for sequence, (at_s, backend) in enumerate(reports, 1):
        stream.check(at_s)
        report = make_report(backend, sequence=sequence)
        stream.record(report, at_s, known=known)
    stream.check(check_s)
    assert stream.silent is silent

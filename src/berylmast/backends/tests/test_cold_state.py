"""Tests that a server counts as cold until the latest statement says otherwise.

A delayed report must not make a cold server look warm, and a response of an earlier
server must not speak for its successor.
"""

from dataclasses import replace

import pytest

from ..backend_state import BackendReport
from ..cold_state import ColdStatement, ColdStateTracker
from .test_backend_state import make_report

COLD_4 = ColdStatement(4.0)
WARM = ColdStatement(0.0)
IMPLIED = ColdStatement(0.0, implied=True)
NOTHING = ColdStatement()
INVALID = ColdStatement(invalid=True)


def report(sequence: int, cold_left_s: float = 0.0, born_ms: int = 10) -> BackendReport:
    return replace(
        make_report(sequence=sequence, born_ms=born_ms), cold_left_s=cold_left_s
    )


@pytest.mark.parametrize(
    ("steps", "cold_until_s"),
    [
        ([], float("inf")),
        ([(1.0, report(1))], 1.0),
        ([(1.0, report(1, 5.0))], 6.0),
        ([(1.0, report(2, 5.0)), (2.0, report(1))], 6.0),
        ([(1.0, report(2, 5.0)), (2.0, report(2))], 6.0),
        ([(1.0, report(1, 5.0)), (2.0, report(2))], 2.0),
        ([(1.0, report(1)), (2.0, report(2, 3.0))], 5.0),
        ([(1.0, COLD_4)], 5.0),
        ([(1.0, WARM)], 0.9),
        ([(1.0, NOTHING)], float("inf")),
        ([(1.0, IMPLIED)], float("inf")),
        ([(1.0, report(1, 9.0)), (2.0, IMPLIED)], 10.0),
        ([(1.0, report(1)), (2.0, IMPLIED)], 1.9),
        ([(1.0, INVALID)], float("inf")),
        ([(1.0, COLD_4), (2.0, INVALID)], 5.0),
        ([(1.0, COLD_4), (2.0, NOTHING)], 5.0),
        ([(1.0, COLD_4), (2.0, WARM)], 1.9),
        ([(1.0, COLD_4), (2.0, report(7))], 5.0),
        ([(1.0, report(1, 9.0)), (2.0, WARM)], 1.9),
        ([(1.0, report(1, 9.0)), (1.05, WARM)], 10.0),
        ([(1.0, report(1)), (2.0, COLD_4), (3.0, report(2))], 6.0),
        ([(1.0, report(9)), (2.0, report(1, 6.0, born_ms=20))], 8.0),
        ([(1.0, report(9)), (2.0, COLD_4), (3.0, report(1, 0.0, 20))], 3.0),
    ],
    ids=[
        "unknown-after-start",
        "warm-report",
        "cold-report",
        "late-warm-report",
        "repeated-report",
        "next-report-warm",
        "next-report-cold",
        "cold-response",
        "warm-response",
        "response-without-statement",
        "implied-does-not-end-unknown",
        "implied-does-not-end-a-report",
        "implied-confirms",
        "invalid-response",
        "invalid-after-cold",
        "nothing-after-cold",
        "warm-after-cold",
        "report-does-not-end-a-response",
        "response-ends-a-report",
        "query-sent-before-the-report",
        "became-cold",
        "new-server-cold",
        "new-server-warm",
    ],
)
def test_latest_statement_counts(
    steps: list[tuple[float, BackendReport | ColdStatement]], cold_until_s: float
) -> None:
    """Each response arrives 0.1 s after its query was sent."""
    tracker = ColdStateTracker()
    for now_s, step in steps:
        if isinstance(step, BackendReport):
            tracker.record_report(step, now_s)
        else:
            tracker.record_health(step, now_s - 0.1, now_s)
    assert tracker.cold_until_s == pytest.approx(cold_until_s)
    if cold_until_s < float("inf"):
        assert tracker.is_cold(cold_until_s - 0.01)
        assert not tracker.is_cold(cold_until_s + 0.01)


def test_only_a_response_confirms_that_a_server_is_warm() -> None:
    """A report was sent at an unknown time, so it proves nothing about now."""
    tracker = ColdStateTracker()
    tracker.record_report(report(1), 1.0)
    assert tracker.confirmed_s == float("-inf")
    tracker.record_health(WARM, 1.5, 1.7)
    assert tracker.confirmed_s == 1.5
    tracker.record_health(COLD_4, 1.2, 1.8)
    assert not tracker.is_cold(1.9), "a response that was overtaken counted"
    tracker.record_report(report(1, born_ms=20), 2.0)
    assert tracker.confirmed_s == float("-inf"), "another server was confirmed"

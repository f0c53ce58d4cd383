"""Tests that an owner's log lines and counters show how each attempt ended."""

import logging
from dataclasses import replace

import pytest

from ...errors import ErrorKind, Refusal
from ...model import AttemptState, LoadReport
from ...tests.fake_parts import make_head
from ..attempt_log import AttemptCounts, AttemptLog, AttemptTiming
from ..dispatch import DispatchResult
from ..ledger import AttemptRecord

REPORT = LoadReport("b1", 1, 1, 3, 2, 3, 100.0, 0.0)
FINISHED = AttemptRecord(AttemptState.FINISHED)
CUT = AttemptRecord(AttemptState.FAILED, ErrorKind.BACKEND_CUT, "cut")


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[logging.LogRecord]:
    records: list[logging.LogRecord] = []
    logger = logging.getLogger("berylmast")
    monkeypatch.setattr(logger, "handle", records.append)
    logger.setLevel(logging.INFO)
    return records


@pytest.mark.parametrize(
    ("record", "status", "took_s", "event", "counts"),
    [
        (FINISHED, 200, 0.2, "attempt_answered", AttemptCounts(on_time=1)),
        (FINISHED, 200, 0.4, "attempt_answered", AttemptCounts(late=1)),
        (FINISHED, 500, 0.2, "attempt_answered", AttemptCounts(failed=1)),
        (CUT, None, 0.2, "attempt_failed", AttemptCounts(failed=1)),
    ],
    ids=["on-time", "late", "server-error", "cut"],
)
def test_ended_attempt_is_logged_with_its_times_and_counted(
    lines: list[logging.LogRecord],
    record: AttemptRecord,
    status: int | None,
    took_s: float,
    event: str,
    counts: AttemptCounts,
) -> None:
    log = AttemptLog(lambda: REPORT, lambda: "b1")
    head = replace(make_head(), target_ms=300)
    result = DispatchResult(status=status, completed=True)
    log.log_ended(
        head, record, result, AttemptTiming(waited_s=0.05, ran_s=took_s, in_flight=2)
    )
    assert [line.getMessage() for line in lines] == [event]
    fields = vars(lines[0])
    assert fields["waited_ms"] == 50
    assert fields["ran_ms"] == took_s * 1000
    assert fields["in_flight"] == 2
    assert fields["target_ms"] == 300
    assert log.counts == counts


def test_refusals_are_counted_unless_busy() -> None:
    log = AttemptLog(lambda: REPORT, lambda: "b1")
    log.log_refused(make_head(), Refusal(ErrorKind.BUSY, ""), 0.0)
    log.log_refused(make_head(), Refusal(ErrorKind.OVERLOADED, ""), 0.0)
    assert log.counts == AttemptCounts(refused=1)

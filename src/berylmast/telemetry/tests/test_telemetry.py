"""Guards against unparsable log lines and unbounded logs and histograms."""

import logging
import queue
import shlex

import pytest

from ..histograms import HIGHEST_US, MAX_TENANTS, OTHER_TENANTS, Histograms
from ..logs import BoundedHandler, EventRates, KeyValueFormatter
from ..sight import RequestLog, Sight
from ..statsd_report import StatsdReport


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("plain", "plain"),
        ("", '""'),
        ("two words", '"two words"'),
        ('say "x"', r'"say \"x\""'),
        ("a=b", '"a=b"'),
        ("line\nfeed", r'"line\nfeed"'),
        (1.23456, "1.235"),
        (7, "7"),
        ("ñandú", "ñandú"),
    ],
)
def test_log_values_stay_on_one_line_and_apart(value: object, text: str) -> None:
    record = logging.makeLogRecord({"msg": "request", "field": value})
    line = KeyValueFormatter("%(message)s").format(record)
    assert line == f"message=request field={text}"
    assert len(shlex.split(line)) == 2


def test_tenants_of_callers_do_not_grow_the_histograms_without_bound() -> None:
    histograms = Histograms()
    for number in range(3 * MAX_TENANTS):
        histograms.record("orders", "urgent", f"tenant-{number}", 5.0)
    summaries = histograms.summarise()
    assert len(summaries) == MAX_TENANTS + 1
    counts = {summary.tenant: summary.count for summary in summaries}
    assert counts[OTHER_TENANTS] == 2 * MAX_TENANTS


@pytest.mark.parametrize("latency_ms", [0.0, 0.0001, 5.0, 1e12])
def test_latency_out_of_range_is_counted(latency_ms: float) -> None:
    histograms = Histograms()
    histograms.record("orders", "urgent", "dealers", latency_ms)
    summary = histograms.summarise()[0]
    assert summary.count == 1
    assert summary.max_ms <= HIGHEST_US / 1000 * 1.02


def test_a_request_line_holds_what_on_call_needs(
    caplog: pytest.LogCaptureFixture,
) -> None:
    entry = RequestLog(
        "r1", "orders", "urgent", "t", "orders-n1", 2, "not-run", "shed", 503, 1.5
    )
    logging.getLogger("berylmast").propagate = True
    with caplog.at_level(logging.INFO, logger="berylmast"):
        Sight(None).record_request(entry)
    line = KeyValueFormatter("%(message)s").format(caplog.records[-1])
    for part in ("request=r1", "service=orders", "backend=orders-n1", "attempts=2"):
        assert part in line
    for part in ("priority=urgent", "outcome=not-run", "reason=shed", "status=503"):
        assert part in line


class FakePipe:
    """Collects the values sent through a statsd pipeline."""

    def __init__(self) -> None:
        self.lines: dict[str, float] = {}

    def __enter__(self) -> "FakePipe":
        return self

    def __exit__(self, *exc: object) -> None:
        pass

    def pipeline(self) -> "FakePipe":
        return self

    def incr(self, name: str, count: int) -> None:
        self.lines[name] = count

    def gauge(self, name: str, value: float) -> None:
        self.lines[name] = value


def test_statsd_gets_sums_and_not_a_datagram_for_each_request() -> None:
    pipe = FakePipe()
    report = StatsdReport(pipe)
    for number in range(100):
        report.add("court status", "urgent", "answered", "", 1.0 + number)
    report.add("court status", "urgent", "not-run", "shed", 0.0)
    assert pipe.lines == {}
    report.flush()
    name = "court_status.urgent"
    assert pipe.lines[f"{name}.answered"] == 100
    assert pipe.lines[f"{name}.reason.shed"] == 1
    assert pipe.lines[f"{name}.duration_p50_ms"] == pytest.approx(50, rel=0.05)
    pipe.lines.clear()
    report.flush()
    assert pipe.lines == {}


def test_flood_of_one_event_leaves_lines_to_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a log volume that grows with the load."""
    now_s = 0.0
    lines: list[tuple[str, dict[str, object]]] = []

    def write(event: str, *, level: int = 0, **fields: object) -> None:
        lines.append((event, fields))

    monkeypatch.setattr("berylmast.telemetry.logs.log_event", write)
    rates = EventRates(5.0, lambda: now_s)
    for number in range(100):
        rates.write("overloaded", "refused", number=number)
    rates.write("draining", "refused", number=100)
    assert [fields["number"] for _, fields in lines] == [0, 1, 2, 3, 4, 100]
    now_s = 1.0
    rates.write("overloaded", "refused", number=101)
    assert lines[-2] == (
        "left_out",
        {"of": "refused", "key": "overloaded", "count": 95},
    )


def test_reader_that_stops_reading_does_not_stop_the_daemon() -> None:
    handler = BoundedHandler(queue.Queue(2))
    for _ in range(5):
        handler.emit(logging.makeLogRecord({"msg": "request"}))
    assert handler.dropped == 3

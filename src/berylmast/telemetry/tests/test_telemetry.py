"""Guards against unparsable log lines and unbounded logs and histograms."""

import logging
import queue
import shlex

import pytest

from ..histograms import MAX_LATENCY_US, MAX_TENANTS, OTHER_TENANTS, LatencyHistograms
from ..logs import BoundedHandler, EventRateLimiter, KeyValueFormatter, log_event
from ..request_recorder import RequestLogEntry, RequestRecorder
from ..statsd_reporter import StatsdReporter


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
def test_log_value_is_quoted_where_needed(value: object, text: str) -> None:
    record = logging.makeLogRecord({"msg": "request", "field": value})
    line = KeyValueFormatter("%(message)s").format(record)
    assert line == f"message=request field={text}"
    assert len(shlex.split(line)) == 2


@pytest.mark.parametrize("name", ["name", "args", "message", "asctime", "process"])
def test_field_named_like_an_attribute_of_log_records_is_logged(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Such a field raised KeyError, which ended the process."""
    caplog.set_level(logging.INFO, "berylmast")
    log_event("record_unreadable", **{name: "x"})  # type: ignore[arg-type]
    assert getattr(caplog.records[0], f"{name}_") == "x"


def test_number_of_tenant_histograms_is_bounded() -> None:
    histograms = LatencyHistograms()
    for number in range(3 * MAX_TENANTS):
        histograms.record("orders", "urgent", f"tenant-{number}", 5.0)
    summaries = histograms.summarize()
    assert len(summaries) == MAX_TENANTS + 1
    counts = {summary.tenant: summary.count for summary in summaries}
    assert counts[OTHER_TENANTS] == 2 * MAX_TENANTS


@pytest.mark.parametrize("latency_ms", [0.0, 0.0001, 5.0, 1e12])
def test_latency_out_of_range_is_counted(latency_ms: float) -> None:
    histograms = LatencyHistograms()
    histograms.record("orders", "urgent", "dealers", latency_ms)
    summary = histograms.summarize()[0]
    assert summary.count == 1
    assert summary.max_ms <= MAX_LATENCY_US / 1000 * 1.02


def test_request_line_has_the_main_fields(
    caplog: pytest.LogCaptureFixture,
) -> None:
    entry = RequestLogEntry(
        "r1", "orders", "urgent", "t", "orders-n1", 2, "not-run", "shed", 503, 1.5
    )
    logging.getLogger("berylmast").propagate = True
    with caplog.at_level(logging.INFO, logger="berylmast"):
        RequestRecorder(None).record_request(entry)
    line = KeyValueFormatter("%(message)s").format(caplog.records[-1])
    for part in ("request=r1", "service=orders", "backend=orders-n1", "attempts=2"):
        assert part in line
    for part in ("priority=urgent", "outcome=not-run", "reason=shed", "status=503"):
        assert part in line


class FakeStatsdClient:
    """Collects the values sent through a statsd pipeline."""

    def __init__(self) -> None:
        self.lines: dict[str, float] = {}

    def __enter__(self) -> "FakeStatsdClient":
        return self

    def __exit__(self, *exc: object) -> None:
        pass

    def pipeline(self) -> "FakeStatsdClient":
        return self

    def incr(self, name: str, count: int) -> None:
        self.lines[name] = count

    def gauge(self, name: str, value: float) -> None:
        self.lines[name] = value


def test_statsd_values_are_aggregated_between_flushes() -> None:
    client = FakeStatsdClient()
    reporter = StatsdReporter(client)
    for number in range(100):
        reporter.add("court status", "urgent", "answered", "", 1.0 + number)
    reporter.add("court status", "urgent", "not-run", "shed", 0.0)
    assert client.lines == {}
    reporter.flush()
    name = "court_status.urgent"
    assert client.lines[f"{name}.answered"] == 100
    assert client.lines[f"{name}.reason.shed"] == 1
    assert client.lines[f"{name}.duration_p50_ms"] == pytest.approx(50, rel=0.05)
    client.lines.clear()
    reporter.flush()
    assert client.lines == {}


def test_rate_limit_applies_per_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a log volume that grows with the load."""
    now_s = 0.0
    lines: list[tuple[str, dict[str, object]]] = []

    def write(event: str, *, level: int = 0, **fields: object) -> None:
        lines.append((event, fields))

    monkeypatch.setattr("berylmast.telemetry.logs.log_event", write)
    limiter = EventRateLimiter(5.0, lambda: now_s)
    for number in range(100):
        limiter.write("overloaded", "refused", number=number)
    limiter.write("draining", "refused", number=100)
    assert [fields["number"] for _, fields in lines] == [0, 1, 2, 3, 4, 100]
    now_s = 1.0
    limiter.write("overloaded", "refused", number=101)
    assert lines[-2] == (
        "left_out",
        {"of": "refused", "key": "overloaded", "count": 95},
    )


def test_full_log_queue_drops_records() -> None:
    handler = BoundedHandler(queue.Queue(2))
    for _ in range(5):
        handler.emit(logging.makeLogRecord({"msg": "request"}))
    assert handler.dropped == 3


@pytest.mark.parametrize("copies", [0, 1])
def test_copy_is_logged_only_where_there_was_one(
    copies: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against log lines that change where no copies are sent."""
    caplog.set_level(logging.INFO, "berylmast")
    entry = RequestLogEntry(
        request="r1",
        service="orders",
        priority="0",
        tenant="",
        backend="b2",
        attempts=1 + copies,
        outcome="answered",
        reason="",
        status=200,
        duration_ms=1.0,
        copies=copies,
        copy_attempt="e1/1/2" if copies else "",
        copy_result="won" if copies else "",
    )
    RequestRecorder(None).record_request(entry)
    names = {"copies", "copy_attempt", "copy_result"}
    logged = vars(caplog.records[0])
    assert names & set(logged) == (names if copies else set())
    if copies:
        assert (logged["copy_attempt"], logged["copy_result"]) == ("e1/1/2", "won")

"""Guards against metrics that can't be parsed or have wrong values."""

from prometheus_client.parser import text_string_to_metric_families

from ..metrics import Counter, Gauge, make_metrics_renderer
from ..request_recorder import RequestLogEntry, RequestRecorder


def make_log(outcome: str, reason: str, duration_ms: float) -> RequestLogEntry:
    return RequestLogEntry(
        request="r1",
        service="orders",
        priority="0",
        tenant="",
        backend="b1",
        attempts=1,
        outcome=outcome,
        reason=reason,
        status=200,
        duration_ms=duration_ms,
    )


def test_counters_and_buckets_are_read_back() -> None:
    recorder = RequestRecorder(None)
    for duration_ms in (3.0, 40.0, 40.0, 700.0):
        recorder.record_request(make_log("answered", "", duration_ms))
    recorder.record_request(make_log("not-run", "overloaded", 1.0))
    values: list[Gauge | Counter] = [
        Gauge("store_up", "up", 1),
        Counter("store_calls", "calls", 7),
        Counter("copies_ended", "copies", 3, (("result", "won"),)),
        Counter("copies_ended", "copies", 4, (("result", "lost"),)),
    ]
    text = make_metrics_renderer(recorder, lambda: values)().decode()
    samples = {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }
    orders = (("priority", "0"), ("service", "orders"))
    answered = (("outcome", "answered"), orders[0], ("reason", ""), orders[1])
    assert samples["berylmast_requests_total", answered] == 4
    name = "berylmast_request_duration_seconds"
    assert samples[f"{name}_count", orders] == 5
    assert samples[f"{name}_bucket", (("le", "0.05"), *orders)] == 4
    assert samples[f"{name}_bucket", (("le", "+Inf"), *orders)] == 5
    assert 0.75 < samples[f"{name}_sum", orders] < 0.82
    assert samples["berylmast_store_up", ()] == 1
    assert samples["berylmast_store_calls_total", ()] == 7
    assert samples["berylmast_copies_ended_total", (("result", "won"),)] == 3
    assert samples["berylmast_copies_ended_total", (("result", "lost"),)] == 4

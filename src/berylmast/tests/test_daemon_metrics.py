"""Guards against copies of late requests that the metrics miscount or mislabel."""

from prometheus_client.parser import text_string_to_metric_families

from ..daemon_metrics import _read_hedging
from ..limits.hedging import CopyResult, Hedging, UnsentReason
from ..telemetry import RequestRecorder, make_metrics_renderer


def test_copies_are_counted_by_result_and_reason() -> None:
    hedging = Hedging(0.1, lambda _times, _extra_ratio: 0.25)
    hedging.spend("s")
    hedging.results[CopyResult.WON] += 1
    hedging.unsent[UnsentReason.BUDGET] += 2
    hedging.record_time("s r", 0.1, 0.0)
    hedging.get_delay_s("s r", 0.0)
    render = make_metrics_renderer(
        RequestRecorder(None), lambda: _read_hedging(hedging)
    )
    samples = {
        (sample.name.removeprefix("berylmast_"), *sample.labels.values()): sample.value
        for family in text_string_to_metric_families(render().decode())
        for sample in family.samples
    }
    assert samples["copies_sent_total",] == 1
    assert samples["copies_ended_total", "won"] == 1
    assert samples["copies_ended_total", "lost"] == 0
    assert samples["copies_not_sent_total", "budget"] == 2
    assert samples["copy_delay_seconds", "s r"] == 0.25

"""Counters and latency histograms in the Prometheus text exposition format.

The Prometheus library is imported on the first scrape, so that it costs no startup time
and no memory in a daemon that is never scraped.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from .histograms import BUCKETS_MS
from .request_recorder import RequestRecorder

METRIC_PREFIX = "berylmast"


@dataclass(frozen=True, slots=True)
class Gauge:
    """A current value; ``help`` states its meaning and unit.

    ``labels`` are names and values. Values with one name have the same label names.
    """

    name: str
    help: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Counter:
    """A count since startup; ``help`` states what is counted.

    ``labels`` are as those of a Gauge.
    """

    name: str
    help: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


ReadValues = Callable[[], list[Gauge | Counter]]


def make_metrics_renderer(
    recorder: RequestRecorder, read_values: ReadValues
) -> Callable[[], bytes]:
    """Return a function that renders all metrics as text."""

    def render() -> bytes:
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(recorder, read_values))
        text: bytes = generate_latest(registry)
        return text

    return render


class _Collector:
    def __init__(self, recorder: RequestRecorder, read_values: ReadValues) -> None:
        self._recorder = recorder
        self._read_values = read_values

    def collect(self) -> Iterator[Any]:
        """Yield all metric families."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        labels = ["service", "priority", "outcome", "reason"]
        requests = CounterMetricFamily(
            f"{METRIC_PREFIX}_requests", "Requests of callers that ended", labels=labels
        )
        for key, count in sorted(self._recorder.list_counts().items()):
            requests.add_metric(key, count)
        yield requests
        latencies = HistogramMetricFamily(
            f"{METRIC_PREFIX}_request_duration_seconds",
            "Time from a request to its answer or error",
            labels=["service", "priority"],
        )
        for item in self._recorder.list_latency_buckets():
            pairs = zip(BUCKETS_MS, item.counts, strict=True)
            buckets = [(str(bound_ms / 1000), n) for bound_ms, n in pairs]
            buckets.append(("+Inf", item.total))
            latencies.add_metric(
                [item.service, item.priority], buckets, item.sum_ms / 1000
            )
        yield latencies
        families: dict[str, Any] = {}
        for value in self._read_values():
            family = families.get(value.name)
            if family is None:
                is_counter = isinstance(value, Counter)
                make_family = CounterMetricFamily if is_counter else GaugeMetricFamily
                family = families[value.name] = make_family(
                    f"{METRIC_PREFIX}_{value.name}",
                    value.help,
                    labels=[name for name, _ in value.labels],
                )
            family.add_metric([text for _, text in value.labels], value.value)
        yield from families.values()

"""Latency histograms per service, priority and tenant, with a bounded tenant count."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2

MAX_TENANTS = 100
"""Callers choose the tenant header, so tenants beyond this share ``OTHER_TENANTS``."""

OTHER_TENANTS = "(other)"


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """Percentiles of one histogram in milliseconds."""

    service: str
    priority: str
    tenant: str
    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 15_000)
"""Upper bounds of the buckets of the exported latency histogram."""


@dataclass(frozen=True, slots=True)
class LatencyBuckets:
    """Latency distribution of one service and priority.

    ``counts`` holds the cumulative count for each bound in ``BUCKETS_MS``, ``total``
    the number of all latencies.
    """

    service: str
    priority: str
    counts: tuple[int, ...]
    total: int
    sum_ms: float


class LatencyHistograms:
    """Latency histograms by service, priority and tenant."""

    def __init__(self) -> None:
        self._tenants: set[str] = set()
        self._histograms: dict[tuple[str, str, str], HdrHistogram] = {}

    def record(
        self, service: str, priority: str, tenant: str, latency_ms: float
    ) -> None:
        """Record one latency, clamped to the range of the histogram."""
        key = (service, priority, self._get_tenant_label(tenant))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        latency_us = int(latency_ms * 1000)
        histogram.record_value(min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US))

    def summarize(self) -> list[LatencySummary]:
        """Return a summary per histogram, sorted by service, priority and tenant."""
        return [_summarize(key, self._histograms[key]) for key in self._sorted_keys()]

    def list_buckets(self) -> list[LatencyBuckets]:
        """Return the buckets by service and priority, summed over all tenants."""
        merged_histograms: dict[tuple[str, str], HdrHistogram] = {}
        for (service, priority, _), histogram in self._histograms.items():
            merged = merged_histograms.get((service, priority))
            if merged is None:
                merged = HdrHistogram(
                    MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                )
                merged_histograms[service, priority] = merged
            merged.add(histogram)
        return [
            _count_buckets(key, merged_histograms[key])
            for key in sorted(merged_histograms)
        ]

    def _sorted_keys(self) -> list[tuple[str, str, str]]:
        return sorted(self._histograms)

    def _get_tenant_label(self, tenant: str) -> str:
        if tenant in self._tenants:
            return tenant
        if len(self._tenants) >= MAX_TENANTS:
            return OTHER_TENANTS
        self._tenants.add(tenant)
        return tenant


def _count_buckets(key: tuple[str, str], histogram: HdrHistogram) -> LatencyBuckets:
    counts = [0] * len(BUCKETS_MS)
    sum_us = 0
    for item in histogram.get_recorded_iterator():
        sum_us += item.value_iterated_to * item.count_added_in_this_iter_step
        for index, bound_ms in enumerate(BUCKETS_MS):
            if item.value_iterated_to <= bound_ms * 1000:
                counts[index] += item.count_added_in_this_iter_step
    total: int = histogram.get_total_count()
    return LatencyBuckets(*key, tuple(counts), total, sum_us / 1000)


def _summarize(key: tuple[str, str, str], histogram: HdrHistogram) -> LatencySummary:
    def read_ms(percentile: float) -> float:
        value: int = histogram.get_value_at_percentile(percentile)
        return value / 1000

    return LatencySummary(
        *key,
        count=histogram.get_total_count(),
        p50_ms=read_ms(50),
        p90_ms=read_ms(90),
        p99_ms=read_ms(99),
        p999_ms=read_ms(99.9),
        max_ms=histogram.get_max_value() / 1000,
    )

"""Latency histograms per service, priority and tenant, bounded in number."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2

MAX_TENANTS = 100
"""Tenants come from a header of callers; further ones share OTHER_TENANTS."""

OTHER_TENANTS = "(other)"


@dataclass(frozen=True, slots=True)
class Summary:
    """Percentiles of one histogram; latencies in milliseconds."""

    service: str
    priority: str
    tenant: str
    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Histograms:
    """One histogram of latencies for each service, priority and tenant."""

    def __init__(self) -> None:
        self._tenants: set[str] = set()
        self._histograms: dict[tuple[str, str, str], HdrHistogram] = {}

    def record(
        self, service: str, priority: str, tenant: str, latency_ms: float
    ) -> None:
        """Count one latency; one out of range counts as the nearest in range."""
        key = (service, priority, self._bound_tenant(tenant))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        latency_us = int(latency_ms * 1000)
        histogram.record_value(min(max(latency_us, LOWEST_US), HIGHEST_US))

    def summarise(self) -> list[Summary]:
        """Return one summary per histogram, sorted by service, priority, tenant."""
        return [_summarise(key, self._histograms[key]) for key in self._sorted_keys()]

    def _sorted_keys(self) -> list[tuple[str, str, str]]:
        return sorted(self._histograms)

    def _bound_tenant(self, tenant: str) -> str:
        if tenant in self._tenants:
            return tenant
        if len(self._tenants) >= MAX_TENANTS:
            return OTHER_TENANTS
        self._tenants.add(tenant)
        return tenant


def _summarise(key: tuple[str, str, str], histogram: HdrHistogram) -> Summary:
    def read_ms(percentile: float) -> float:
        value: int = histogram.get_value_at_percentile(percentile)
        return value / 1000

    return Summary(
        *key,
        count=histogram.get_total_count(),
        p50_ms=read_ms(50),
        p90_ms=read_ms(90),
        p99_ms=read_ms(99),
        p999_ms=read_ms(99.9),
        max_ms=histogram.get_max_value() / 1000,
    )

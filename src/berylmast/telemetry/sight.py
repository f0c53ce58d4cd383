"""Counters, timings and histograms of the requests of this entry."""

from dataclasses import asdict, dataclass

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from ..settings import Address
from .logs import log_event

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 2


@dataclass(frozen=True, slots=True)
class RequestLog:
    """All that an on-call engineer needs of one request."""

    request: str
    service: str
    priority: str
    tenant: str
    backend: str
    attempts: int
    outcome: str
    reason: str
    status: int
    duration_ms: float


class Sight:
    """Records requests; one histogram per service, priority and tenant."""

    def __init__(self, statsd: Address | None, *, log_requests: bool = True) -> None:
        self._statsd = (
            None
            if statsd is None
            else StatsClient(statsd.host, statsd.port, "berylmast")
        )
        self._log_requests = log_requests
        self._histograms: dict[tuple[str, str, str], HdrHistogram] = {}
        self._counts: dict[tuple[str, str, str], int] = {}

    def record_request(self, entry: RequestLog) -> None:
        """Log a finished request and count it."""
        key = (entry.service, entry.priority, entry.tenant)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(max(1, int(entry.duration_ms * 1000)))
        count = (entry.service, entry.priority, entry.outcome)
        self._counts[count] = self._counts.get(count, 0) + 1
        if self._statsd is not None:
            name = f"{entry.service}.{entry.priority}"
            self._statsd.incr(f"{name}.{entry.outcome}")
            self._statsd.timing(name, entry.duration_ms)
        if self._log_requests:
            log_event("request", **asdict(entry))

    def summarise(self) -> dict[str, object]:
        """Return counts and percentiles in milliseconds, for operators."""
        histograms = [
            {
                "service": service,
                "priority": priority,
                "tenant": tenant,
                "count": histogram.get_total_count(),
                "p50_ms": histogram.get_value_at_percentile(50) / 1000,
                "p99_ms": histogram.get_value_at_percentile(99) / 1000,
            }
            for (service, priority, tenant), histogram in self._histograms.items()
        ]
        counts = [
            {"service": s, "priority": p, "outcome": o, "count": n}
            for (s, p, o), n in self._counts.items()
        ]
        return {"histograms": histograms, "counts": counts}

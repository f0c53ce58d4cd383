"""Counters, timings, histograms and log lines of the requests of this entry."""

from collections import Counter
from dataclasses import asdict, dataclass, fields

from .histograms import Histograms
from .logs import log_event
from .statsd_report import StatsdReport


@dataclass(frozen=True, slots=True)
class RequestLog:
    """All that an on-call engineer needs of one request, in one line."""

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


_LOG_FIELDS = tuple(field.name for field in fields(RequestLog))


class Sight:
    """Records every finished request of this entry."""

    def __init__(self, statsd: StatsdReport | None) -> None:
        self._statsd = statsd
        self._histograms = Histograms()
        self._counts: Counter[tuple[str, str, str, str]] = Counter()

    def record_request(self, entry: RequestLog) -> None:
        """Log a finished request and count it."""
        self._histograms.record(
            entry.service, entry.priority, entry.tenant, entry.duration_ms
        )
        key = (entry.service, entry.priority, entry.outcome, entry.reason)
        self._counts[key] += 1
        if self._statsd is not None:
            self._statsd.add(
                entry.service,
                entry.priority,
                entry.outcome,
                entry.reason,
                entry.duration_ms,
            )
        log_event("request", **{name: getattr(entry, name) for name in _LOG_FIELDS})

    def summarise_counts(self) -> list[dict[str, object]]:
        """Return the number of requests by service, priority, outcome and reason."""
        return [
            {
                "service": service,
                "priority": priority,
                "outcome": outcome,
                "reason": reason,
                "count": count,
            }
            for (service, priority, outcome, reason), count in sorted(
                self._counts.items()
            )
        ]

    def summarise_histograms(self) -> list[dict[str, object]]:
        """Return the percentiles by service, priority and tenant."""
        return [asdict(summary) for summary in self._histograms.summarise()]

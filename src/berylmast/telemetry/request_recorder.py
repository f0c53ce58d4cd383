"""Counts, latencies and log lines of the callers' requests to this daemon."""

from collections import Counter
from dataclasses import asdict, dataclass, fields

from .histograms import LatencyBuckets, LatencyHistograms
from .logs import EventRateLimiter
from .statsd_reporter import StatsdReporter

ANSWERED = "answered"
ROUTINE_LINES_PER_S = 5.0
"""Maximum rate of log lines for requests answered at the first attempt."""

NOTABLE_LINES_PER_S = 20.0
"""Maximum rate of log lines per failure reason and for requests answered by a retry."""


@dataclass(frozen=True, slots=True)
class RequestLogEntry:
    """Fields of the log line of one request.

    ``version`` is the configuration version and ``deadline_ms`` the caller's timeout.
    ``attempts`` counts the owners that were tried, ``sent`` the backend servers that
    may have run the request. ``load_age_ms`` is the age of the load report by which the
    last backend server was chosen, -1 if there was none. ``copies`` counts the second
    copies among the attempts; ``copy_attempt`` is the attempt id of the copy,
    ``copy_result`` how it ended. These three are logged only if there was a copy.
    """

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
    version: int = 0
    deadline_ms: int = 0
    sent: int = 0
    load_age_ms: float = -1.0
    copies: int = 0
    copy_attempt: str = ""
    copy_result: str = ""


_COPY_FIELDS = frozenset({"copies", "copy_attempt", "copy_result"})
_LOG_FIELDS_WITH_COPY = tuple(field.name for field in fields(RequestLogEntry))
_LOG_FIELDS = tuple(name for name in _LOG_FIELDS_WITH_COPY if name not in _COPY_FIELDS)


class RequestRecorder:
    """Records every finished request from callers of this daemon."""

    def __init__(self, statsd: StatsdReporter | None) -> None:
        self._statsd = statsd
        self._histograms = LatencyHistograms()
        self._counts: Counter[tuple[str, str, str, str]] = Counter()
        self._routine_limiter = EventRateLimiter(ROUTINE_LINES_PER_S)
        self._notable_limiter = EventRateLimiter(NOTABLE_LINES_PER_S)

    def record_request(self, entry: RequestLogEntry) -> None:
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
        is_routine = entry.outcome == ANSWERED and entry.attempts <= 1
        limiter = self._routine_limiter if is_routine else self._notable_limiter
        limit_key = entry.outcome if entry.outcome == ANSWERED else entry.reason
        names = _LOG_FIELDS_WITH_COPY if entry.copies else _LOG_FIELDS
        fields = {name: getattr(entry, name) for name in names}
        limiter.write(limit_key, "request", **fields)

    def export_counts(self) -> list[dict[str, object]]:
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

    def export_percentiles(self) -> list[dict[str, object]]:
        """Return the latency percentiles by service, priority and tenant."""
        return [asdict(summary) for summary in self._histograms.summarize()]

    def list_counts(self) -> dict[tuple[str, str, str, str], int]:
        """Return the number of requests by service, priority, outcome and reason."""
        return dict(self._counts)

    def list_latency_buckets(self) -> list[LatencyBuckets]:
        """Return the cumulative latency buckets by service and priority."""
        return self._histograms.list_buckets()

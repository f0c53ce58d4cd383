"""Counters, timings, histograms and log lines of the requests of this entry."""

from collections import Counter
from dataclasses import asdict, dataclass, fields

from statsd import StatsClient

from ..settings import Address
from .histograms import Histograms
from .logs import log_event

STATSD_PREFIX = "berylmast"


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

    def __init__(self, statsd: Address | None) -> None:
        self._statsd = (
            None
            if statsd is None
            else StatsClient(statsd.host, statsd.port, STATSD_PREFIX)
        )
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
            self._send_statsd(self._statsd, entry)
        log_event("request", **{name: getattr(entry, name) for name in _LOG_FIELDS})

    def _send_statsd(self, client: StatsClient, entry: RequestLog) -> None:
        name = f"{_clean(entry.service)}.{_clean(entry.priority)}"
        with client.pipeline() as pipe:
            pipe.incr(f"{name}.{entry.outcome}")
            if entry.reason:
                pipe.incr(f"{name}.reason.{entry.reason}")
            pipe.timing(f"{name}.duration", entry.duration_ms)

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


def _clean(name: str) -> str:
    """Replace the characters that separate parts of a statsd line."""
    return "".join(c if c.isalnum() or c in "-_" else "_" for c in name)

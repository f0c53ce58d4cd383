"""This entry's estimate of the load of each backend server."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field, replace
from statistics import fmean, median

from ..errors import ErrorKind
from ..limits.rate_limiter import RateLimiter
from ..model import AttemptResult, Endpoint, LoadReport
from .policies import Candidate

REPORT_HALF_LIFE_S = 0.5
"""The number of requests in flight changes within a few service times, so the weight of
a report falls quickly."""

MAX_REPORT_AGE_S = 2.0
MAX_DRAINING_AGE_S = 2.0
"""Age in seconds beyond which a report does not exclude a draining backend server. By
then its record states that it drains, and an owner that still drains refuses what it
gets."""

MAX_REQUESTS_PER_REPORT = 16
"""Number of requests sent after a report before the report is ignored: by then the
requests sent because of it have changed the load."""

LATENCY_HALF_LIFE_S = 2.5
"""Half-life of a latency estimate that no new result has changed.

It decays towards the median latency, so that a backend server that was slow and has
recovered gets requests again. One that is still slow gets only a few requests in ten
seconds.
"""

ERROR_HALF_LIFE_S = 5.0
ERROR_EWMA_WEIGHT = 0.2
DEFAULT_LATENCY_MS = 1.0
_OVERDUE_DIVISOR = 2.0
"""The latency estimate is at least the age of the oldest request divided by this.

A request that has run for more than twice the usual latency thus reveals a slow backend
server long before its response arrives.
"""

MIN_SHARE_PER_S = 0.2
"""Rate at which an entry still tries a limited server, so that it learns when the limit
ends. The owner refuses what exceeds the limit."""

_ERROR_KINDS = frozenset(
    {
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.PEER_LOST,
        ErrorKind.BACKEND_UNREACHABLE,
        ErrorKind.BACKEND_CUT,
        ErrorKind.ANSWER_CUT,
        ErrorKind.DEADLINE_UNKNOWN,
        ErrorKind.INTERNAL,
    }
)


def is_error(result: AttemptResult) -> bool:
    """Return whether an attempt counts as an error of the backend server.

    A refusal because of overload or draining does not count. A response with a 5xx
    status does.
    """
    if result.status is not None and result.status >= 500:
        return True
    return result.kind in _ERROR_KINDS


@dataclass(slots=True)
class _LoadEntry:
    report: LoadReport | None = None
    owner_incarnation: int | None = None
    report_received_s: float = 0.0
    latency_changed_s: float = 0.0
    requests_since_report: int = 0
    last_chosen: int = 0
    start_times_s: list[float] = field(default_factory=list)
    error_rate: float = 0.0
    error_updated_s: float = 0.0
    rate_share: RateLimiter = field(
        default_factory=lambda: RateLimiter(MIN_SHARE_PER_S)
    )

    def get_report_weight(self, now_s: float) -> float:
        """Return the weight of the report in the load estimate, from 0 to 1."""
        age_s = now_s - self.report_received_s
        if self.report is None or age_s >= MAX_REPORT_AGE_S:
            return 0.0
        if self.requests_since_report >= MAX_REQUESTS_PER_REPORT:
            return 0.0
        return _decay(age_s, REPORT_HALF_LIFE_S)

    def get_error_rate(self, now_s: float) -> float:
        """Return the larger of this entry's error ratio and the reported one.

        Both decay with the time since they last changed.
        """
        observed = reported = 0.0
        if self.error_rate:
            observed = self.error_rate * _decay(
                now_s - self.error_updated_s, ERROR_HALF_LIFE_S
            )
        if self.report is not None and self.report.error_rate:
            age_s = now_s - self.latency_changed_s
            reported = self.report.error_rate * _decay(age_s, ERROR_HALF_LIFE_S)
        return max(observed, reported)


def _decay(age_s: float, half_life_s: float) -> float:
    return math.exp2(-max(0.0, age_s) / half_life_s)


class LoadTable:
    """Load reports, this entry's requests in flight and errors per backend server."""

    def __init__(self) -> None:
        self._loads: dict[str, _LoadEntry] = {}
        self._request_count = 0

    def record_start(self, backend: str, now_s: float) -> None:
        """Record that this entry sends a request to a backend server."""
        load = self._get_or_create(backend)
        self._request_count += 1
        load.last_chosen = self._request_count
        load.requests_since_report += 1
        load.start_times_s.append(now_s)
        load.rate_share.record_start(now_s)

    def record_result(self, backend: str, result: AttemptResult, now_s: float) -> None:
        """Record the end of a request that ``record_start`` recorded."""
        load = self._get_or_create(backend)
        if load.start_times_s:
            started_s = now_s - result.latency_s
            load.start_times_s.remove(
                min(load.start_times_s, key=lambda s: abs(s - started_s))
            )
        # A refusal because of load, or a request cancelled by its caller, says nothing
        # about the health of the backend server.
        if not result.ok and not is_error(result):
            return
        observed = load.error_rate * _decay(
            now_s - load.error_updated_s, ERROR_HALF_LIFE_S
        )
        load.error_rate = observed + ERROR_EWMA_WEIGHT * (is_error(result) - observed)
        load.error_updated_s = now_s

    def record_load(
        self, report: LoadReport, now_s: float, owner_incarnation: int | None = None
    ) -> None:
        """Store a report unless the stored one is newer or the same.

        ``owner_incarnation`` is the incarnation of the daemon that sent the report. Its
        sequence numbers start again when it restarts beside a running backend server.
        """
        load = self._get_or_create(report.backend)
        last_report = load.report
        if last_report is not None:
            if last_report.incarnation > report.incarnation:
                return
            same_sequence = (
                last_report.incarnation == report.incarnation
                and load.owner_incarnation == owner_incarnation
            )
            if same_sequence and last_report.seq >= report.seq:
                return
        if last_report is not None and last_report.incarnation != report.incarnation:
            load.error_rate = 0.0
        # An unchanged latency estimate means that no request has ended since the last
        # report, so the estimate is as old as before.
        if last_report is None or last_report.latency_ms != report.latency_ms:
            load.latency_changed_s = now_s
        load.rate_share.set_rate(report.rate_share, now_s)
        load.report = report
        load.owner_incarnation = owner_incarnation
        load.report_received_s = now_s
        load.requests_since_report = 0

    def reset_errors(self, backend: str) -> None:
        """Reset the error ratio of a backend server after readmission or a restart."""
        self._get_or_create(backend).error_rate = 0.0

    def is_draining(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether the endpoint's incarnation has just reported that it drains.

        Reports come with responses, so an excluded backend server sends no newer one,
        also after its owner has restarted.
        """
        load = self._get_or_create(endpoint.backend)
        report = load.report
        if report is None or report.incarnation < endpoint.incarnation:
            return False
        return report.draining and now_s - load.report_received_s < MAX_DRAINING_AGE_S

    def get_rate_limit(self, endpoint: Endpoint) -> float | None:
        """Return the last known rate limit of the endpoint's incarnation, if any."""
        report = self._get_or_create(endpoint.backend).report
        if report is None or report.incarnation != endpoint.incarnation:
            return None
        return report.rate_limit

    def has_free_slot(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether a fresh report states a free slot and no limit.

        The requests that this entry has sent since the report count as slots in use. A
        report of another incarnation is ignored.
        """
        load = self._get_or_create(endpoint.backend)
        report = load.report
        if report is None or report.incarnation != endpoint.incarnation:
            return False
        if report.draining or report.backend_leaving or report.rate_limit is not None:
            return False
        if now_s - load.report_received_s >= MAX_REPORT_AGE_S:
            return False
        sent_since_report = sum(s >= load.report_received_s for s in load.start_times_s)
        return report.in_flight + report.queued + sent_since_report < report.limit

    def estimate_use(self, endpoints: Sequence[Endpoint], now_s: float) -> float:
        """Return requests per slot over all fresh reports, 0 without any."""
        used = slots = 0
        for endpoint in endpoints:
            load = self._get_or_create(endpoint.backend)
            if load.report and now_s - load.report_received_s < MAX_REPORT_AGE_S:
                used += load.report.in_flight + load.report.queued
                slots += load.report.limit
        return used / slots if slots else 0.0

    def get_median_full_slowdown(self) -> float:
        """Return the median ``full_slowdown`` that owners report, 0.0 if none does."""
        slowdowns = [
            load.report.full_slowdown
            for load in self._loads.values()
            if load.report is not None and load.report.full_slowdown
        ]
        return median(slowdowns or [0.0])

    def get_report_age_s(self, backend: str, now_s: float) -> float:
        """Return the age in seconds of the last report, infinity if there is none."""
        load = self._get_or_create(backend)
        return (
            now_s - load.report_received_s if load.report is not None else float("inf")
        )

    def count_own_in_flight(self, backend: str) -> int:
        """Return the number of this entry's requests in flight to a backend server."""
        return len(self._get_or_create(backend).start_times_s)

    def copy_subset(self, backends: Collection[str]) -> "LoadTable":
        """Return an independent copy that covers only the given backend servers."""
        other = LoadTable()
        other._request_count = self._request_count
        other._loads = {
            backend: replace(load, start_times_s=list(load.start_times_s))
            for backend, load in self._loads.items()
            if backend in backends
        }
        return other

    def prune(self, backends: frozenset[str]) -> None:
        """Delete the entries of backend servers not in the given set.

        Those with requests in flight are kept.
        """
        for backend in [b for b in self._loads if b not in backends]:
            if not self._loads[backend].start_times_s:
                del self._loads[backend]

    def make_candidates(
        self, endpoints: Sequence[Endpoint], now_s: float
    ) -> list[Candidate]:
        """Return the endpoints with their estimated load.

        For an endpoint without a usable report, the mean number of requests in flight
        and the median latency of the others are assumed.
        """
        loads = [self._get_or_create(endpoint.backend) for endpoint in endpoints]
        reports = [
            x.report for x in loads if x.report and x.get_report_weight(now_s) > 0
        ]
        mean_in_flight = (
            fmean([r.in_flight + r.queued for r in reports]) if reports else 0.0
        )
        latencies = [x.report.latency_ms for x in loads if x.report is not None]
        median_ms = max(median(latencies or [0.0]), DEFAULT_LATENCY_MS)
        return [
            _make_candidate(endpoint, load, mean_in_flight, median_ms, now_s)
            for endpoint, load in zip(endpoints, loads, strict=True)
        ]

    def _get_or_create(self, backend: str) -> _LoadEntry:
        load = self._loads.get(backend)
        if load is None:
            load = self._loads[backend] = _LoadEntry()
        return load


def _make_candidate(
    endpoint: Endpoint,
    load: _LoadEntry,
    mean_in_flight: float,
    median_ms: float,
    now_s: float,
) -> Candidate:
    own_in_flight = len(load.start_times_s)
    error_rate = load.get_error_rate(now_s)
    oldest_age_s = now_s - load.start_times_s[0] if load.start_times_s else 0.0
    report = load.report
    if report is not None and report.draining:
        # It says nothing of the load once the backend server accepts requests again.
        report = None
    if report is None:
        in_flight, latency_ms, limit = (
            max(mean_in_flight, own_in_flight),
            median_ms,
            1_000,
        )
    else:
        report_weight = load.get_report_weight(now_s)
        sent_since_report = sum(
            1 for start_s in load.start_times_s if start_s >= load.report_received_s
        )
        reported = report.in_flight + report.queued
        in_flight = max(
            report_weight * reported
            + (1 - report_weight) * mean_in_flight
            + sent_since_report,
            own_in_flight,
        )
        latency_weight = _decay(now_s - load.latency_changed_s, LATENCY_HALF_LIFE_S)
        latency_ms = (
            latency_weight * report.latency_ms + (1 - latency_weight) * median_ms
        )
        limit = max(1, report.limit)
    if error_rate > 0:
        # A backend server that fails immediately reports a low latency.
        latency_ms = max(latency_ms, median_ms)
    return Candidate(
        endpoint=endpoint,
        in_flight=in_flight,
        own=own_in_flight,
        latency_ms=max(latency_ms, oldest_age_s * 1000 / _OVERDUE_DIVISOR),
        report_age_s=now_s - load.report_received_s
        if load.report is not None
        else float("inf"),
        limit=limit,
        error_rate=error_rate,
        last_chosen=load.last_chosen,
        slowdown=report.slowdown if report is not None else 1.0,
        rate_wait_ms=load.rate_share.get_wait_s(now_s) * 1000,
    )

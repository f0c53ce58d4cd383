"""This entry's estimate of the load of each backend server."""

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field, replace
from statistics import fmean, median

from ..errors import ErrorKind
from ..model import AttemptResult, Endpoint, LoadReport
from .policies import Candidate

REPORT_HALF_LIFE_S = 0.5
"""The number of requests in flight changes within a few service times, so the weight of
a report falls quickly."""

MAX_REPORT_AGE_S = 2.0
MAX_REPORT_USES = 16
"""Number of requests sent after a report before the report is ignored: by then the
requests sent because of it have changed the load."""

LATENCY_HALF_LIFE_S = 2.5
"""Half-life of a latency estimate that no new result has changed.

It decays towards the median latency, so that a backend server that was slow and has
recovered gets requests again. One that is still slow gets only a few requests in ten
seconds.
"""

ERROR_HALF_LIFE_S = 5.0
ERROR_WEIGHT = 0.2
DEFAULT_LATENCY_MS = 1.0
_OVERDUE_DIVISOR = 2.0
"""The latency estimate is at least the age of the oldest request divided by this.

A request that has run for more than twice the usual latency thus reveals a slow backend
server long before its answer arrives.
"""

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

    A refusal because of overload or draining does not count. An answer with a 5xx
    status does.
    """
    if result.status is not None and result.status >= 500:
        return True
    return result.kind in _ERROR_KINDS


@dataclass(slots=True)
class _Load:
    report: LoadReport | None = None
    received_s: float = 0.0
    latency_changed_s: float = 0.0
    uses: int = 0
    last_chosen: int = 0
    starts: list[float] = field(default_factory=list)
    error_rate: float = 0.0
    error_s: float = 0.0

    def get_weight(self, now_s: float) -> float:
        """Return the weight of the report in the load estimate, from 0 to 1."""
        age_s = now_s - self.received_s
        if self.report is None or age_s >= MAX_REPORT_AGE_S:
            return 0.0
        if self.uses >= MAX_REPORT_USES:
            return 0.0
        return _decay(age_s, REPORT_HALF_LIFE_S)

    def get_error_rate(self, now_s: float) -> float:
        """Return the larger of this entry's error ratio and the reported one.

        Both decay with the time since they last changed.
        """
        seen = reported = 0.0
        if self.error_rate:
            seen = self.error_rate * _decay(now_s - self.error_s, ERROR_HALF_LIFE_S)
        if self.report is not None and self.report.error_rate:
            age_s = now_s - self.latency_changed_s
            reported = self.report.error_rate * _decay(age_s, ERROR_HALF_LIFE_S)
        return max(seen, reported)


def _decay(age_s: float, half_life_s: float) -> float:
    return math.exp2(-max(0.0, age_s) / half_life_s)


class LoadTable:
    """Load reports, this entry's requests in flight and errors per backend server."""

    def __init__(self) -> None:
        self._loads: dict[str, _Load] = {}
        self._turn = 0

    def record_start(self, backend: str, now_s: float) -> None:
        """Record that this entry sends a request to a backend server."""
        load = self._get(backend)
        self._turn += 1
        load.last_chosen = self._turn
        load.uses += 1
        load.starts.append(now_s)

    def record_result(self, backend: str, result: AttemptResult, now_s: float) -> None:
        """Record the end of a request that ``record_start`` recorded."""
        load = self._get(backend)
        if load.starts:
            started_s = now_s - result.latency_s
            load.starts.remove(min(load.starts, key=lambda s: abs(s - started_s)))
        # A refusal because of load, or a request cancelled by its caller, says nothing
        # about the health of the backend server.
        if not result.ok and not is_error(result):
            return
        seen = load.error_rate * _decay(now_s - load.error_s, ERROR_HALF_LIFE_S)
        load.error_rate = seen + ERROR_WEIGHT * (is_error(result) - seen)
        load.error_s = now_s

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Store a report unless the stored one is newer or the same."""
        load = self._get(report.backend)
        known = load.report
        if known is not None and (known.incarnation, known.seq) >= (
            report.incarnation,
            report.seq,
        ):
            return
        if known is not None and known.incarnation != report.incarnation:
            load.error_rate = 0.0
        # An unchanged latency estimate means that no request has ended since the last
        # report, so the estimate is as old as before.
        if known is None or known.latency_ms != report.latency_ms:
            load.latency_changed_s = now_s
        load.report = report
        load.received_s = now_s
        load.uses = 0

    def forgive(self, backend: str) -> None:
        """Reset the error ratio of a backend server after readmission or a restart."""
        self._get(backend).error_rate = 0.0

    def is_draining(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's incarnation has reported that it drains."""
        report = self._get(endpoint.backend).report
        if report is None or report.incarnation < endpoint.incarnation:
            return False
        return report.draining

    def get_usual_full_slowdown(self) -> float:
        """Return the median ``full_slowdown`` that owners report, 0.0 if none does."""
        found = [
            load.report.full_slowdown
            for load in self._loads.values()
            if load.report is not None and load.report.full_slowdown
        ]
        return median(found or [0.0])

    def get_age(self, backend: str, now_s: float) -> float:
        """Return the age in seconds of the last report, infinity if there is none."""
        load = self._get(backend)
        return now_s - load.received_s if load.report is not None else float("inf")

    def count_own(self, backend: str) -> int:
        """Return the number of this entry's requests in flight to a backend server."""
        return len(self._get(backend).starts)

    def copy_for(self, backends: Collection[str]) -> "LoadTable":
        """Return an independent copy that covers only the given backend servers."""
        other = LoadTable()
        other._turn = self._turn
        other._loads = {
            backend: replace(load, starts=list(load.starts))
            for backend, load in self._loads.items()
            if backend in backends
        }
        return other

    def prune(self, backends: frozenset[str]) -> None:
        """Delete the entries of backend servers not in the given set.

        Those with requests in flight are kept.
        """
        for backend in [b for b in self._loads if b not in backends]:
            if not self._loads[backend].starts:
                del self._loads[backend]

    def make_candidates(
        self, endpoints: Sequence[Endpoint], now_s: float
    ) -> list[Candidate]:
        """Return the endpoints with their estimated load.

        For an endpoint without a usable report, the mean number of requests in flight
        and the median latency of the others are assumed.
        """
        loads = [self._get(endpoint.backend) for endpoint in endpoints]
        reports = [x.report for x in loads if x.report and x.get_weight(now_s) > 0]
        mean = fmean([r.in_flight + r.queued for r in reports]) if reports else 0.0
        latencies = [x.report.latency_ms for x in loads if x.report is not None]
        usual_ms = max(median(latencies or [0.0]), DEFAULT_LATENCY_MS)
        return [
            _make_candidate(endpoint, load, mean, usual_ms, now_s)
            for endpoint, load in zip(endpoints, loads, strict=True)
        ]

    def _get(self, backend: str) -> _Load:
        load = self._loads.get(backend)
        if load is None:
            load = self._loads[backend] = _Load()
        return load


def _make_candidate(
    endpoint: Endpoint, load: _Load, mean: float, usual_ms: float, now_s: float
) -> Candidate:
    own = len(load.starts)
    error_rate = load.get_error_rate(now_s)
    oldest_s = now_s - load.starts[0] if load.starts else 0.0
    report = load.report
    if report is None:
        in_flight, latency_ms, limit = max(mean, own), usual_ms, 1_000
    else:
        weight = load.get_weight(now_s)
        since = sum(1 for start_s in load.starts if start_s >= load.received_s)
        reported = report.in_flight + report.queued
        in_flight = max(weight * reported + (1 - weight) * mean + since, own)
        trust = _decay(now_s - load.latency_changed_s, LATENCY_HALF_LIFE_S)
        latency_ms = trust * report.latency_ms + (1 - trust) * usual_ms
        limit = max(1, report.limit)
    if error_rate > 0:
        # A backend server that fails immediately reports a low latency.
        latency_ms = max(latency_ms, usual_ms)
    return Candidate(
        endpoint=endpoint,
        in_flight=in_flight,
        own=own,
        latency_ms=max(latency_ms, oldest_s * 1000 / _OVERDUE_DIVISOR),
        age_s=now_s - load.received_s if report is not None else float("inf"),
        limit=limit,
        error_rate=error_rate,
        last_chosen=load.last_chosen,
        slowdown=report.slowdown if report is not None else 1.0,
    )

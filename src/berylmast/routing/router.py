"""The entry's view of the backend servers and its choice among them."""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..membership import Directory
from ..model import AttemptResult, Endpoint, LoadReport, ServiceSlice
from .policies import POLICIES, Candidate


@dataclass(slots=True)
class _Load:
    report: LoadReport | None = None
    received_s: float = 0.0
    own: int = 0
    started_since: int = 0


class Router:
    """Holds the load table of this entry and chooses endpoints."""

    def __init__(
        self, directory: Directory, *, region: str, failure_domain: str, rng: Random
    ) -> None:
        self._directory = directory
        self._region = region
        self._failure_domain = failure_domain
        self._rng = rng
        self._loads: dict[str, _Load] = {}

    def choose(
        self, service: ServiceSlice, *, exclude: Collection[str], body_bytes: int = 0
    ) -> Result[Endpoint, Refusal]:
        """Choose a backend server for one attempt.

        ``exclude`` names backend servers already tried; ``body_bytes`` is the known
        length of the request's body, counted against the link budget.
        """
        ready = [
            endpoint
            for endpoint in self._directory.endpoints(service.service)
            if endpoint.backend not in exclude
        ]
        if not ready:
            return Err(
                Refusal(ErrorKind.NO_BACKEND, f"no backend server of {service.service}")
            )
        local = [e for e in ready if e.region == self._region] or ready
        candidates = [self._make_candidate(endpoint) for endpoint in local]
        return Ok(POLICIES[service.policy](candidates, self._rng).endpoint)

    def record_start(self, backend: str) -> None:
        """Count a request that this entry sends to a backend server."""
        load = self._get_load(backend)
        load.own += 1
        load.started_since += 1

    def record_result(self, backend: str, result: AttemptResult) -> None:
        """Count the end of a request counted by ``record_start``."""
        self._get_load(backend).own -= 1

    def record_load(self, report: LoadReport) -> None:
        """Keep a report unless a newer one of the same backend server is known."""
        load = self._get_load(report.backend)
        known = load.report
        if known is not None and (known.incarnation, known.seq) >= (
            report.incarnation,
            report.seq,
        ):
            return
        load.report = report
        load.received_s = anyio.current_time()
        load.started_since = 0

    def _get_load(self, backend: str) -> _Load:
        return self._loads.setdefault(backend, _Load())

    def _make_candidate(self, endpoint: Endpoint) -> Candidate:
        load = self._get_load(endpoint.backend)
        report = load.report
        if report is None:
            return Candidate(endpoint, load.own, load.own, 0.0, float("inf"))
        age_s = anyio.current_time() - load.received_s
        in_flight = report.in_flight + report.queued + load.started_since
        return Candidate(endpoint, in_flight, load.own, report.latency_ms, age_s)

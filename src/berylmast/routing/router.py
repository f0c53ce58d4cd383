"""Chooses a backend server for each attempt of an entry."""

import time
from collections.abc import Callable, Collection, Sequence
from copy import copy, deepcopy
from random import Random

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..membership import Directory
from ..model import AttemptResult, Endpoint, LoadReport, ServiceSlice
from .distance import Distance, estimate_distance_ms
from .ejection import Ejections
from .explain import Explanation, Known, explain_choice
from .link_budget import LinkBudget
from .load_table import LoadTable, is_error
from .locality import (
    group_by_region,
    order_regions,
    prefer_domain,
    sample_endpoints,
)
from .policies import (
    LEAST_DELAY,
    POLICIES,
    Candidate,
    estimate_delay_ms,
    mark_hot,
)
from .probes import STALE_REPORT_S, ProbeBudget
from .ramp import Ramp
from .unreachable import Unreachable

RECENT_CALL_S = 5.0
"""Endpoints of a service are probed only this long after its last request."""

PRUNE_INTERVAL_S = 30.0
FORGET_SERVICE_S = 600.0


class Router:
    """Chooses endpoints by load reports, results of attempts and budgets."""

    def __init__(
        self,
        directory: Directory,
        *,
        region: str,
        failure_domain: str,
        rng: Random,
        unix_time: Callable[[], float] = time.time,
        address: tuple[str, int] | None = None,
    ) -> None:
        self.probe_budget = ProbeBudget()
        self.link_budget = LinkBudget()
        self._directory = directory
        self._region = region
        self._failure_domain = failure_domain
        self._rng = rng
        self._daemon_address = address
        # The steps of a shift start at Unix times. Everything else uses the monotonic
        # clock of the event loop.
        self._unix_time = unix_time
        self._loads = LoadTable()
        self._ejections = Ejections()
        self._ramp = Ramp()
        self._unreachable = Unreachable()
        self._called: dict[str, float] = {}
        self._chosen: dict[str, Endpoint] = {}
        self._pruned_s = 0.0

    def choose(
        self,
        service: ServiceSlice,
        *,
        exclude: Collection[str],
        body_bytes: int = 0,
        idempotent: bool = True,
    ) -> Result[Endpoint, Refusal]:
        """Choose a backend server for one attempt.

        ``exclude`` names backend servers already tried. ``body_bytes`` is the known
        length of the request body, which counts towards the network cost and the link
        budget. A request that is not ``idempotent`` becomes a readmission trial only if
        no idempotent request took the trial within IDEMPOTENT_WAIT_S of its due time.
        """
        now_s = anyio.current_time()
        self._note_call(service, now_s, first=not exclude)
        if service.policy == LEAST_DELAY:
            return self._choose_by_delay(service, exclude, body_bytes, now_s)
        groups = group_by_region(self._find_ready(service.service, now_s))
        kind, detail = ErrorKind.NO_BACKEND, f"no backend server of {service.service}"
        last_resort: Endpoint | None = None
        for region in self._order_regions(groups, service):
            left = [e for e in groups[region] if e.backend not in exclude]
            if not left:
                continue
            if not self._can_reach(region, service, body_bytes, now_s):
                kind = ErrorKind.LINK_BUDGET
                detail = f"the link budget allows no request to region {region} now"
                continue
            chosen = self._choose_in(service, groups[region], left, idempotent, now_s)
            if chosen is not None:
                return self._accept(chosen)
            last_resort = last_resort or self._rng.choice(left)
        if last_resort is not None:
            return self._accept(last_resort)
        return Err(Refusal(kind, detail))

    def has_other_near(self, service: str, exclude: Collection[str]) -> bool:
        """Return whether the entry's region has another backend server to choose."""
        now_s = anyio.current_time()
        return any(
            e.region == self._region
            and e.backend not in exclude
            and not self._unreachable.is_marked(e.backend, now_s)
            for e in self._find_ready(service, now_s)
        )

    def record_start(self, backend: str, body_bytes: int = 0) -> None:
        """Record that this entry sends a request to a backend server."""
        self._loads.record_start(backend, anyio.current_time())
        endpoint = self._chosen.get(backend)
        if endpoint is not None and endpoint.region != self._region:
            self.link_budget.charge(endpoint.service, backend, body_bytes)

    def record_result(self, backend: str, result: AttemptResult) -> None:
        """Record the end of a request that ``record_start`` recorded."""
        now_s = anyio.current_time()
        self._loads.record_result(backend, result, now_s)
        self._unreachable.record(backend, result, now_s)
        endpoint = self._chosen.get(backend)
        if endpoint is not None and endpoint.region != self._region:
            self.link_budget.settle(
                endpoint.service, backend, result.sent_bytes, result.answer_bytes
            )
        error = is_error(result)
        if not error and not result.ok:
            # A refusal, or a request cancelled by its caller, says nothing about the
            # health of the backend server.
            return
        if not error:
            self._ramp.record_success(backend)
        if self._ejections.record(backend, error, now_s):
            self._loads.forgive(backend)

    def record_load(self, report: LoadReport) -> None:
        """Store a report unless the stored one is newer or the same."""
        self._loads.record_load(report, anyio.current_time())

    def get_load_age_ms(self, backend: str) -> float:
        """Return the age in milliseconds of the last load report, -1 without one."""
        age_s = self._loads.get_age(backend, anyio.current_time())
        return -1.0 if age_s == float("inf") else age_s * 1000

    def get_usual_full_slowdown(self) -> float:
        """Return the typical slowdown of nearly full backend servers, 0.0 if unknown.

        It is the median of the values reported by owners of all services, because the
        owners of some services get no requests from which they could measure it.
        """
        return self._loads.get_usual_full_slowdown()

    def find_stale(self) -> list[Endpoint]:
        """Return the endpoints of recently used services whose report is stale."""
        now_s = anyio.current_time()
        return [
            endpoint
            for service, called_s in self._called.items()
            if now_s - called_s <= RECENT_CALL_S
            for endpoint in self._find_probed(service)
            if self._loads.get_age(endpoint.backend, now_s) >= STALE_REPORT_S
        ]

    def summarise(self) -> dict[str, object]:
        """Return the ejected backend servers and the budget counters.

        The keys are part of the admin interface.
        """
        return {
            "ejected": self._ejections.list_ejected(),
            "calls": self.probe_budget.calls,
            "probes": self.probe_budget.probes,
            "probe_bytes": self.probe_budget.bytes_used,
            "link_bytes": self.link_budget.bytes_used,
            "link_refused": self.link_budget.refused,
        }

    def explain(
        self, service: ServiceSlice, *, idempotent: bool = True, body_bytes: int = 0
    ) -> Explanation:
        """Return the state of the candidates and the one that a request would get.

        The choice is made on a copy, so that no counter, trial, ramp or budget changes.
        """
        endpoints = self._directory.endpoints(service.service)
        dry = self._copy_for({endpoint.backend for endpoint in endpoints})
        chosen = dry.choose(
            service, exclude=(), body_bytes=body_bytes, idempotent=idempotent
        )
        known = Known(dry._loads, self._ejections, dry._ramp)
        weights = service.weights_at(self._unix_time())
        place = (self._region, self._failure_domain)
        return explain_choice(service, endpoints, known, weights, place, chosen)

    def _copy_for(self, backends: Collection[str]) -> "Router":
        """Return a copy of the router that covers only the given backend servers."""
        other = copy(self)
        other.probe_budget = deepcopy(self.probe_budget)
        other.link_budget = deepcopy(self.link_budget)
        other._rng = deepcopy(self._rng)
        other._loads = self._loads.copy_for(backends)
        other._ejections = self._ejections.copy_for(backends)
        other._ramp = self._ramp.copy_for(backends)
        other._called = dict(self._called)
        other._chosen = dict(self._chosen)
        return other

    def _prune(self, now_s: float) -> None:
        """Delete the state of unused services and of backend servers that left."""
        self._pruned_s = now_s
        for service in list(self._called):
            if now_s - self._called[service] > FORGET_SERVICE_S:
                del self._called[service]
        kept = frozenset(
            endpoint.backend
            for service in self._called
            for endpoint in self._directory.endpoints(service)
        )
        for backend in [b for b in self._chosen if b not in kept]:
            if not self._loads.count_own(backend):
                del self._chosen[backend]
                self._ejections.forget(backend)
        self._loads.prune(kept)
        self._ramp.prune(kept)
        self._unreachable.prune(kept)

    def _find_probed(self, service: str) -> list[Endpoint]:
        """Return the endpoints of the regions that normally get requests."""
        found = self._directory.service(service)
        if found is None or found.policy == LEAST_DELAY:
            # Busy owners refuse requests at once so that another one gets them, which
            # is more current information than a probe would give.
            return []
        groups = group_by_region(self._directory.endpoints(service))
        regions = self._order_regions(groups, found)
        if not found.weights_at(self._unix_time()):
            regions = regions[:1]
        return [endpoint for region in regions for endpoint in groups[region]]

    def _find_ready(self, service: str, now_s: float) -> list[Endpoint]:
        endpoints = self._directory.endpoints(service)
        for backend in self._ramp.observe(endpoints, now_s):
            self._ejections.forget(backend)
            self._loads.forgive(backend)
        return [e for e in endpoints if not self._loads.is_draining(e)]

    def _note_call(self, service: ServiceSlice, now_s: float, *, first: bool) -> None:
        self._called[service.service] = now_s
        if first:  # Retries add nothing to the probe budget.
            self.probe_budget.record_call(service.budgets)
        if now_s - self._pruned_s >= PRUNE_INTERVAL_S:
            self._prune(now_s)

    def _order_regions(
        self, groups: Collection[str], service: ServiceSlice
    ) -> list[str]:
        weights = service.weights_at(self._unix_time())
        return order_regions(list(groups), self._region, weights, self._rng)

    def _can_reach(
        self, region: str, service: ServiceSlice, body_bytes: int, now_s: float
    ) -> bool:
        """Return whether a region is local or the link budget allows the request."""
        if region == self._region:
            return True
        return self.link_budget.has_room(
            service.service, body_bytes, service.budgets.link_bytes_per_s, now_s
        )

    def _accept(self, endpoint: Endpoint) -> Result[Endpoint, Refusal]:
        self._chosen[endpoint.backend] = endpoint
        return Ok(endpoint)

    def _choose_in(
        self,
        service: ServiceSlice,
        group: Sequence[Endpoint],
        left: Sequence[Endpoint],
        idempotent: bool,
        now_s: float,
    ) -> Endpoint | None:
        """Choose an endpoint of one region.

        ``left`` are the endpoints of ``group`` that have not been tried. Returns None
        if all of them are ejected and no trial is due.
        """
        ejected: list[str] = []
        if service.ejection:
            ejected = self._ejections.find_ejected({e.backend for e in group})
        if ejected:
            by_name = {e.backend: e for e in left if e.backend in ejected}
            trial = self._ejections.start_due_trial(by_name, idempotent, now_s)
            if trial is not None:
                return by_name[trial]
        usable = [e for e in left if e.backend not in ejected]
        sample = sample_endpoints(usable, self._failure_domain, self._rng)
        candidates = self._limit_new(
            mark_hot(self._loads.make_candidates(sample, now_s)), now_s
        )
        if not candidates:
            return None
        preferred = prefer_domain(candidates, self._failure_domain)
        return POLICIES[service.policy](preferred, self._rng).endpoint

    def _choose_by_delay(
        self,
        service: ServiceSlice,
        exclude: Collection[str],
        body_bytes: int,
        now_s: float,
    ) -> Result[Endpoint, Refusal]:
        """Choose the endpoint with the lowest expected delay in all regions.

        Errors raise the expected delay. No backend server is ejected: while a whole
        service is overloaded, timeouts would eject half of its backend servers just
        when all of them are needed.
        """
        ready = self._find_ready(service.service, now_s)
        left = [e for e in ready if e.backend not in exclude]
        reachable = [
            e for e in left if not self._unreachable.is_marked(e.backend, now_s)
        ]
        left = reachable or left
        if not left:
            kind = ErrorKind.NO_BACKEND
            return Err(Refusal(kind, f"no backend server of {service.service}"))
        sample = sample_endpoints(left, self._failure_domain, self._rng)
        candidates = self._limit_new(self._loads.make_candidates(sample, now_s), now_s)
        place = Distance(self._region, self._failure_domain, self._daemon_address)

        def estimate_cost(candidate: Candidate) -> tuple[float, float]:
            distance_ms = estimate_distance_ms(place, candidate.endpoint, body_bytes)
            return (estimate_delay_ms(candidate, distance_ms), self._rng.random())

        best = min(candidates, key=estimate_cost)
        return self._accept(best.endpoint)

    def _limit_new(
        self, candidates: Sequence[Candidate], now_s: float
    ) -> Sequence[Candidate]:
        """Exclude new backend servers that are at their ramp-up limit.

        Returns all candidates if none would remain.
        """
        limited = [
            c
            for c in candidates
            if self._ramp.has_room(c.endpoint.backend, c.own, now_s)
        ]
        return limited or candidates

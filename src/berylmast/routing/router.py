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
from .ejection import EjectionTracker
from .eligibility import Eligibility
from .explain import Explanation, RoutingState, explain_choice
from .leaving import LeavingBackends
from .link_budget import LinkBudget
from .load_table import LoadTable, is_error
from .locality import (
    group_by_region,
    order_regions,
    prefer_own_domain,
    sample_endpoints,
)
from .network_cost import EntryLocation, estimate_network_cost_ms
from .policies import (
    LEAST_DELAY,
    POLICIES,
    Candidate,
    estimate_delay_ms,
    mark_hot,
)
from .probes import STALE_REPORT_AGE_S, ProbeBudget
from .region_choice import DelayEstimate, choose_lowest_delay
from .slow_start import SlowStart
from .unreachable import UnreachableBackends

RECENT_REQUEST_S = 5.0
"""Endpoints of a service are probed only this long after its last request."""

PRUNE_INTERVAL_S = 30.0
UNUSED_SERVICE_RETENTION_S = 600.0


class Router:
    """Chooses endpoints by load reports, results of attempts and budgets.

    ``get_evacuated`` returns the failure domains whose servers get no requests.
    """

    def __init__(
        self,
        directory: Directory,
        *,
        region: str,
        failure_domain: str,
        rng: Random,
        unix_time: Callable[[], float] = time.time,
        address: tuple[str, int] | None = None,
        get_evacuated: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self.probe_budget = ProbeBudget()
        self.link_budget = LinkBudget()
        self._directory = directory
        self._region = region
        self._failure_domain = failure_domain
        self._rng = rng
        self._peer_address = address
        self._get_evacuated = get_evacuated
        # The steps of a shift start at Unix times. Everything else uses the monotonic
        # clock of the event loop.
        self._unix_time = unix_time
        self._loads = LoadTable()
        self._ejections = EjectionTracker()
        self._slow_start = SlowStart()
        self._unreachable = UnreachableBackends()
        self._leaving = LeavingBackends()
        self._last_request_s: dict[str, float] = {}
        self._chosen_endpoints: dict[str, Endpoint] = {}
        self._last_prune_s = 0.0

    def choose(
        self,
        service: ServiceSlice,
        *,
        exclude: Collection[str],
        body_bytes: int = 0,
        idempotent: bool = True,
        home_regions: frozenset[str] | None = None,
    ) -> Result[Endpoint, Refusal]:
        """Choose a backend server for one attempt.

        ``exclude`` names backend servers already tried. ``body_bytes`` is the known
        length of the request body, which counts towards the network cost and the link
        budget. A request that is not ``idempotent`` becomes a readmission trial only if
        no idempotent request came within IDEMPOTENT_TRIAL_WAIT_S after it was due.
        Only endpoints in ``home_regions`` are chosen, in all regions if it is None.
        """
        now_s = anyio.current_time()
        self._record_request(service, now_s, is_first_attempt=not exclude)
        eligibility = Eligibility(home_regions, self._get_evacuated())
        available = self._find_available(service.service, now_s, eligibility)
        if not available:
            return self._refuse_without_endpoint(service.service, eligibility)
        if service.policy == LEAST_DELAY:
            return self._choose_by_delay(
                service, available, exclude, body_bytes, eligibility, now_s
            )
        groups = group_by_region(available)
        refusal: Refusal | None = None
        last_resort: Endpoint | None = None
        for region in self._order_regions(groups, service):
            untried = [e for e in groups[region] if e.backend not in exclude]
            if not untried:
                continue
            if not self._has_link_budget(region, service, body_bytes, now_s):
                detail = f"the link budget allows no request to region {region} now"
                refusal = Refusal(ErrorKind.LINK_BUDGET, detail)
                continue
            chosen = self._choose_in_region(
                service, groups[region], untried, idempotent, now_s
            )
            if chosen is not None:
                return self._record_choice(chosen)
            last_resort = last_resort or self._rng.choice(untried)
        if last_resort is not None:
            return self._record_choice(last_resort)
        if refusal is not None:
            return Err(refusal)
        return self._refuse_without_endpoint(service.service, eligibility)

    def has_alternative_in_region(
        self,
        service: str,
        exclude: Collection[str],
        home_regions: frozenset[str] | None = None,
    ) -> bool:
        """Return whether the entry's region has another backend server to choose."""
        now_s = anyio.current_time()
        eligibility = Eligibility(home_regions, self._get_evacuated())
        return any(
            e.region == self._region
            and e.backend not in exclude
            and not self._unreachable.is_excluded(e.backend, now_s)
            for e in self._find_available(service, now_s, eligibility)
        )

    def choose_for_copy(
        self,
        service: ServiceSlice,
        *,
        exclude: Collection[str],
        body_bytes: int = 0,
        home_regions: frozenset[str] | None = None,
    ) -> Endpoint | None:
        """Choose a backend server for a second copy of a request that still runs.

        Only servers with a free slot by a fresh report are considered, and none that is
        ejected, unreachable or states a rate limit. Those of the own region are
        preferred. Returns None if there is none.
        """
        now_s = anyio.current_time()
        eligibility = Eligibility(home_regions, self._get_evacuated())
        endpoints = self._find_available(service.service, now_s, eligibility)
        ejected = self._ejections.list_all_ejected() if service.ejection else []
        fit = [
            e
            for e in endpoints
            if e.backend not in exclude
            and e.backend not in ejected
            and not self._unreachable.is_excluded(e.backend, now_s)
            and self._loads.has_free_slot(e, now_s)
        ]
        if not fit:
            return None
        regional = [e for e in fit if e.region == self._region]
        allowed = {e.backend for e in regional or fit}
        unfit = {e.backend for e in endpoints if e.backend not in allowed}
        return self.choose(
            service, exclude=unfit, body_bytes=body_bytes, home_regions=home_regions
        ).ok()

    def estimate_use(self, service: str) -> float:
        """Return the used share of a service's slots by fresh reports, 0 without any.

        It exceeds 1 if requests wait.
        """
        endpoints = self._directory.endpoints(service)
        return self._loads.estimate_use(endpoints, anyio.current_time())

    def record_start(self, backend: str, body_bytes: int = 0) -> None:
        """Record that this entry sends a request to a backend server."""
        self._loads.record_start(backend, anyio.current_time())
        endpoint = self._chosen_endpoints.get(backend)
        if endpoint is not None and endpoint.region != self._region:
            self.link_budget.charge(endpoint.service, backend, body_bytes)

    def record_result(self, backend: str, result: AttemptResult) -> None:
        """Record the end of a request that ``record_start`` recorded."""
        now_s = anyio.current_time()
        self._loads.record_result(backend, result, now_s)
        self._unreachable.record(backend, result, now_s)
        endpoint = self._chosen_endpoints.get(backend)
        if endpoint is not None and endpoint.region != self._region:
            self.link_budget.reconcile(
                endpoint.service, backend, result.sent_bytes, result.answer_bytes
            )
        error = is_error(result)
        if not error and not result.ok:
            # A refusal, or a request cancelled by its caller, says nothing about the
            # health of the backend server.
            return
        if not error:
            self._slow_start.record_success(backend)
        if self._ejections.record(backend, error, now_s):
            self._loads.reset_errors(backend)

    def record_load(
        self, report: LoadReport, owner_incarnation: int | None = None
    ) -> None:
        """Store a report unless the stored one is newer or the same.

        ``owner_incarnation`` is the incarnation of the daemon that sent it, None for a
        report of this daemon.
        """
        self._leaving.record(report)
        self._loads.record_load(report, anyio.current_time(), owner_incarnation)

    def get_load_age_ms(self, backend: str) -> float:
        """Return the age in milliseconds of the last load report, -1 without one."""
        age_s = self._loads.get_report_age_s(backend, anyio.current_time())
        return -1.0 if age_s == float("inf") else age_s * 1000

    def get_rate_limit(self, endpoint: Endpoint) -> float | None:
        """Return the rate limit that a backend server stated last, None if unknown."""
        return self._loads.get_rate_limit(endpoint)

    def get_median_full_slowdown(self) -> float:
        """Return the typical slowdown of nearly full backend servers, 0.0 if unknown.

        It is the median of the values reported by owners of all services, because the
        owners of some services get no requests from which they could measure it.
        """
        return self._loads.get_median_full_slowdown()

    def find_stale_endpoints(self) -> list[Endpoint]:
        """Return the endpoints of recently used services whose report is stale."""
        now_s = anyio.current_time()
        return [
            endpoint
            for service, last_request_s in self._last_request_s.items()
            if now_s - last_request_s <= RECENT_REQUEST_S
            for endpoint in self._find_probe_targets(service)
            if self._loads.get_report_age_s(endpoint.backend, now_s)
            >= STALE_REPORT_AGE_S
        ]

    def summarize(self) -> dict[str, object]:
        """Return the ejected backend servers and the budget counters.

        The keys are part of the admin interface.
        """
        return {
            "ejected": self._ejections.list_all_ejected(),
            "calls": self.probe_budget.requests,
            "probes": self.probe_budget.probes,
            "probe_bytes": self.probe_budget.bytes_used,
            "link_bytes": self.link_budget.bytes_used,
            "link_refused": self.link_budget.refused_requests,
        }

    def explain(
        self,
        service: ServiceSlice,
        *,
        idempotent: bool = True,
        body_bytes: int = 0,
        home_regions: frozenset[str] | None = None,
    ) -> Explanation:
        """Return the state of the candidates and the one that a request would get.

        The choice is made on a copy, so that no counter, trial, ramp or budget changes.
        """
        endpoints = self._directory.endpoints(service.service)
        router_copy = self._copy_subset({endpoint.backend for endpoint in endpoints})
        chosen = router_copy.choose(
            service,
            exclude=(),
            body_bytes=body_bytes,
            idempotent=idempotent,
            home_regions=home_regions,
        )
        state = RoutingState(
            router_copy._loads,
            self._ejections,
            router_copy._slow_start,
            self._leaving,
            Eligibility(home_regions, self._get_evacuated()),
        )
        weights = service.get_region_weights(self._unix_time())
        location = (self._region, self._failure_domain)
        return explain_choice(service, endpoints, state, weights, location, chosen)

    def _copy_subset(self, backends: Collection[str]) -> "Router":
        """Return a copy of the router that covers only the given backend servers."""
        other = copy(self)
        other.probe_budget = deepcopy(self.probe_budget)
        other.link_budget = deepcopy(self.link_budget)
        other._rng = deepcopy(self._rng)
        other._loads = self._loads.copy_subset(backends)
        other._ejections = self._ejections.copy_subset(backends)
        other._slow_start = self._slow_start.copy_subset(backends)
        other._last_request_s = dict(self._last_request_s)
        other._chosen_endpoints = dict(self._chosen_endpoints)
        return other

    def _prune(self, now_s: float) -> None:
        """Delete the state of unused services and of backend servers that left."""
        self._last_prune_s = now_s
        for service in list(self._last_request_s):
            if now_s - self._last_request_s[service] > UNUSED_SERVICE_RETENTION_S:
                del self._last_request_s[service]
        kept = frozenset(
            endpoint.backend
            for service in self._last_request_s
            for endpoint in self._directory.endpoints(service)
        )
        for backend in [b for b in self._chosen_endpoints if b not in kept]:
            if not self._loads.count_own_in_flight(backend):
                del self._chosen_endpoints[backend]
                self._ejections.forget(backend)
        self._loads.prune(kept)
        self._slow_start.prune(kept)
        self._unreachable.prune(kept)

    def _find_probe_targets(self, service: str) -> list[Endpoint]:
        """Return the endpoints of the regions that normally get requests."""
        service_slice = self._directory.service(service)
        if service_slice is None or service_slice.policy == LEAST_DELAY:
            # Busy owners refuse requests at once so that another one gets them, which
            # is more current information than a probe would give.
            return []
        groups = group_by_region(self._directory.endpoints(service))
        regions = self._order_regions(groups, service_slice)
        if not service_slice.get_region_weights(self._unix_time()):
            regions = regions[:1]
        return [endpoint for region in regions for endpoint in groups[region]]

    def _find_available(
        self, service: str, now_s: float, eligibility: Eligibility
    ) -> list[Endpoint]:
        endpoints = self._directory.endpoints(service)
        for backend in self._slow_start.register_endpoints(endpoints, now_s):
            self._ejections.forget(backend)
            self._loads.reset_errors(backend)
        return [
            e
            for e in eligibility.select(endpoints)
            if not self._loads.is_draining(e, now_s) and not self._leaving.contains(e)
        ]

    def _refuse_without_endpoint(
        self, service: str, eligibility: Eligibility
    ) -> Result[Endpoint, Refusal]:
        endpoints = self._directory.endpoints(service)
        detail = eligibility.describe_no_endpoint(service, endpoints)
        return Err(Refusal(ErrorKind.NO_BACKEND, detail))

    def _record_request(
        self, service: ServiceSlice, now_s: float, *, is_first_attempt: bool
    ) -> None:
        self._last_request_s[service.service] = now_s
        if is_first_attempt:  # Retries add nothing to the probe budget.
            self.probe_budget.record_request(service.budgets)
        if now_s - self._last_prune_s >= PRUNE_INTERVAL_S:
            self._prune(now_s)

    def _order_regions(
        self, groups: Collection[str], service: ServiceSlice
    ) -> list[str]:
        weights = service.get_region_weights(self._unix_time())
        return order_regions(list(groups), self._region, weights, self._rng)

    def _has_link_budget(
        self, region: str, service: ServiceSlice, body_bytes: int, now_s: float
    ) -> bool:
        """Return whether a region is local or the link budget allows the request."""
        if region == self._region:
            return True
        return self.link_budget.allows_request(
            service.service, body_bytes, service.budgets.link_bytes_per_s, now_s
        )

    def _record_choice(self, endpoint: Endpoint) -> Result[Endpoint, Refusal]:
        self._chosen_endpoints[endpoint.backend] = endpoint
        return Ok(endpoint)

    def _choose_in_region(
        self,
        service: ServiceSlice,
        region_endpoints: Sequence[Endpoint],
        untried: Sequence[Endpoint],
        idempotent: bool,
        now_s: float,
    ) -> Endpoint | None:
        """Choose an endpoint of one region.

        ``untried`` are those of ``region_endpoints`` that this request has not tried.
        Returns None if all of them are ejected and no trial is due.
        """
        ejected: list[str] = []
        if service.ejection:
            ejected = self._ejections.list_ejected_within_limit(
                {e.backend for e in region_endpoints}
            )
        if ejected:
            by_name = {e.backend: e for e in untried if e.backend in ejected}
            trial = self._ejections.start_due_trial(by_name, idempotent, now_s)
            if trial is not None:
                return by_name[trial]
        usable = [e for e in untried if e.backend not in ejected]
        sample = sample_endpoints(usable, self._failure_domain, self._rng)
        candidates = self._apply_slow_start(
            mark_hot(self._loads.make_candidates(sample, now_s)), now_s
        )
        if not candidates:
            return None
        preferred = prefer_own_domain(candidates, self._failure_domain)
        return POLICIES[service.policy](preferred, self._rng).endpoint

    def _choose_by_delay(
        self,
        service: ServiceSlice,
        available: Sequence[Endpoint],
        exclude: Collection[str],
        body_bytes: int,
        eligibility: Eligibility,
        now_s: float,
    ) -> Result[Endpoint, Refusal]:
        """Choose the endpoint with the lowest expected delay in all regions.

        Errors raise the expected delay. No backend server is ejected: while a whole
        service is overloaded, timeouts would eject half of its backend servers just
        when all of them are needed.
        """
        untried = [e for e in available if e.backend not in exclude]
        reachable = [
            e for e in untried if not self._unreachable.is_excluded(e.backend, now_s)
        ]
        untried = reachable or untried
        if not untried:
            return self._refuse_without_endpoint(service.service, eligibility)
        sample = sample_endpoints(untried, self._failure_domain, self._rng)
        candidates = self._apply_slow_start(
            self._loads.make_candidates(sample, now_s), now_s
        )
        location = EntryLocation(self._region, self._failure_domain, self._peer_address)

        estimates = [
            DelayEstimate(
                candidate,
                estimate_delay_ms(
                    candidate,
                    estimate_network_cost_ms(location, candidate.endpoint, body_bytes),
                ),
            )
            for candidate in candidates
        ]
        # Otherwise all entries would choose the first of several equal candidates.
        self._rng.shuffle(estimates)
        chosen = choose_lowest_delay(estimates, self._region)
        return self._record_choice(chosen.endpoint)

    def _apply_slow_start(
        self, candidates: Sequence[Candidate], now_s: float
    ) -> Sequence[Candidate]:
        """Exclude new backend servers that are at their ramp-up limit.

        Returns all candidates if none would remain.
        """
        below_limit = [
            c
            for c in candidates
            if self._slow_start.allows_request(c.endpoint.backend, c.own, now_s)
        ]
        return below_limit or candidates

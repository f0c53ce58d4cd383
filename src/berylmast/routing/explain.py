"""Explains a routing decision to operators."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isfinite

import anyio
from result import Result

from ..errors import Refusal
from ..model import Endpoint, ServiceSlice
from .ejection import EjectionTracker
from .eligibility import Eligibility
from .leaving import LeavingBackends
from .load_table import LoadTable
from .locality import group_by_region
from .policies import Candidate, mark_hot
from .slow_start import SlowStart


@dataclass(frozen=True, slots=True)
class RoutingState:
    """The parts of a router's state that an explanation reports."""

    loads: LoadTable
    ejections: EjectionTracker
    slow_start: SlowStart
    leaving: LeavingBackends
    eligibility: Eligibility


@dataclass(frozen=True, slots=True)
class ExplainedCandidate:
    """What the entry knows about one endpoint.

    ``own`` is the number of requests in flight from this entry. ``report_age_s`` is
    None if there is no load report. ``ramp_limit`` is None for a backend server that is
    not ramping up. ``hot`` is relative to the other endpoints of the same region.
    ``ineligible_reason`` states why home regions or evacuations exclude it, empty if
    they don't.
    """

    backend: str
    region: str
    failure_domain: str
    in_flight: float
    own: int
    latency_ms: float
    report_age_s: float | None
    error_rate: float
    hot: bool
    ejected: bool
    draining: bool
    ramp_limit: int | None
    ineligible_reason: str = ""


@dataclass(frozen=True, slots=True)
class Explanation:
    """The region weights in effect, the candidates, the chosen one and the reason.

    ``chosen`` is None if the request would be refused.
    """

    weights: Mapping[str, float]
    candidates: tuple[ExplainedCandidate, ...]
    chosen: str | None
    reason: str


def explain_choice(
    service: ServiceSlice,
    endpoints: Sequence[Endpoint],
    state: RoutingState,
    weights: Mapping[str, float],
    location: tuple[str, str],
    chosen: Result[Endpoint, Refusal],
) -> Explanation:
    """Explain a choice; ``location`` is the entry's region and failure domain."""
    ejected = _find_ejected(service, endpoints, state)
    candidates = _explain_candidates(endpoints, state, ejected)
    if chosen.is_err():
        refusal = chosen.unwrap_err()
        reason = f"refused: {refusal.kind}: {refusal.detail}"
        return Explanation(weights, candidates, None, reason)
    endpoint = chosen.unwrap()
    reason = _explain_region(endpoint, weights, location)
    if endpoint.backend in ejected:
        reason += "; ejected: readmission trial, or all usable ones are ejected"
    else:
        reason += f"; chosen there by policy {service.policy}"
    return Explanation(weights, candidates, endpoint.backend, reason)


def _find_ejected(
    service: ServiceSlice, endpoints: Sequence[Endpoint], state: RoutingState
) -> set[str]:
    if not service.ejection:
        return set()
    now_s = anyio.current_time()
    allowed = state.eligibility.select(endpoints)
    usable = [e for e in allowed if not state.loads.is_draining(e, now_s)]
    return {
        backend
        for group in group_by_region(usable).values()
        for backend in state.ejections.list_ejected_within_limit(
            {e.backend for e in group}
        )
    }


def _explain_candidates(
    endpoints: Sequence[Endpoint], state: RoutingState, ejected: set[str]
) -> tuple[ExplainedCandidate, ...]:
    now_s = anyio.current_time()
    return tuple(
        _explain_candidate(candidate, state, ejected, now_s)
        for group in group_by_region(endpoints).values()
        for candidate in mark_hot(state.loads.make_candidates(group, now_s))
    )


def _explain_candidate(
    candidate: Candidate, state: RoutingState, ejected: set[str], now_s: float
) -> ExplainedCandidate:
    endpoint = candidate.endpoint
    return ExplainedCandidate(
        backend=endpoint.backend,
        region=endpoint.region,
        failure_domain=endpoint.failure_domain,
        in_flight=candidate.in_flight,
        own=candidate.own,
        latency_ms=candidate.latency_ms,
        report_age_s=candidate.report_age_s
        if isfinite(candidate.report_age_s)
        else None,
        error_rate=candidate.error_rate,
        hot=candidate.hot,
        ejected=endpoint.backend in ejected,
        draining=state.loads.is_draining(endpoint, now_s)
        or state.leaving.contains(endpoint),
        ramp_limit=state.slow_start.get_limit(endpoint.backend, now_s),
        ineligible_reason=state.eligibility.find_exclusion(endpoint),
    )


def _explain_region(
    endpoint: Endpoint, weights: Mapping[str, float], location: tuple[str, str]
) -> str:
    region, domain = location
    if weights:
        return f"region {endpoint.region} drawn by the weights"
    if endpoint.region != region:
        return f"region {endpoint.region}: no usable endpoint in own region {region}"
    if endpoint.failure_domain != domain:
        return f"own region, failure domain {endpoint.failure_domain}"
    return f"own failure domain {domain}"

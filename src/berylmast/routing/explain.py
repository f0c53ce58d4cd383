"""Explains a routing decision to operators."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import isfinite

import anyio
from result import Result

from ..errors import Refusal
from ..model import Endpoint, ServiceSlice
from .ejection import Ejections
from .load_table import LoadTable
from .locality import group_by_region
from .policies import Candidate, mark_hot
from .ramp import Ramp


@dataclass(frozen=True, slots=True)
class Known:
    """The parts of a router's state that an explanation reports."""

    loads: LoadTable
    ejections: Ejections
    ramp: Ramp


@dataclass(frozen=True, slots=True)
class ExplainedCandidate:
    """What the entry knows about one endpoint.

    ``own`` is the number of requests in flight from this entry. ``report_age_s`` is
    None if there is no load report. ``ramp_limit`` is None for a backend server that is
    not ramping up. ``hot`` is relative to the other endpoints of the same region.
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


@dataclass(frozen=True, slots=True)
class Explanation:
    """The region weights in force, the candidates, the chosen one and the reason.

    ``chosen`` is None if the request would be refused.
    """

    weights: Mapping[str, float]
    candidates: tuple[ExplainedCandidate, ...]
    chosen: str | None
    reason: str


def explain_choice(
    service: ServiceSlice,
    endpoints: Sequence[Endpoint],
    known: Known,
    weights: Mapping[str, float],
    place: tuple[str, str],
    chosen: Result[Endpoint, Refusal],
) -> Explanation:
    """Explain a choice; ``place`` is the entry's region and failure domain."""
    ejected = _find_ejected(service, endpoints, known)
    candidates = _list_candidates(endpoints, known, ejected)
    if chosen.is_err():
        refusal = chosen.unwrap_err()
        reason = f"refused: {refusal.kind}: {refusal.detail}"
        return Explanation(weights, candidates, None, reason)
    endpoint = chosen.unwrap()
    reason = _describe_region(endpoint, weights, place)
    if endpoint.backend in ejected:
        reason += "; ejected: readmission trial, or all usable ones are ejected"
    else:
        reason += f"; chosen there by policy {service.policy}"
    return Explanation(weights, candidates, endpoint.backend, reason)


def _find_ejected(
    service: ServiceSlice, endpoints: Sequence[Endpoint], known: Known
) -> set[str]:
    if not service.ejection:
        return set()
    usable = [e for e in endpoints if not known.loads.is_draining(e)]
    return {
        backend
        for group in group_by_region(usable).values()
        for backend in known.ejections.find_ejected({e.backend for e in group})
    }


def _list_candidates(
    endpoints: Sequence[Endpoint], known: Known, ejected: set[str]
) -> tuple[ExplainedCandidate, ...]:
    now_s = anyio.current_time()
    return tuple(
        _describe(candidate, known, ejected, now_s)
        for group in group_by_region(endpoints).values()
        for candidate in mark_hot(known.loads.make_candidates(group, now_s))
    )


def _describe(
    candidate: Candidate, known: Known, ejected: set[str], now_s: float
) -> ExplainedCandidate:
    endpoint = candidate.endpoint
    return ExplainedCandidate(
        backend=endpoint.backend,
        region=endpoint.region,
        failure_domain=endpoint.failure_domain,
        in_flight=candidate.in_flight,
        own=candidate.own,
        latency_ms=candidate.latency_ms,
        report_age_s=candidate.age_s if isfinite(candidate.age_s) else None,
        error_rate=candidate.error_rate,
        hot=candidate.hot,
        ejected=endpoint.backend in ejected,
        draining=known.loads.is_draining(endpoint),
        ramp_limit=known.ramp.get_limit(endpoint.backend, now_s),
    )


def _describe_region(
    endpoint: Endpoint, weights: Mapping[str, float], place: tuple[str, str]
) -> str:
    region, domain = place
    if weights:
        return f"region {endpoint.region} drawn by the weights"
    if endpoint.region != region:
        return f"region {endpoint.region}: no usable endpoint in own region {region}"
    if endpoint.failure_domain != domain:
        return f"own region, failure domain {endpoint.failure_domain}"
    return f"own failure domain {domain}"

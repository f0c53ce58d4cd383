"""Which regions and failure domains come first."""

from collections.abc import Mapping, Sequence
from random import Random
from statistics import fmean

from ..model import Endpoint
from .policies import LATENCY_TIE, Candidate

MAX_CANDIDATES = 16
"""Endpoints compared for one request; Prequal keeps as many reports. Comparing all 260
of a large service took 4 ms of processor time per request, of 16 a quarter of one."""

SPILL_SHARE = 0.5
"""Below this share of its slots a backend server of the own failure domain is kept even
if others are less loaded; nothing waits there yet."""


def group_by_region(endpoints: Sequence[Endpoint]) -> dict[str, list[Endpoint]]:
    """Return the endpoints of each region."""
    groups: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        groups.setdefault(endpoint.region, []).append(endpoint)
    return groups


def order_regions(
    present: Sequence[str], own: str, weights: Mapping[str, float], rng: Random
) -> list[str]:
    """Return the regions in the order in which they are tried.

    With weights, the order is drawn by them; a region without weight is never used.
    Without, the own region comes first and the others follow in random order.
    """
    if not weights:
        others = [region for region in present if region != own]
        rng.shuffle(others)
        return [own, *others] if own in present else others
    left = {region: weights.get(region, 0.0) for region in present}
    left = {region: weight for region, weight in left.items() if weight > 0}
    order: list[str] = []
    while left:
        drawn = rng.choices(list(left), list(left.values()))[0]
        order.append(drawn)
        del left[drawn]
    return order


def sample_endpoints(
    endpoints: Sequence[Endpoint], domain: str, rng: Random
) -> Sequence[Endpoint]:
    """Return at most MAX_CANDIDATES endpoints, up to half from the own domain."""
    if len(endpoints) <= MAX_CANDIDATES:
        return endpoints
    local = [e for e in endpoints if e.failure_domain == domain]
    drawn = rng.sample(local, min(len(local), MAX_CANDIDATES // 2))
    names = {e.backend for e in drawn}
    rest = [e for e in endpoints if e.backend not in names]
    return [*drawn, *rng.sample(rest, MAX_CANDIDATES - len(drawn))]


def prefer_domain(candidates: Sequence[Candidate], domain: str) -> Sequence[Candidate]:
    """Return the candidates of the own failure domain that are not overloaded.

    Returns all candidates if there is none: with few backend servers in each domain, a
    strict preference would send all of an entry's traffic to one of them.
    """
    local = [c for c in candidates if c.endpoint.failure_domain == domain]
    if not local or len(local) == len(candidates):
        return candidates
    mean = fmean([c.in_flight for c in candidates])
    lowest = min(c.cost for c in candidates)
    kept = [c for c in local if _is_kept(c, mean, lowest)]
    return kept or candidates


def _is_kept(candidate: Candidate, mean: float, lowest: float) -> bool:
    if candidate.cost > LATENCY_TIE * lowest:
        return False
    idle = candidate.in_flight + 1 <= SPILL_SHARE * candidate.limit
    return idle or candidate.in_flight <= mean

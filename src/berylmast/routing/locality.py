"""Order of preference among regions and failure domains."""

from collections.abc import Mapping, Sequence
from random import Random
from statistics import fmean

from ..model import Endpoint
from .policies import COST_TIE_FACTOR, Candidate

MAX_CANDIDATES = 16
"""Maximum number of endpoints compared for one request; Prequal's probe pool has the
same size. Comparing 260 endpoints takes 4 ms of CPU time per request, 16 take 0.25 ms.
"""

LOCAL_UTILIZATION_THRESHOLD = 0.5
"""Slot utilization up to which a backend server of the entry's own failure domain
remains a candidate even if others are less loaded: no requests queue there yet."""


def group_by_region(endpoints: Sequence[Endpoint]) -> dict[str, list[Endpoint]]:
    """Group endpoints by region."""
    groups: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        groups.setdefault(endpoint.region, []).append(endpoint)
    return groups


def order_regions(
    regions: Sequence[str], own_region: str, weights: Mapping[str, float], rng: Random
) -> list[str]:
    """Return the regions in the order in which they are tried.

    With weights, it is a weighted random order, and regions without a positive weight
    are left out. Without weights, the entry's own region comes first and the others
    follow in random order.
    """
    if not weights:
        others = [region for region in regions if region != own_region]
        rng.shuffle(others)
        return [own_region, *others] if own_region in regions else others
    remaining = {region: weights.get(region, 0.0) for region in regions}
    remaining = {region: weight for region, weight in remaining.items() if weight > 0}
    order: list[str] = []
    while remaining:
        drawn = rng.choices(list(remaining), list(remaining.values()))[0]
        order.append(drawn)
        del remaining[drawn]
    return order


def sample_endpoints(
    endpoints: Sequence[Endpoint], domain: str, rng: Random
) -> Sequence[Endpoint]:
    """Return a random sample of at most MAX_CANDIDATES endpoints.

    If there are more, up to MAX_CANDIDATES // 2 endpoints of the entry's own failure
    domain are drawn first, and the rest of the sample from all remaining ones.
    """
    if len(endpoints) <= MAX_CANDIDATES:
        return endpoints
    local = [e for e in endpoints if e.failure_domain == domain]
    drawn = rng.sample(local, min(len(local), MAX_CANDIDATES // 2))
    sampled_names = {e.backend for e in drawn}
    rest = [e for e in endpoints if e.backend not in sampled_names]
    return [*drawn, *rng.sample(rest, MAX_CANDIDATES - len(drawn))]


def prefer_own_domain(
    candidates: Sequence[Candidate], domain: str
) -> Sequence[Candidate]:
    """Return the candidates of the entry's own failure domain.

    Overloaded ones and those with a clearly higher cost than the best candidate are
    left out. Returns all candidates if none remains: with few backend servers per
    domain, a strict preference would send all traffic of an entry to one of them.
    """
    local = [c for c in candidates if c.endpoint.failure_domain == domain]
    if not local or len(local) == len(candidates):
        return candidates
    mean_in_flight = fmean([c.in_flight for c in candidates])
    lowest_cost = min(c.cost for c in candidates)
    preferred = [c for c in local if _is_preferred(c, mean_in_flight, lowest_cost)]
    return preferred or candidates


def _is_preferred(
    candidate: Candidate, mean_in_flight: float, lowest_cost: float
) -> bool:
    if candidate.cost > COST_TIE_FACTOR * lowest_cost:
        return False
    below_threshold = (
        candidate.in_flight + 1 <= LOCAL_UTILIZATION_THRESHOLD * candidate.limit
    )
    return below_threshold or candidate.in_flight <= mean_in_flight

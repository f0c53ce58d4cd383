"""Load-balancing policies: functions that choose one of several candidates."""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

from ..model import Endpoint

HOT_QUANTILE = 0.84
"""Candidates with more requests in flight than this quantile are hot, as in Prequal."""

COST_TIE_FACTOR = 1.5
"""Costs within this factor of the lowest are treated as equal: latency estimates are
noisy, and a strict minimum would make every entry choose the same backend server."""

ERROR_COST_FACTOR = 20.0
"""Multiple of the latency that is added at an error ratio of 1.

A single recent error is enough to rank a backend server last.
"""

HIGH_ERROR_RATE = 0.1
"""If all candidates are hot, those above this error ratio are chosen last."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with the entry's estimate of its load.

    ``in_flight`` is estimated from the last report and the requests that this entry has
    sent since; ``own`` is the number of requests in flight from this entry.
    ``latency_ms`` is in milliseconds. ``report_age_s`` is the age of the report in
    seconds, infinity if there is none. ``limit`` is the number of slots.
    ``last_chosen`` is the sequence number of the last request to this endpoint, 0 if
    there was none. ``rate_wait_ms`` is the time until this entry's share of a rate
    limit allows another request.
    """

    endpoint: Endpoint
    in_flight: float
    own: int
    latency_ms: float
    report_age_s: float
    limit: int = 1
    error_rate: float = 0.0
    last_chosen: int = 0
    hot: bool = False
    slowdown: float = 1.0
    rate_wait_ms: float = 0.0

    @property
    def cost(self) -> float:
        """Return the latency in milliseconds, increased for queueing and errors."""
        queueing_factor = max(1.0, (self.in_flight + 1) / self.limit)
        return (
            self.latency_ms
            * queueing_factor
            * (1 + ERROR_COST_FACTOR * self.error_rate)
        )


LEAST_DELAY = "least_delay"
"""Name of the policy that compares the endpoints of all regions by expected delay."""

DEFAULT_SLOWDOWN = 1.5
"""Slowdown assumed without a report; a reported one decays towards it with its age."""

SLOWDOWN_HALF_LIFE_S = 0.1
"""Interference by other workloads on a backend server's machine changes within tenths
of a second."""


def estimate_delay_ms(candidate: Candidate, network_cost_ms: float) -> float:
    """Return the expected time to a response in milliseconds.

    It includes the network cost ``network_cost_ms`` and the wait for a rate limit.
    """
    report_weight = math.exp2(-candidate.report_age_s / SLOWDOWN_HALF_LIFE_S)
    slowdown = (
        report_weight * candidate.slowdown + (1 - report_weight) * DEFAULT_SLOWDOWN
    )
    queued_per_slot = (
        max(0.0, candidate.in_flight + 1 - candidate.limit) / candidate.limit
    )
    service_time_ms = candidate.latency_ms * (slowdown + queued_per_slot)
    return (
        service_time_ms * (1 + ERROR_COST_FACTOR * candidate.error_rate)
        + candidate.rate_wait_ms
        + network_cost_ms
    )


Policy = Callable[[Sequence[Candidate], Random], Candidate]
"""Chooses one candidate from a sequence that is not empty."""


def choose_random(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose uniformly at random."""
    return rng.choice(candidates)


def choose_round_robin(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the least recently chosen candidate, at random among equals."""
    return min(candidates, key=lambda c: (c.last_chosen, rng.random()))


def choose_least_in_flight(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the candidate with the fewest requests in flight from this entry."""
    return min(candidates, key=lambda c: (c.own, rng.random()))


def choose_power_of_two(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Draw two candidates and choose the one with fewer requests from this entry."""
    sampled = rng.sample(candidates, min(2, len(candidates)))
    return min(sampled, key=lambda c: c.own)


def mark_hot(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Mark the candidates whose requests in flight exceed HOT_QUANTILE as hot."""
    if not candidates:
        return []
    ordered = sorted(c.in_flight for c in candidates)
    threshold = ordered[math.ceil(HOT_QUANTILE * len(ordered)) - 1]
    return [replace(c, hot=True) if c.in_flight > threshold else c for c in candidates]


def find_cheapest_cold(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the cold candidates whose cost is within COST_TIE_FACTOR of the lowest.

    Returns an empty list if all candidates are hot.
    """
    cold = [(c.cost, c) for c in candidates if not c.hot]
    if not cold:
        return []
    max_cost = COST_TIE_FACTOR * min(cost for cost, _ in cold)
    return [c for cost, c in cold if cost <= max_cost]


def choose_hot_cold(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the cold candidate of the lowest cost; if all are hot, the least loaded.

    This is the hot-cold lexicographic rule of Prequal (Wydrowski et al., "Load is not
    what you should balance", NSDI 2024). Among cold candidates of about equal cost, the
    one with the fewest requests in flight is chosen, at random among equals.
    """
    cheapest = find_cheapest_cold(candidates)
    if cheapest:
        return min(cheapest, key=lambda c: (c.in_flight, rng.random()))
    return min(
        candidates,
        key=lambda c: (c.error_rate > HIGH_ERROR_RATE, c.in_flight, rng.random()),
    )


POLICIES: Mapping[str, Policy] = {
    "random": choose_random,
    "round_robin": choose_round_robin,
    "least_in_flight": choose_least_in_flight,
    "power_of_two": choose_power_of_two,
    "hot_cold": choose_hot_cold,
}

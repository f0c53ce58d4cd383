"""The policies that choose among candidates; each is a plain function."""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random

from ..model import Endpoint

HOT_QUANTILE = 0.84
"""Candidates above this quantile of requests in flight are hot, as in Prequal."""

LATENCY_TIE = 1.5
"""Latency estimates within this factor of the lowest count as equal: the estimates
carry noise, and a strict minimum would send every entry to the same backend server."""

ERROR_COST = 20.0
"""Added multiples of the latency at an error ratio of 1; one recent error is enough to
put a backend server behind every other."""

HIGH_ERROR_RATE = 0.1
"""Among only hot candidates, those above this error ratio come last."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with what the entry knows of its load.

    ``in_flight`` is estimated from the last report plus the entry's own requests since;
    ``own`` counts only the entry's own requests under way. ``latency_ms`` is in
    milliseconds; ``age_s`` is the age of the report in seconds, infinite if there is
    none. ``limit`` is the number of slots. ``last_chosen`` grows with every choice.
    """

    endpoint: Endpoint
    in_flight: float
    own: int
    latency_ms: float
    age_s: float
    limit: int = 1
    error_rate: float = 0.0
    last_chosen: int = 0
    hot: bool = False
    slowdown: float = 1.0

    @property
    def cost(self) -> float:
        """Return the expected latency in ms, with errors and queueing counted in."""
        queueing = max(1.0, (self.in_flight + 1) / self.limit)
        return self.latency_ms * queueing * (1 + ERROR_COST * self.error_rate)


LEAST_DELAY = "least_delay"
"""Name of the policy that compares backend servers of all regions by expected delay."""

UNKNOWN_SLOWDOWN = 1.5
"""Assumed where no fresh report says how long work takes at the moment."""

SLOWDOWN_HALF_LIFE_S = 0.1
"""Neighbours on the machine of a backend server change within tenths of a second."""


def estimate_delay_ms(candidate: Candidate, distance_ms: float) -> float:
    """Return the expected time to an answer in milliseconds, with its way there."""
    trust = math.exp2(-candidate.age_s / SLOWDOWN_HALF_LIFE_S)
    slowdown = trust * candidate.slowdown + (1 - trust) * UNKNOWN_SLOWDOWN
    waiting = max(0.0, candidate.in_flight + 1 - candidate.limit) / candidate.limit
    work_ms = candidate.latency_ms * (slowdown + waiting)
    return work_ms * (1 + ERROR_COST * candidate.error_rate) + distance_ms


Policy = Callable[[Sequence[Candidate], Random], Candidate]
"""Chooses one of at least one candidate."""


def choose_random(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose uniformly."""
    return rng.choice(candidates)


def choose_round_robin(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the endpoint whose last turn is longest ago."""
    return min(candidates, key=lambda c: (c.last_chosen, rng.random()))


def choose_least_in_flight(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the endpoint with the fewest of this entry's own requests."""
    return min(candidates, key=lambda c: (c.own, rng.random()))


def choose_power_of_two(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the one with fewer of this entry's own requests of two drawn at random."""
    drawn = rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda c: c.own)


def mark_hot(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Mark the candidates whose requests in flight exceed the quantile."""
    if not candidates:
        return []
    ordered = sorted(c.in_flight for c in candidates)
    threshold = ordered[math.ceil(HOT_QUANTILE * len(ordered)) - 1]
    return [replace(c, hot=True) if c.in_flight > threshold else c for c in candidates]


def find_best(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the cold candidates of about the lowest cost; none if all are hot."""
    cold = [(c.cost, c) for c in candidates if not c.hot]
    if not cold:
        return []
    bound = LATENCY_TIE * min(cost for cost, _ in cold)
    return [c for cost, c in cold if cost <= bound]


def choose_hot_cold(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the lowest latency among the cold, else the fewest in flight.

    The rule of Prequal (Wydrowski et al., "Load is not what you should balance",
    NSDI 2024). About equal latencies are decided by requests in flight, then at random.
    """
    best = find_best(candidates)
    if best:
        return min(best, key=lambda c: (c.in_flight, rng.random()))
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

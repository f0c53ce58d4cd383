"""The policies that choose among candidates; each is a plain function."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from ..model import Endpoint


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with what the entry knows of its load.

    ``in_flight`` is the last report plus the entry's own requests since; ``own`` counts
    only the entry's own requests under way. ``latency_ms`` is in milliseconds;
    ``age_s`` is the age of the report in seconds, infinite if there is none.
    """

    endpoint: Endpoint
    in_flight: float
    own: int
    latency_ms: float
    age_s: float


Policy = Callable[[Sequence[Candidate], Random], Candidate]
"""Chooses one of at least one candidate."""


def choose_random(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose uniformly."""
    return rng.choice(candidates)


def choose_least_in_flight(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the endpoint with the fewest of this entry's own requests."""
    return min(candidates, key=lambda c: (c.own, rng.random()))


def choose_power_of_two(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    """Choose the less loaded of two drawn at random."""
    drawn = rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda c: c.own)


POLICIES: Mapping[str, Policy] = {
    "random": choose_random,
    "least_in_flight": choose_least_in_flight,
    "power_of_two": choose_power_of_two,
}

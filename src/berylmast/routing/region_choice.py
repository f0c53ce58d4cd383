"""Decides between a backend server in the own region and a faster one in another.

Load pattern: a service that is overloaded in every region. The expected delays of its
backend servers then differ by chance and by more than the network cost, so the lowest
one is often in another region. A request sent there gains nothing on average, since it
takes the place of one from that region, but its bodies cross the expensive link.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .policies import Candidate

REMOTE_DELAY_RATIO = 0.5
"""A request leaves its region only if that at least halves its expected delay."""


@dataclass(frozen=True, slots=True)
class DelayEstimate:
    """A candidate with its expected delay in milliseconds, network cost included."""

    candidate: Candidate
    delay_ms: float


def choose_lowest_delay(
    estimates: Sequence[DelayEstimate], own_region: str
) -> Candidate:
    """Choose the candidate with the lowest expected delay, preferably a regional one.

    Of equal candidates the first one is chosen.
    """

    def get_delay_ms(estimate: DelayEstimate) -> float:
        return estimate.delay_ms

    best = min(estimates, key=get_delay_ms)
    regional = [e for e in estimates if e.candidate.endpoint.region == own_region]
    if not regional:
        return best.candidate
    best_regional = min(regional, key=get_delay_ms)
    if best.delay_ms <= REMOTE_DELAY_RATIO * best_regional.delay_ms:
        return best.candidate
    return best_regional.candidate

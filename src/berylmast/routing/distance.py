"""What the way to a backend server costs, as milliseconds of delay.

The link between regions is narrow and paid by volume, and traffic between failure
domains is paid for too: a request that can be served nearby a little later is, and a
large body stays nearby for longer than a small one.
"""

from dataclasses import dataclass

from ..model import Endpoint

SAME_DOMAIN_MS = 1.0
OTHER_DOMAIN_MS = 4.0
OTHER_REGION_MS = 20.0

OTHER_DOMAIN_MS_PER_KB = 0.5
OTHER_REGION_MS_PER_KB = 4.0

ANSWER_KB = 5.0
"""Assumed size of an answer, which is not known before it comes."""


@dataclass(frozen=True, slots=True)
class Distance:
    """Where an entry stands; ``address`` is that of its own peer listener."""

    region: str
    failure_domain: str
    address: tuple[str, int] | None


def estimate_distance_ms(place: Distance, endpoint: Endpoint, body_bytes: int) -> float:
    """Return the cost of the way from an entry to the owner of a backend server."""
    if place.address == (endpoint.host, endpoint.port):
        return 0.0
    kilobytes = body_bytes / 1000 + ANSWER_KB
    if endpoint.region != place.region:
        return OTHER_REGION_MS + OTHER_REGION_MS_PER_KB * kilobytes
    if endpoint.failure_domain != place.failure_domain:
        return OTHER_DOMAIN_MS + OTHER_DOMAIN_MS_PER_KB * kilobytes
    return SAME_DOMAIN_MS

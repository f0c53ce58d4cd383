"""What the way to a backend server costs, as milliseconds of delay."""

from dataclasses import dataclass

from ..model import Endpoint

SAME_DOMAIN_MS = 1.0
OTHER_DOMAIN_MS = 8.0
"""Two to three times the round trip: traffic between failure domains is paid for."""

OTHER_REGION_MS = 60.0
"""Four times the round trip: the link between regions is narrow and paid by volume."""


@dataclass(frozen=True, slots=True)
class Distance:
    """Where an entry stands; ``address`` is that of its own peer listener."""

    region: str
    failure_domain: str
    address: tuple[str, int] | None


def estimate_distance_ms(place: Distance, endpoint: Endpoint) -> float:
    """Return the cost of the way from an entry to the owner of a backend server."""
    if place.address == (endpoint.host, endpoint.port):
        return 0.0
    if endpoint.region != place.region:
        return OTHER_REGION_MS
    if endpoint.failure_domain != place.failure_domain:
        return OTHER_DOMAIN_MS
    return SAME_DOMAIN_MS

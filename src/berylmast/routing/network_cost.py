"""The cost of reaching a backend server, expressed as milliseconds of added delay.

The link between regions has little bandwidth and is billed by volume; traffic between
failure domains is billed too. Adding the cost to the expected delay keeps a request
local unless a remote backend server is clearly faster. The cost grows with the size of
the body, so a large body stays local under more load than a small one.
"""

from dataclasses import dataclass

from ..model import Endpoint

SAME_DOMAIN_COST_MS = 1.0
OTHER_DOMAIN_COST_MS = 4.0
OTHER_REGION_COST_MS = 20.0

OTHER_DOMAIN_COST_MS_PER_KB = 0.5
OTHER_REGION_COST_MS_PER_KB = 4.0

ASSUMED_RESPONSE_KB = 5.0
"""Assumed size of a response; its actual size is unknown when the choice is made."""


@dataclass(frozen=True, slots=True)
class EntryLocation:
    """Location of an entry daemon; ``address`` is that of its peer listener."""

    region: str
    failure_domain: str
    address: tuple[str, int] | None


def estimate_network_cost_ms(
    location: EntryLocation, endpoint: Endpoint, body_bytes: int
) -> float:
    """Return the network cost from an entry to the owner of a backend server.

    It is 0 if the entry owns the backend server itself.
    """
    if location.address == (endpoint.host, endpoint.port):
        return 0.0
    kilobytes = body_bytes / 1000 + ASSUMED_RESPONSE_KB
    if endpoint.region != location.region:
        return OTHER_REGION_COST_MS + OTHER_REGION_COST_MS_PER_KB * kilobytes
    if endpoint.failure_domain != location.failure_domain:
        return OTHER_DOMAIN_COST_MS + OTHER_DOMAIN_COST_MS_PER_KB * kilobytes
    return SAME_DOMAIN_COST_MS

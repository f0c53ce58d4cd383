"""Decides which backend servers a request may be sent to, whatever their load is.

Fault: none; a request must not leave its home regions, and the servers of an evacuated
failure domain must get no requests although they run and report that they are ready.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ..home_regions import describe_home_regions
from ..model import Endpoint

OUTSIDE_HOMES = "outside the home regions"
EVACUATED = "failure domain evacuated"


@dataclass(frozen=True, slots=True)
class Eligibility:
    """The home regions of a request (None: all) and the evacuated failure domains."""

    home_regions: frozenset[str] | None = None
    evacuated: frozenset[str] = frozenset()

    def find_obstacle(self, endpoint: Endpoint) -> str:
        """Return why an endpoint may not get the request, empty if it may."""
        if self.home_regions is not None and endpoint.region not in self.home_regions:
            return OUTSIDE_HOMES
        return EVACUATED if endpoint.failure_domain in self.evacuated else ""

    def select(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints that may get the request."""
        if self.home_regions is None and not self.evacuated:
            return endpoints
        return [e for e in endpoints if not self.find_obstacle(e)]

    def describe_lack(self, service: str, endpoints: Sequence[Endpoint]) -> str:
        """Describe for a refusal that no endpoint of a service is usable.

        ``endpoints`` are all of the service.
        """
        detail = f"no backend server of {service}"
        if self.home_regions is not None:
            detail += f" {describe_home_regions(self.home_regions)}"
        obstructed = {
            e.failure_domain for e in endpoints if self.find_obstacle(e) == EVACUATED
        }
        if obstructed:
            detail += f"; evacuated failure domains: {', '.join(sorted(obstructed))}"
        return detail

"""Decides which backend servers a request may be sent to, regardless of their load.

Fault: an operator evacuates a failure domain whose servers still run and report that
they are ready. Independent of faults, a request must not leave its home regions.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ..home_regions import describe_home_regions
from ..model import Endpoint

OUTSIDE_HOMES = "outside the home regions"
EVACUATED = "failure domain evacuated"


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Decides by the home regions of a request and the evacuated failure domains.

    With ``home_regions`` None, all regions are allowed.
    """

    home_regions: frozenset[str] | None = None
    evacuated: frozenset[str] = frozenset()

    def find_exclusion(self, endpoint: Endpoint) -> str:
        """Return why an endpoint may not get the request, empty if it may."""
        if self.home_regions is not None and endpoint.region not in self.home_regions:
            return OUTSIDE_HOMES
        return EVACUATED if endpoint.failure_domain in self.evacuated else ""

    def select(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints that may get the request."""
        if self.home_regions is None and not self.evacuated:
            return endpoints
        return [e for e in endpoints if not self.find_exclusion(e)]

    def describe_no_endpoint(self, service: str, endpoints: Sequence[Endpoint]) -> str:
        """Return the detail of a refusal because no endpoint of a service is usable.

        ``endpoints`` are all endpoints of the service.
        """
        detail = f"no backend server of {service}"
        if self.home_regions is not None:
            detail += f" {describe_home_regions(self.home_regions)}"
        evacuated_domains = {
            e.failure_domain for e in endpoints if self.find_exclusion(e) == EVACUATED
        }
        if evacuated_domains:
            detail += (
                f"; evacuated failure domains: {', '.join(sorted(evacuated_domains))}"
            )
        return detail

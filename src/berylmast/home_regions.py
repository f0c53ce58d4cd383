"""Decides in which regions a request may be served.

Load pattern: none; the requests of a route or a tenant must not leave its home regions,
also while all servers there are overloaded or lost.
"""

from functools import reduce


def combine_home_regions(*homes: frozenset[str]) -> frozenset[str] | None:
    """Return the regions that all restrictions allow, None if there is no restriction.

    An empty argument is no restriction. The result is empty if the restrictions have no
    region in common; then no server may get the request.
    """
    restrictions = [regions for regions in homes if regions]
    if not restrictions:
        return None
    return reduce(frozenset.intersection, restrictions)


def describe_home_regions(regions: frozenset[str]) -> str:
    """Return the home regions as text for the detail of a refusal."""
    if not regions:
        return "in any home region: the route and the tenant have none in common"
    return f"in the home regions {', '.join(sorted(regions))}"

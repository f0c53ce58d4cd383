"""Guards against a network cost that does not fit the link or the size of the body.

If it is too low for large bodies, they cross the billed link between regions although
a local backend server is only busy; if it is too high, requests queue locally while a
remote one is idle.
"""

import pytest

from ...model import Endpoint
from ..network_cost import EntryLocation, estimate_network_cost_ms
from ..policies import Candidate, estimate_delay_ms

LOCATION = EntryLocation("n", "n1", ("own", 1))


def make_endpoint(host: str, region: str, domain: str) -> Endpoint:
    return Endpoint(host, "s", host, 1, region, domain, 1, 1)


OWN = make_endpoint("own", "n", "n1")
NEAR = make_endpoint("near", "n", "n1")
DOMAIN = make_endpoint("domain", "n", "n2")
REGION = make_endpoint("region", "s", "s1")


@pytest.mark.parametrize("body_bytes", [0, 1_000, 60_000])
def test_network_cost_rises_with_distance(body_bytes: int) -> None:
    costs = [
        estimate_network_cost_ms(LOCATION, endpoint, body_bytes)
        for endpoint in (OWN, NEAR, DOMAIN, REGION)
    ]
    assert costs == sorted(costs)
    assert len(set(costs)) == len(costs)


@pytest.mark.parametrize(
    ("body_bytes", "queued", "leaves_region"),
    [(0, 0, False), (0, 9, True), (60_000, 9, False), (60_000, 30, True)],
    ids=["idle", "busy", "busy-large-body", "overloaded-large-body"],
)
def test_request_leaves_its_region_only_for_a_gain(
    body_bytes: int, queued: int, leaves_region: bool
) -> None:
    def cost(endpoint: Endpoint, in_flight: int) -> float:
        network_cost_ms = estimate_network_cost_ms(LOCATION, endpoint, body_bytes)
        candidate = Candidate(endpoint, in_flight, 0, 120.0, 0.0, limit=9)
        return estimate_delay_ms(candidate, network_cost_ms)

    near = cost(DOMAIN, 9 + queued if queued else 4)
    assert (cost(REGION, 4) < near) == leaves_region


@pytest.mark.parametrize(
    ("slowdown", "age_s", "chosen"),
    [(5.0, 0.01, "quiet"), (5.0, 2.0, "near"), (1.0, 0.01, "near")],
    ids=["slowed-now", "slowed-long-ago", "both-quiet"],
)
def test_slow_neighbor_is_avoided_only_while_it_is_slow(
    slowdown: float, age_s: float, chosen: str
) -> None:
    near = Candidate(NEAR, 2, 0, 100.0, age_s, limit=6, slowdown=slowdown)
    quiet = Candidate(DOMAIN, 2, 0, 100.0, 0.01, limit=6)
    if age_s > 1:
        quiet = Candidate(DOMAIN, 2, 0, 100.0, age_s, limit=6)
    costs = {
        "near": estimate_delay_ms(near, estimate_network_cost_ms(LOCATION, NEAR, 0)),
        "quiet": estimate_delay_ms(
            quiet, estimate_network_cost_ms(LOCATION, DOMAIN, 0)
        ),
    }
    assert min(costs, key=costs.__getitem__) == chosen

"""Guards against requests that cross regions without gain while all are overloaded."""

from dataclasses import replace

import pytest

from ..region_choice import REMOTE_DELAY_RATIO, DelayEstimate, choose_lowest_delay
from .factories import make_candidate, make_endpoint

REGIONAL_MS = 100.0


def make_estimate(backend: str, region: str, delay_ms: float) -> DelayEstimate:
    endpoint = make_endpoint(backend, region=region)
    return DelayEstimate(replace(make_candidate(backend), endpoint=endpoint), delay_ms)


@pytest.mark.parametrize(
    ("delays_ms", "expected"),
    [
        ({"n1": REGIONAL_MS, "n2": 90.0}, "n2"),
        ({"n1": REGIONAL_MS, "s1": 60.0}, "n1"),
        ({"n1": REGIONAL_MS, "s1": REMOTE_DELAY_RATIO * REGIONAL_MS}, "s1"),
        ({"s1": 80.0, "s2": 70.0}, "s2"),
        ({"n1": 900.0, "n2": 700.0, "s1": 400.0, "s2": 300.0}, "s2"),
    ],
    ids=["regional", "small-gain", "large-gain", "none-regional", "all-overloaded"],
)
def test_request_leaves_its_region_only_for_a_large_gain(
    delays_ms: dict[str, float], expected: str
) -> None:
    estimates = [
        make_estimate(backend, "north" if backend[0] == "n" else "south", delay_ms)
        for backend, delay_ms in delays_ms.items()
    ]
    assert choose_lowest_delay(estimates, "north").endpoint.backend == expected

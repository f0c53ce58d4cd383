"""Tests that slots stay free if using them lowers the throughput of the server."""

from random import Random

import pytest

from ..full_slowdown import (
    MIN_SAMPLES,
    UNKNOWN_SLOWDOWN,
    FullSlowdownEstimator,
    count_slots_below_full,
    get_usable_slots,
)


@pytest.mark.parametrize(
    ("slots", "full_slowdown", "usable"),
    [
        (1, 3.0, 1),
        (2, 1.7, 2),
        (2, 2.1, 1),
        (3, 1.0, 3),
        (3, UNKNOWN_SLOWDOWN, 3),
        (3, 1.4, 3),
        (3, 1.7, 2),
        (6, 1.7, 4),
        (9, 1.0, 9),
        (9, 1.6, 6),
    ],
)
def test_usable_slots_have_highest_throughput(
    slots: int, full_slowdown: float, usable: int
) -> None:
    assert get_usable_slots(slots, full_slowdown) == usable


def add_samples(
    estimator: FullSlowdownEstimator, factor: float, samples: int, rng: Random
) -> None:
    for _ in range(samples):
        for in_flight in (1, 2, 3):
            nearly_full = in_flight > count_slots_below_full(3)
            service_time_s = (
                0.05 * rng.lognormvariate(0, 0.3) * (factor if nearly_full else 1.0)
            )
            estimator.add(service_time_s, in_flight, 3)


@pytest.mark.parametrize(("factor", "usable"), [(1.0, 3), (1.7, 2), (3.0, 2)])
@pytest.mark.parametrize("seed", range(5))
def test_slowdown_is_estimated_from_load_at_start(
    seed: int, factor: float, usable: int
) -> None:
    estimator = FullSlowdownEstimator()
    add_samples(estimator, factor, 50, Random(seed))
    assert estimator.estimate == pytest.approx(factor, rel=0.2)
    assert estimator.get_usable_slots(3) == usable


def test_fallback_is_used_until_there_are_enough_samples() -> None:
    estimator = FullSlowdownEstimator(lambda: 1.7)
    assert (estimator.estimate, estimator.get_usable_slots(3)) == (UNKNOWN_SLOWDOWN, 2)
    add_samples(estimator, 1.0, MIN_SAMPLES, Random(1))
    assert estimator.get_usable_slots(3) == 3
    estimator.reset()
    assert estimator.get_usable_slots(3) == 2

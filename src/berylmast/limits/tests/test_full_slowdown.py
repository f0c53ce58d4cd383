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
    ("slots", "full_slowdown", "useful"),
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
def test_slots_are_used_up_to_where_the_server_ends_most(
    slots: int, full_slowdown: float, useful: int
) -> None:
    assert get_usable_slots(slots, full_slowdown) == useful


def learn(
    found: FullSlowdownEstimator, factor: float, samples: int, rng: Random
) -> None:
    for _ in range(samples):
        for in_flight in (1, 2, 3):
            full = in_flight > count_slots_below_full(3)
            service_time_s = (
                0.05 * rng.lognormvariate(0, 0.3) * (factor if full else 1.0)
            )
            found.add(service_time_s, in_flight, 3)


@pytest.mark.parametrize(("factor", "useful"), [(1.0, 3), (1.7, 2), (3.0, 2)])
@pytest.mark.parametrize("seed", range(5))
def test_slowdown_is_learned_from_the_level_at_which_requests_began(
    seed: int, factor: float, useful: int
) -> None:
    found = FullSlowdownEstimator()
    learn(found, factor, 50, Random(seed))
    assert found.estimate == pytest.approx(factor, rel=0.2)
    assert found.get_usable_slots(3) == useful


def test_what_others_found_holds_until_enough_is_seen() -> None:
    found = FullSlowdownEstimator(lambda: 1.7)
    assert (found.estimate, found.get_usable_slots(3)) == (UNKNOWN_SLOWDOWN, 2)
    learn(found, 1.0, MIN_SAMPLES, Random(1))
    assert found.get_usable_slots(3) == 3
    found.reset()
    assert found.get_usable_slots(3) == 2

"""Tests of the decision to send a second copy of a late request.

Copies must help requests that wait at a slow server. Without the limits they would add
work under overload, or exceed what the operators allow.
"""

from dataclasses import replace
from random import Random

import pytest

from ...errors import ErrorKind
from ..hedging import (
    BURST_COPIES,
    DELAY_REFRESH_S,
    MIN_SAMPLES,
    Hedging,
    LateRequest,
    UnsentReason,
    choose_delay_by_budget,
    make_fixed_rule,
)
from ..response_times import MAX_WINDOW_S, ResponseTimes

TYPICAL_S = 0.1
LATE = LateRequest("s", "r", 10.0, 5.0, 0.5)


def make_times(times_s: list[float], now_s: float = 0.0) -> ResponseTimes:
    times = ResponseTimes(now_s)
    for time_s in times_s:
        times.add(time_s, now_s)
    return times


def make_hedging(extra_ratio: float = 0.1, requests: int = 20) -> Hedging:
    """Return a decider with a known typical time and copies in its budget."""
    hedging = Hedging(extra_ratio, make_fixed_rule(0.95))
    for _ in range(requests):
        hedging.record_request("s")
    for _ in range(MIN_SAMPLES):
        hedging.record_time("r", TYPICAL_S, 0.0)
    hedging.get_delay_s("r", 0.0)
    return hedging


@pytest.mark.parametrize(
    ("fast", "slow", "extra_ratio", "delay_s"),
    [
        (MIN_SAMPLES - 1, 0, 0.1, None),
        (MIN_SAMPLES - 11, 10, 0.1, None),
        (1000, 0, 0.1, None),
        (980, 20, 0.1, 0.1),
        (900, 100, 0.1, 0.1),
        (980, 20, 0.001, None),
        (300, 700, 1.0, None),
    ],
    ids=[
        "few-samples",
        "few-samples-with-slow-ones",
        "no-slow-ones",
        "rare-slow-ones",
        "as-many-slow-ones-as-copies",
        "too-few-slow-samples",
        "usually-slow",
    ],
)
def test_delay_separates_slow_requests(
    fast: int, slow: int, extra_ratio: float, delay_s: float | None
) -> None:
    times = make_times([0.1] * fast + [0.5] * slow).summarize(0.0)
    delay = choose_delay_by_budget(times, extra_ratio)
    assert delay == (None if delay_s is None else pytest.approx(delay_s, rel=0.02))


@pytest.mark.parametrize("extra_ratio", [0.02, 0.05, 0.2, 1.0])
def test_late_requests_do_not_exceed_the_budget(extra_ratio: float) -> None:
    """Guards against delays at which copies run out before the slowest requests."""
    rng = Random(1)
    times_s = [rng.lognormvariate(-3, 1) for _ in range(2000)]
    delay_s = choose_delay_by_budget(make_times(times_s).summarize(0), extra_ratio)
    assert delay_s is not None
    late = sum(time_s > 1.02 * delay_s for time_s in times_s)
    assert 0 < late <= extra_ratio * len(times_s)


def test_delay_follows_the_load() -> None:
    hedging = Hedging(0.1, make_fixed_rule(0.95))
    for number in range(100):
        hedging.record_time("r", 0.1, number / 100)
    assert hedging.get_delay_s("r", 1.0) == pytest.approx(0.1, rel=0.02)
    later_s = 2 * MAX_WINDOW_S
    for _ in range(100):
        hedging.record_time("r", 0.3, later_s)
    assert hedging.get_delay_s("r", later_s) == pytest.approx(0.3, rel=0.02)
    idle_s = later_s + 2 * MAX_WINDOW_S + DELAY_REFRESH_S
    assert hedging.get_delay_s("r", idle_s) is None
    assert hedging.get_delay_s("other", idle_s) is None


@pytest.mark.parametrize(
    ("changes", "unsent_reason"),
    [
        ({}, None),
        ({"target_left_s": None}, None),
        ({"deadline_left_s": 0.05}, UnsentReason.DEADLINE),
        ({"target_left_s": 0.05}, UnsentReason.TARGET),
        ({"target_left_s": -1.0}, UnsentReason.TARGET),
        ({"use": 0.9}, UnsentReason.OVERLOAD),
        ({"service": "other"}, UnsentReason.BUDGET),
    ],
)
def test_copy_is_not_sent_where_it_cannot_help(
    changes: dict[str, object], unsent_reason: UnsentReason | None
) -> None:
    late = replace(LATE, **changes)  # type: ignore[arg-type]
    assert make_hedging().find_unsent_reason(late, 0.0) is unsent_reason


@pytest.mark.parametrize(
    ("kind", "refused", "unsent_reason"),
    [
        (ErrorKind.OVERLOADED, 1, None),
        (ErrorKind.OVERLOADED, 5, UnsentReason.OVERLOAD),
        (ErrorKind.BUSY, 5, UnsentReason.OVERLOAD),
        (ErrorKind.PEER_LOST, 5, None),
        (None, 5, None),
    ],
)
def test_no_copy_within_a_second_of_many_refusals(
    kind: ErrorKind | None, refused: int, unsent_reason: UnsentReason | None
) -> None:
    hedging = make_hedging()
    for number in range(20):
        hedging.record_attempt("s", kind if number < refused else None, 5.0)
    assert hedging.find_unsent_reason(LATE, 5.5) is unsent_reason
    assert hedging.find_unsent_reason(LATE, 6.5) is None


def test_copies_never_exceed_the_ratio_and_the_burst_in_any_window() -> None:
    for seed in range(20):
        rng = Random(seed)
        extra_ratio = rng.choice([0.01, 0.05, 0.3, 1.0])
        hedging = Hedging(extra_ratio)
        earned = [0.0]
        copies = [0]
        for _ in range(3000):
            if rng.random() < 0.6:
                hedging.record_request("s")
                earned.append(earned[-1] + extra_ratio)
                copies.append(copies[-1])
            elif hedging.find_unsent_reason(LATE, 0.0) is None:
                hedging.spend("s")
                earned.append(earned[-1])
                copies.append(copies[-1] + 1)
        excess = [sent - limit for sent, limit in zip(copies, earned, strict=True)]
        lowest = 0.0
        for value in excess:
            lowest = min(lowest, value)
            assert value - lowest <= BURST_COPIES + 1e-6, seed
        assert max(excess) <= 1e-6, seed


def test_memory_is_bounded() -> None:
    hedging = Hedging(0.1)
    for number in range(1000):
        hedging.record_time(f"r{number}", 0.1, 0.0)
        hedging.record_request(f"s{number}")
        hedging.get_delay_s(f"r{number}", 0.0)
    assert len(hedging._routes) <= 200
    assert len(hedging._services) <= 200

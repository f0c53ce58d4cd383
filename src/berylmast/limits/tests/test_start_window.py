"""Tests that the starts of the last second are counted, and those before a restart.

Otherwise a server that has just become cold gets the starts of before in addition.
"""

import pytest

from ..start_window import ARRIVAL_MARGIN_S, WINDOW_S, StartWindow

NEVER = float("-inf")
LONG_AGO = -100.0


@pytest.mark.parametrize(
    ("began_s", "warm_s", "starts_s", "now_s", "wait_s"),
    [
        (LONG_AGO, NEVER, [], 5.0, 0.0),
        (LONG_AGO, NEVER, [4.5, 4.6], 5.0, 0.0),
        (LONG_AGO, NEVER, [4.5, 4.6, 4.7], 5.0, 0.52),
        (LONG_AGO, NEVER, [4.5, 4.6, 4.7, 4.8], 5.0, 0.62),
        (LONG_AGO, NEVER, [3.5, 4.6, 4.7], 5.0, 0.0),
        (LONG_AGO, 4.75, [4.5, 4.6, 4.7], 5.0, 0.0),
        (LONG_AGO, 4.71, [4.5, 4.6, 4.7, 4.8, 4.9], 5.0, 0.72),
        (4.5, NEVER, [], 5.0, 0.52),
        (4.5, 4.6, [], 5.0, 0.0),
        (4.5, 4.4, [], 5.0, 0.52),
        (3.9, NEVER, [], 5.0, 0.0),
    ],
    ids=[
        "none",
        "one-left",
        "full",
        "over-full",
        "one-is-older",
        "confirmed-since",
        "confirmed-but-full-again",
        "process-began-within-the-second",
        "confirmed-since-the-process-began",
        "confirmed-before-the-process-began",
        "process-began-earlier",
    ],
)
def test_wait_until_fewer_than_three_starts_are_in_the_last_second(
    began_s: float, warm_s: float, starts_s: list[float], now_s: float, wait_s: float
) -> None:
    window = StartWindow(began_s)
    for start_s in starts_s:
        window.record_start(start_s)
    assert window.get_wait_s(now_s, warm_s, 3) == pytest.approx(wait_s)


def test_starts_are_forgotten_in_time_and_bounded() -> None:
    window = StartWindow(LONG_AGO)
    for tick in range(20_000):
        window.record_start(tick / 1_000)
    expected = round((WINDOW_S + ARRIVAL_MARGIN_S) * 1_000)
    assert window.count(19.999, NEVER) == pytest.approx(expected, abs=1)
    assert len(window._starts_s) < 2_000

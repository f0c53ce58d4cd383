"""Recent times to the response head of one route.

Load pattern: a load that changes within seconds. Times of a former load would place
quantiles far from the present ones, so they are dropped after two windows. Windows are
longer if there are few requests, because high quantiles need many times.
"""

from collections.abc import Callable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MIN_WINDOW_S = 10.0
MAX_WINDOW_S = 60.0
"""Lengths of one window in seconds; the last complete one is kept beside the current.
A window ends between them once it has WINDOW_SAMPLES times."""

WINDOW_SAMPLES = 500

_MIN_TIME_US = 1
_MAX_TIME_US = 60_000_000
_SIGNIFICANT_DIGITS = 2


@dataclass(frozen=True, slots=True)
class TimeQuantiles:
    """The distribution of ``count`` times; ``get_s`` returns a quantile in seconds."""

    count: int
    get_s: Callable[[float], float]


class ResponseTimes:
    """The times of the current window and of the one before, as histograms.

    All times are in seconds, ``now_s`` on the event loop's clock.
    """

    def __init__(self, now_s: float) -> None:
        self._current = _make_histogram()
        self._previous = _make_histogram()
        self._began_s = now_s

    def add(self, time_s: float, now_s: float) -> None:
        """Add one time in seconds."""
        self._slide(now_s)
        time_us = int(time_s * 1e6)
        self._current.record_value(min(max(time_us, _MIN_TIME_US), _MAX_TIME_US))

    def summarize(self, now_s: float) -> TimeQuantiles:
        """Return the quantiles of the times in both windows."""
        self._slide(now_s)
        merged = _make_histogram()
        merged.add(self._previous)
        merged.add(self._current)

        def get_s(quantile: float) -> float:
            value_us: int = merged.get_value_at_percentile(quantile * 100)
            return value_us / 1e6

        return TimeQuantiles(merged.get_total_count(), get_s)

    def _slide(self, now_s: float) -> None:
        age_s = now_s - self._began_s
        full = self._current.get_total_count() >= WINDOW_SAMPLES
        if age_s < (MIN_WINDOW_S if full else MAX_WINDOW_S):
            return
        self._previous = (
            self._current if age_s < 2 * MAX_WINDOW_S else _make_histogram()
        )
        self._current = _make_histogram()
        self._began_s = now_s


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_TIME_US, _MAX_TIME_US, _SIGNIFICANT_DIGITS)

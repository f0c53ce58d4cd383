"""The adaptive concurrency limit of one backend server.

The limit follows additive increase, multiplicative decrease (AIMD), which is stable and
recovers fully. Decreases are triggered by the ratio of latency to a baseline, because
errors alone come too late for a backend server that slows down without returning them.

Each sample is compared with the baseline of its own kind of request. The comparison
uses logarithms, so that kinds of 5 ms and 500 ms have equal weight and a single outlier
has little effect. A window of samples slower than ``SLOW_LATENCY_RATIO`` times the
baseline reduces the limit by that excess, by half at most; any other window in which
the limit was in use raises it by one.

The alternative, a gradient rule, sets the limit on every sample to ``limit * baseline
latency / current latency`` plus some headroom. It reacts faster, but the noise of
single service times moves the limit constantly, and a change in the mix of requests
with different service times looks like a change of load.
"""

import math

WINDOW_SAMPLES = 12
"""Samples per adjustment.

For gamma-distributed service times of shape 4, the geometric mean of 12 samples has a
standard deviation of 16%, far below ``SLOW_LATENCY_RATIO``.
"""

SLOW_LATENCY_RATIO = 2.0
"""Ratio of latency to baseline above which a backend server counts as slow.

Its slots are never exceeded, so queueing inside it does not explain a doubled latency.
"""

ERROR_RATIO_THRESHOLD = 0.3
"""Ratio of errors in a window from which the limit is reduced.

Occasional application errors must not reduce it.
"""

MAX_REQUEST_KINDS = 64
"""Most kinds of requests with their own baseline; any others share one."""

_OTHER_REQUEST_KINDS = ""
_MIN_DECREASE_FACTOR = 0.5
_ERROR_DECREASE_FACTOR = 0.7

# Samples after which a baseline has covered 63% of a step (its time constant). Rising
# latencies are followed more slowly, and most slowly while they count as slow, so that
# the baseline does not adapt to a fault.
_FALLING_BASELINE_SAMPLES = 40
_RISING_BASELINE_SAMPLES = 100
_SLOW_RISING_BASELINE_SAMPLES = 400

_MIN_LATENCY_S = 1e-4


class AdaptiveLimit:
    """A limit between 1 and ``slots``, adjusted by the results of requests."""

    def __init__(self) -> None:
        self._limit = math.inf
        self._baselines: dict[str, float] = {}
        self._window: dict[str, list[float]] = {}
        self._successes = 0
        self._errors = 0
        self._limit_used = False

    def get_limit(self, slots: int) -> int:
        """Return the current limit; a lower ``slots`` applies immediately."""
        self._limit = max(1.0, min(self._limit, slots))
        return int(self._limit)

    def is_slow(self, kind: str, latency_s: float) -> bool:
        """Return whether a latency is slow compared with the baseline of its kind."""
        baseline = self._baselines.get(kind)
        if baseline is None:
            return False
        return _log_latency(latency_s) > baseline + math.log(SLOW_LATENCY_RATIO)

    def record_success(self, kind: str, latency_s: float, *, limit_used: bool) -> None:
        """Record a successful request.

        ``limit_used`` states whether the limit was in use, so that it may be raised.
        """
        if kind not in self._baselines and len(self._baselines) >= MAX_REQUEST_KINDS:
            kind = _OTHER_REQUEST_KINDS
        self._window.setdefault(kind, []).append(_log_latency(latency_s))
        self._successes += 1
        self._limit_used = self._limit_used or limit_used
        self._adjust_after_full_window()

    def record_error(self) -> None:
        """Record a failed request; its latency does not reflect the service time."""
        self._errors += 1
        self._adjust_after_full_window()

    def _adjust_after_full_window(self) -> None:
        samples = self._successes + self._errors
        if samples < WINDOW_SAMPLES:
            return
        log_excess = self._compute_mean_log_ratio() - math.log(SLOW_LATENCY_RATIO)
        if self._errors / samples >= ERROR_RATIO_THRESHOLD:
            self._limit *= _ERROR_DECREASE_FACTOR
        elif log_excess > 0:
            self._limit *= max(_MIN_DECREASE_FACTOR, math.exp(-log_excess))
        elif self._limit_used:
            self._limit += 1
        self._update_baselines(slow=log_excess > 0)
        self._window.clear()
        self._successes = self._errors = 0
        self._limit_used = False

    def _compute_mean_log_ratio(self) -> float:
        """Return the mean log of the ratio of latency to baseline in this window."""
        log_ratios = [
            sample - self._baselines.get(kind, sample)
            for kind, samples in self._window.items()
            for sample in samples
        ]
        return math.fsum(log_ratios) / len(log_ratios) if log_ratios else 0.0

    def _update_baselines(self, *, slow: bool) -> None:
        rise_samples = (
            _SLOW_RISING_BASELINE_SAMPLES if slow else _RISING_BASELINE_SAMPLES
        )
        for kind, samples in self._window.items():
            mean = math.fsum(samples) / len(samples)
            baseline = self._baselines.get(kind, mean)
            time_constant_samples = (
                rise_samples if mean > baseline else _FALLING_BASELINE_SAMPLES
            )
            weight = len(samples) / (len(samples) + time_constant_samples)
            self._baselines[kind] = baseline + weight * (mean - baseline)


def _log_latency(latency_s: float) -> float:
    return math.log(max(latency_s, _MIN_LATENCY_S))

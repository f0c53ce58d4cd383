"""The adaptive concurrency limit of one backend server.

Two families of rules were weighed. A gradient rule sets the limit to ``limit * baseline
latency / current latency`` plus some headroom on every sample; it reacts fast, but the
noise of single service times moves the limit all the time, and with kinds of requests
that differ in service time a change of their mix looks like a change of load.
Additive increase and multiplicative decrease (AIMD) is stable and recovers fully, but
needs a trigger: losses alone come too late for a backend server that slows without
answering errors.

The rule here is AIMD with a latency ratio as its trigger. Each sample is compared with
the baseline of its own kind, in logarithms, so that kinds of 5 ms and 500 ms weigh the
same and one outlier does not decide. A window of samples that is slower than
``SLOW_RATIO`` times the baseline shrinks the limit by that excess, at most by half; any
other window in which the limit was in use adds one.
"""

import math

WINDOW_SAMPLES = 12
"""Samples per decision; with gamma-distributed service times of shape 4 the geometric
mean of 12 has a deviation of 16%, far from ``SLOW_RATIO``."""

SLOW_RATIO = 2.0
"""Latency over the baseline from which a backend server counts as slow. Its slots are
not exceeded, so waiting inside it does not explain a doubled latency."""

ERROR_SHARE = 0.3
"""Share of errors in a window from which the limit shrinks; single failing requests of
an application must not reduce it."""

MAX_KINDS = 64
"""Kinds with a baseline of their own; the rest share one."""

_OTHER_KINDS = ""
_MAX_SHRINK = 0.5
_ERROR_SHRINK = 0.7

# Samples until a baseline follows by 63%. Latencies that rise are followed slowly, and
# more slowly still while they count as slow, so that a fault is not taken for normal.
_FALL_SAMPLES = 40
_RISE_SAMPLES = 100
_SLOW_RISE_SAMPLES = 400

_MIN_LATENCY_S = 1e-4


class AdaptiveLimit:
    """Adjusts a limit between 1 and ``slots`` from finished requests."""

    def __init__(self) -> None:
        self._value = math.inf
        self._baselines: dict[str, float] = {}
        self._window: dict[str, list[float]] = {}
        self._successes = 0
        self._errors = 0
        self._in_use = False

    def get_limit(self, slots: int) -> int:
        """Return the limit now; a change of ``slots`` applies at once."""
        self._value = max(1.0, min(self._value, slots))
        return int(self._value)

    def is_slow(self, kind: str, latency_s: float) -> bool:
        """Tell whether one latency is far above the baseline of its kind."""
        baseline = self._baselines.get(kind)
        if baseline is None:
            return False
        return _log(latency_s) > baseline + math.log(SLOW_RATIO)

    def record_success(self, kind: str, latency_s: float, *, in_use: bool) -> None:
        """Count an answered request; ``in_use``: the limit was about reached."""
        if kind not in self._baselines and len(self._baselines) >= MAX_KINDS:
            kind = _OTHER_KINDS
        self._window.setdefault(kind, []).append(_log(latency_s))
        self._successes += 1
        self._in_use = self._in_use or in_use
        self._close_full_window()

    def record_error(self) -> None:
        """Count a failed request; its latency says nothing about the service time."""
        self._errors += 1
        self._close_full_window()

    def _close_full_window(self) -> None:
        samples = self._successes + self._errors
        if samples < WINDOW_SAMPLES:
            return
        excess = self._measure_excess() - math.log(SLOW_RATIO)
        if self._errors / samples >= ERROR_SHARE:
            self._value *= _ERROR_SHRINK
        elif excess > 0:
            self._value *= max(_MAX_SHRINK, math.exp(-excess))
        elif self._in_use:
            self._value += 1
        self._update_baselines(slow=excess > 0)
        self._window.clear()
        self._successes = self._errors = 0
        self._in_use = False

    def _measure_excess(self) -> float:
        """Return the mean logarithm of latency over baseline in this window."""
        excesses = [
            sample - self._baselines.get(kind, sample)
            for kind, samples in self._window.items()
            for sample in samples
        ]
        return math.fsum(excesses) / len(excesses) if excesses else 0.0

    def _update_baselines(self, *, slow: bool) -> None:
        rise = _SLOW_RISE_SAMPLES if slow else _RISE_SAMPLES
        for kind, samples in self._window.items():
            mean = math.fsum(samples) / len(samples)
            old = self._baselines.get(kind, mean)
            pace = rise if mean > old else _FALL_SAMPLES
            weight = len(samples) / (len(samples) + pace)
            self._baselines[kind] = old + weight * (mean - old)


def _log(latency_s: float) -> float:
    return math.log(max(latency_s, _MIN_LATENCY_S))

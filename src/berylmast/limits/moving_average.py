"""Exponential moving averages."""

import math

_SAMPLE_WEIGHT = 0.1
"""Weight of one sample; the average covers 90% of a step within 22 samples."""

_MIN_SAMPLE_S = 1e-4


class MovingAverage:
    """An exponentially weighted mean; ``value`` is 0 before the first sample.

    With ``start_from_first`` the first sample sets the value; otherwise the mean moves
    from 0.
    """

    def __init__(self, *, start_from_first: bool = True) -> None:
        self.value = 0.0
        self._has_value = not start_from_first

    def add(self, sample: float) -> None:
        """Add one sample."""
        if not self._has_value:
            self._has_value = True
            self.value = sample
            return
        self.value += _SAMPLE_WEIGHT * (sample - self.value)


class GeometricMovingAverage:
    """A moving geometric mean in seconds; single long samples hardly raise it."""

    def __init__(self) -> None:
        self._mean_log = MovingAverage()

    @property
    def value_s(self) -> float:
        """Return the mean; valid only after the first sample."""
        return math.exp(self._mean_log.value)

    def add(self, sample_s: float) -> None:
        """Add one sample in seconds."""
        self._mean_log.add(math.log(max(sample_s, _MIN_SAMPLE_S)))

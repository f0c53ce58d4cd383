"""Moving estimates of a value from single samples."""

import math

_WEIGHT = 0.1
"""Weight of one sample: a step is followed to nine tenths within 22 samples."""

_SHORTEST_S = 1e-4


class MovingEstimate:
    """An exponentially weighted mean; ``value`` is 0 before the first sample."""

    def __init__(self, *, start_from_first: bool = True) -> None:
        self.value = 0.0
        self._seeded = not start_from_first

    def add(self, sample: float) -> None:
        """Count one sample; the first one may set the value as it is."""
        if not self._seeded:
            self._seeded = True
            self.value = sample
            return
        self.value += _WEIGHT * (sample - self.value)


class TypicalTime:
    """A moving geometric mean in seconds, which single long samples hardly raise."""

    def __init__(self) -> None:
        self._log = MovingEstimate()

    @property
    def value_s(self) -> float:
        """Return the estimate; call it only after the first sample."""
        return math.exp(self._log.value)

    def add(self, sample_s: float) -> None:
        """Count one sample in seconds."""
        self._log.add(math.log(max(sample_s, _SHORTEST_S)))

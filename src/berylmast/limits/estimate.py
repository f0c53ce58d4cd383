"""A moving estimate of a value from single samples."""

_WEIGHT = 0.1
"""Weight of one sample: a step is followed to nine tenths within 22 samples."""


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

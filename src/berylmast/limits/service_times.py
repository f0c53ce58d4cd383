"""Estimates the service time of each kind of request at one backend server."""

from .moving_average import GeometricMovingAverage, MovingAverage

DEFAULT_SERVICE_TIME_S = 0.1
"""Expected service time in seconds until the first request has finished."""

MAX_REQUEST_KINDS = 64
_OTHER_REQUEST_KINDS = ""


class ServiceTimes:
    """Keeps a typical service time for each kind of request.

    Kinds beyond ``MAX_REQUEST_KINDS`` share one estimate.
    """

    def __init__(self) -> None:
        self._by_kind: dict[str, GeometricMovingAverage] = {}
        self._mean_ms = MovingAverage()

    @property
    def mean_ms(self) -> float:
        """Return the mean of all kinds in milliseconds, 0 before the first request."""
        return self._mean_ms.value

    @property
    def mean_s(self) -> float:
        """Return the mean of all kinds in seconds, or the default."""
        return self._mean_ms.value / 1000 or DEFAULT_SERVICE_TIME_S

    @property
    def longest_s(self) -> float:
        """Return the longest typical service time, 0 before the first request."""
        return max((time.value_s for time in self._by_kind.values()), default=0.0)

    def estimate_s(self, kind: str) -> float:
        """Return the typical service time of a kind, or the mean if it is new."""
        known = self._by_kind.get(kind, self._by_kind.get(_OTHER_REQUEST_KINDS))
        return self.mean_s if known is None else known.value_s

    def add(self, kind: str, service_time_s: float) -> None:
        """Add the service time of one successful request."""
        if kind not in self._by_kind and len(self._by_kind) >= MAX_REQUEST_KINDS:
            kind = _OTHER_REQUEST_KINDS
        self._by_kind.setdefault(kind, GeometricMovingAverage()).add(service_time_s)
        self._mean_ms.add(service_time_s * 1000)

"""Slow start: each entry ramps up its concurrent requests to a new backend server."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from ..model import Endpoint

START_GRACE_S = 5.0
"""Backend servers first seen within this time after the service's first request are not
limited. The entry itself has just started then, and limits on all of them would hold
back its whole traffic."""

FIRST_LIMIT = 1
SUCCESSES_PER_SLOT = 4
SECONDS_PER_SLOT = 2.0
SLOW_START_S = 20.0


@dataclass(slots=True)
class _BackendStart:
    incarnation: int
    first_seen_s: float
    limited: bool
    successes: int = 0


class SlowStart:
    """Limits this entry's concurrent requests to newly seen backend servers.

    The limit starts at FIRST_LIMIT and grows by one per SUCCESSES_PER_SLOT successful
    responses and per SECONDS_PER_SLOT; it is lifted after SLOW_START_S.
    """

    def __init__(self) -> None:
        self._first_request_s: dict[str, float] = {}
        self._starts: dict[str, _BackendStart] = {}

    def register_endpoints(
        self, endpoints: Sequence[Endpoint], now_s: float
    ) -> list[str]:
        """Register the endpoints of a service; return those that have restarted."""
        restarted = []
        for endpoint in endpoints:
            last_start = self._starts.get(endpoint.backend)
            if (
                last_start is not None
                and last_start.incarnation == endpoint.incarnation
            ):
                continue
            if last_start is not None:
                restarted.append(endpoint.backend)
            first_request_s = self._first_request_s.setdefault(endpoint.service, now_s)
            limited = now_s - first_request_s > START_GRACE_S
            self._starts[endpoint.backend] = _BackendStart(
                endpoint.incarnation, now_s, limited
            )
        return restarted

    def record_success(self, backend: str) -> None:
        """Count a successful response, which raises the limit."""
        start = self._starts.get(backend)
        if start is not None:
            start.successes += 1

    def allows_request(self, backend: str, own_in_flight: int, now_s: float) -> bool:
        """Return whether a backend server may get a further request.

        ``own_in_flight`` is the number of requests in flight from this entry.
        """
        start = self._starts.get(backend)
        if start is None or not start.limited:
            return True
        limit = self.get_limit(backend, now_s)
        if limit is None:
            start.limited = False
            return True
        return own_in_flight < limit

    def get_limit(self, backend: str, now_s: float) -> int | None:
        """Return the limit on concurrent requests, None if there is none."""
        start = self._starts.get(backend)
        if start is None or not start.limited:
            return None
        age_s = now_s - start.first_seen_s
        if age_s >= SLOW_START_S:
            return None
        increase = start.successes // SUCCESSES_PER_SLOT + int(age_s / SECONDS_PER_SLOT)
        return FIRST_LIMIT + increase

    def copy_subset(self, backends: Collection[str]) -> "SlowStart":
        """Return an independent copy that covers only the given backend servers."""
        other = SlowStart()
        other._first_request_s = dict(self._first_request_s)
        other._starts = {
            backend: replace(start)
            for backend, start in self._starts.items()
            if backend in backends
        }
        return other

    def prune(self, backends: frozenset[str]) -> None:
        """Delete the backend servers not in the given set."""
        for backend in [b for b in self._starts if b not in backends]:
            del self._starts[backend]

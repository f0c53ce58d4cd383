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
RAMP_S = 20.0


@dataclass(slots=True)
class _Start:
    incarnation: int
    seen_s: float
    ramping: bool
    successes: int = 0


class Ramp:
    """Limits this entry's concurrent requests to newly seen backend servers.

    The limit starts at FIRST_LIMIT and grows by one per SUCCESSES_PER_SLOT successful
    answers and per SECONDS_PER_SLOT; it is lifted after RAMP_S.
    """

    def __init__(self) -> None:
        self._first_call_s: dict[str, float] = {}
        self._starts: dict[str, _Start] = {}

    def observe(self, endpoints: Sequence[Endpoint], now_s: float) -> list[str]:
        """Register the endpoints of a service; return those that have restarted."""
        restarted = []
        for endpoint in endpoints:
            known = self._starts.get(endpoint.backend)
            if known is not None and known.incarnation == endpoint.incarnation:
                continue
            if known is not None:
                restarted.append(endpoint.backend)
            first_s = self._first_call_s.setdefault(endpoint.service, now_s)
            ramping = now_s - first_s > START_GRACE_S
            self._starts[endpoint.backend] = _Start(
                endpoint.incarnation, now_s, ramping
            )
        return restarted

    def record_success(self, backend: str) -> None:
        """Count a successful answer, which raises the limit."""
        start = self._starts.get(backend)
        if start is not None:
            start.successes += 1

    def has_room(self, backend: str, own: int, now_s: float) -> bool:
        """Return whether a backend server may get a further request.

        ``own`` is the number of requests in flight from this entry.
        """
        start = self._starts.get(backend)
        if start is None or not start.ramping:
            return True
        limit = self.get_limit(backend, now_s)
        if limit is None:
            start.ramping = False
            return True
        return own < limit

    def get_limit(self, backend: str, now_s: float) -> int | None:
        """Return the limit on concurrent requests, None if there is none."""
        start = self._starts.get(backend)
        if start is None or not start.ramping:
            return None
        age_s = now_s - start.seen_s
        if age_s >= RAMP_S:
            return None
        grown = start.successes // SUCCESSES_PER_SLOT + int(age_s / SECONDS_PER_SLOT)
        return FIRST_LIMIT + grown

    def copy_for(self, backends: Collection[str]) -> "Ramp":
        """Return an independent copy that covers only the given backend servers."""
        other = Ramp()
        other._first_call_s = dict(self._first_call_s)
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

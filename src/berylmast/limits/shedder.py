"""Load shedding at the entry, based on the refusals of owners.

This is adaptive client-side throttling: the entry refuses a request with a probability
of ``(requests - K * accepted) / (requests + 1)``, counted over a sliding window. A
refusal by an owner costs the owner and the network about as much as a response, so
excess requests must be refused at the entry.
"""

from collections import OrderedDict
from random import Random
from typing import Protocol
from zlib import crc32

import anyio

from ..errors import ErrorKind

FORWARDED_PER_ACCEPTED = 1.5
"""K, the number of requests forwarded per accepted request.

With 2, owners refuse half of the forwarded requests; with 1, the entry would notice
spare capacity late.
"""

MAX_SHED_PROBABILITY = 0.9
"""Highest probability of shedding; the other requests detect spare capacity."""

WINDOW_S = 1.0
"""Length of the sliding window in seconds.

With K = 1.5, once all forwarded requests are accepted, their number grows 2.4-fold per
window: from a tenth of the offered load to all of it in three windows.
"""

MIN_WINDOW_REQUESTS = 10
"""Nothing is shed on the evidence of fewer requests in the window."""

TENANT_GROUPS = 64
"""Number of groups into which tenants are hashed.

Groups allow shedding the flood of one tenant without shedding most others, and bound
the memory for any number of tenants.
"""

MAX_WINDOWS = 4_096
"""Most windows in memory; the one with the least recent result is evicted."""

OVERLOAD_KINDS = frozenset({ErrorKind.OVERLOADED, ErrorKind.TENANT_LIMIT})
"""Refusals that indicate a lack of capacity."""

_BUCKETS = 10
_BUCKET_S = WINDOW_S / _BUCKETS

_WindowKey = tuple[str, str, int]


class SlidingWindow:
    """Requests and accepted requests in the last ``WINDOW_S`` seconds."""

    def __init__(self) -> None:
        self.requests = 0
        self.accepted = 0
        self._buckets: list[tuple[int, int]] = [(0, 0)] * _BUCKETS
        self._newest_bucket = 0

    def add(self, now_s: float, *, accepted: bool) -> None:
        """Count one request."""
        self.slide(now_s)
        index = self._newest_bucket % _BUCKETS
        requests, accepts = self._buckets[index]
        self._buckets[index] = (requests + 1, accepts + accepted)
        self.requests += 1
        self.accepted += accepted

    def slide(self, now_s: float) -> None:
        """Drop the requests that have left the window."""
        newest_bucket = int(now_s / _BUCKET_S)
        for bucket in range(
            max(self._newest_bucket + 1, newest_bucket - _BUCKETS + 1),
            newest_bucket + 1,
        ):
            requests, accepts = self._buckets[bucket % _BUCKETS]
            self.requests -= requests
            self.accepted -= accepts
            self._buckets[bucket % _BUCKETS] = (0, 0)
        self._newest_bucket = newest_bucket


class Shedder(Protocol):
    """Decides which requests the entry refuses without forwarding them."""

    def admit(self, service: str, priority: str, tenant: str) -> bool:
        """Return False if the request must be refused."""

    def record(
        self, service: str, priority: str, tenant: str, kind: ErrorKind | None
    ) -> None:
        """Record the result of a forwarded request."""


class NoShedder:
    """Sheds nothing, for owners that know the exact capacity of their servers."""

    def admit(self, service: str, priority: str, tenant: str) -> bool:
        """Return True."""
        return True

    def record(
        self, service: str, priority: str, tenant: str, kind: ErrorKind | None
    ) -> None:
        """Do nothing."""


class AdaptiveShedder:
    """Sheds requests with a probability that follows the refusals of owners."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        # The salt makes groups differ between entries, so that two tenants share a
        # group on few entries only.
        self._salt = rng.randbytes(8)
        self._windows: OrderedDict[_WindowKey, SlidingWindow] = OrderedDict()

    def admit(self, service: str, priority: str, tenant: str) -> bool:
        """Return False if the request must be refused; the refusal is recorded."""
        window = self._windows.get(self._make_key(service, priority, tenant))
        if window is None:
            return True
        now_s = anyio.current_time()
        window.slide(now_s)
        if window.requests < MIN_WINDOW_REQUESTS:
            return True
        excess = window.requests - FORWARDED_PER_ACCEPTED * window.accepted
        probability = min(
            MAX_SHED_PROBABILITY, max(0.0, excess / (window.requests + 1))
        )
        if self._rng.random() >= probability:
            return True
        window.add(now_s, accepted=False)
        return False

    def record(
        self, service: str, priority: str, tenant: str, kind: ErrorKind | None
    ) -> None:
        """Record the result of a forwarded request; ``kind`` is None for a response."""
        key = self._make_key(service, priority, tenant)
        window = self._windows.setdefault(key, SlidingWindow())
        self._windows.move_to_end(key)
        if len(self._windows) > MAX_WINDOWS:
            self._windows.popitem(last=False)
        window.add(anyio.current_time(), accepted=kind not in OVERLOAD_KINDS)

    def _make_key(self, service: str, priority: str, tenant: str) -> _WindowKey:
        digest = crc32(self._salt + tenant.encode("latin-1", "replace"))
        return (service, priority, digest % TENANT_GROUPS)

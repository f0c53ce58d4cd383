"""Load shedding at the entry, learned from the refusals of owners.

Adaptive throttling: a request is refused locally with the probability
``(requests - K * accepted) / (requests + 1)`` over a sliding window. Handling a refusal
costs an owner and the network about as much as handling an answer, so a flood must be
refused where it enters.
"""

from collections import OrderedDict
from random import Random
from typing import Protocol
from zlib import crc32

import anyio

from ..errors import ErrorKind

ACCEPT_FACTOR = 1.5
"""K: requests sent per accepted one. With 2 half of what is sent is refused; with 1 the
entry would notice spare capacity only late."""

MAX_SHED = 0.9
"""Never all: the rest shows when capacity is free again."""

WINDOW_S = 1.0
"""Length of the sliding window in seconds. With K = 1.5 what is forwarded grows
2.4-fold per window once all of it is accepted: from a tenth to all in three windows."""

MIN_REQUESTS = 10
"""Fewer requests in the window prove nothing."""

TENANT_GROUPS = 64
"""Tenants are hashed into groups, so that a tenant's flood is shed without the others
and memory does not grow with the number of tenants."""

MAX_KEYS = 4_096
"""Windows in memory; the least recently used is forgotten."""

SHED_KINDS = frozenset({ErrorKind.OVERLOADED, ErrorKind.TENANT_LIMIT})
"""Refusals that show a lack of capacity."""

_STEPS = 10
_STEP_S = WINDOW_S / _STEPS

_Key = tuple[str, str, int]


class _Window:
    """Requests and accepted requests in the last ``WINDOW_S`` seconds."""

    def __init__(self) -> None:
        self.requests = 0
        self.accepted = 0
        self._steps: list[tuple[int, int]] = [(0, 0)] * _STEPS
        self._newest = 0

    def add(self, now_s: float, *, accepted: bool) -> None:
        self.slide(now_s)
        index = self._newest % _STEPS
        requests, accepts = self._steps[index]
        self._steps[index] = (requests + 1, accepts + accepted)
        self.requests += 1
        self.accepted += accepted

    def slide(self, now_s: float) -> None:
        newest = int(now_s / _STEP_S)
        for step in range(max(self._newest + 1, newest - _STEPS + 1), newest + 1):
            requests, accepts = self._steps[step % _STEPS]
            self.requests -= requests
            self.accepted -= accepts
            self._steps[step % _STEPS] = (0, 0)
        self._newest = newest


class Shedder(Protocol):
    """Decides at the entry which requests are not worth forwarding."""

    def admit(self, service: str, priority: str, tenant: str) -> bool:
        """Return False if the request is to be refused."""

    def record(
        self, service: str, priority: str, tenant: str, kind: ErrorKind | None
    ) -> None:
        """Count the end of a forwarded request."""


class NoShedder:
    """Forwards everything: each owner refuses by what it knows exactly."""

    def admit(self, service: str, priority: str, tenant: str) -> bool:
        """Return True."""
        return True

    def record(
        self, service: str, priority: str, tenant: str, kind: ErrorKind | None
    ) -> None:
        """Do nothing."""


class EntryShedder:
    """Decides which requests are refused before they are forwarded."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        # Groups differ between entries: two tenants share one on a few entries only.
        self._salt = rng.randbytes(8)
        self._windows: OrderedDict[_Key, _Window] = OrderedDict()

    def admit(self, service: str, priority: str, tenant: str) -> bool:
        """Return False if the request is to be refused; such a refusal is counted."""
        window = self._windows.get(self._make_key(service, priority, tenant))
        if window is None:
            return True
        now_s = anyio.current_time()
        window.slide(now_s)
        if window.requests < MIN_REQUESTS:
            return True
        excess = window.requests - ACCEPT_FACTOR * window.accepted
        probability = min(MAX_SHED, max(0.0, excess / (window.requests + 1)))
        if self._rng.random() >= probability:
            return True
        window.add(now_s, accepted=False)
        return False

    def record(
        self, service: str, priority: str, tenant: str, kind: ErrorKind | None
    ) -> None:
        """Count the end of a forwarded request; ``kind`` is None if it was answered."""
        key = self._make_key(service, priority, tenant)
        window = self._windows.setdefault(key, _Window())
        self._windows.move_to_end(key)
        if len(self._windows) > MAX_KEYS:
            self._windows.popitem(last=False)
        window.add(anyio.current_time(), accepted=kind not in SHED_KINDS)

    def _make_key(self, service: str, priority: str, tenant: str) -> _Key:
        digest = crc32(self._salt + tenant.encode("latin-1", "replace"))
        return (service, priority, digest % TENANT_GROUPS)

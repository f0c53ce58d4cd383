"""Data classes shared by all packages; frozen, changed by copying."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Names one attempt to run a request, unique across the fleet.

    The counter restarts with each incarnation of the entry daemon.
    """

    entry: str
    incarnation: int
    counter: int

    def __str__(self) -> str:
        return f"{self.entry}/{self.incarnation:x}/{self.counter}"


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A classified request without its body, as the entry sends it to an owner.

    ``deadline_ms`` is the time that remains, in milliseconds, when the frame is sent;
    clocks of two machines are never compared.
    """

    request_id: str
    attempt: AttemptId
    service: str
    priority: str
    tenant: str
    idempotent: bool
    idempotency_key: str | None
    deadline_ms: int
    retry: bool
    method: str
    target: str
    headers: Headers
    has_body: bool


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of one backend server as its owner sees it.

    ``latency_ms`` is a moving estimate of the service time, ``error_rate`` a moving
    ratio from 0 to 1. Reports of one incarnation are ordered by ``seq``.
    """

    backend: str
    incarnation: int
    seq: int
    in_flight: int
    queued: int
    limit: int
    latency_ms: float
    error_rate: float
    draining: bool = False


class EndpointState(StrEnum):
    """Whether a backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as its daemon announces it.

    Only the announcing daemon changes its record; a higher ``(incarnation, seq)``
    replaces a lower one.
    """

    backend: str
    service: str
    host: str
    port: int
    region: str
    failure_domain: str
    incarnation: int
    seq: int
    state: EndpointState = EndpointState.READY

    @property
    def order(self) -> tuple[int, int]:
        """Return the key that orders two records of one backend server."""
        return (self.incarnation, self.seq)


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of one method and path prefix of a service are treated.

    ``deadline_ms`` is in milliseconds. An empty ``methods`` matches every method.
    """

    methods: frozenset[str]
    path_prefix: str
    idempotent: bool
    priority: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Priority:
    """A priority class; ``floor`` is its guaranteed share of slots, from 0 to 1."""

    name: str
    floor: float


@dataclass(frozen=True, slots=True)
class Budgets:
    """Limits on traffic that is not the callers' own, per daemon.

    Bytes are per second; ``probe_ratio`` and ``retry_ratio`` are per request.
    """

    probe_bytes_per_s: int = 2_000
    probe_ratio: float = 0.5
    retry_ratio: float = 0.1
    link_bytes_per_s: int = 250_000


@dataclass(frozen=True, slots=True)
class ServiceSlice:
    """The part of an accepted document that concerns one service.

    ``priorities`` are ordered, the most urgent first. ``region_weights`` is the current
    step of a shift between buildings; an empty mapping leaves the choice to locality.
    """

    service: str
    version: int
    hosts: frozenset[str]
    routes: tuple[Route, ...]
    priorities: tuple[Priority, ...]
    policy: str
    slots: int
    connections: int
    region_weights: Mapping[str, float] = field(default_factory=dict)
    tenant_header: str = "x-tenant"
    budgets: Budgets = Budgets()
    max_body_bytes: int = 1 << 30

    def rank(self, priority: str) -> int:
        """Return the position of a priority, 0 being the most urgent."""
        for index, entry in enumerate(self.priorities):
            if entry.name == priority:
                return index
        return len(self.priorities) - 1


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What one attempt came to, for load, limits and histograms.

    Times are in seconds. ``latency_s`` counts from the start of the attempt.
    ``answer_s`` counts from the end of the request's body to the head of the answer, so
    that a slow caller does not look like a slow backend server; None if there was no
    answer. ``cut_short``: the caller or the deadline ended it before the answer.
    """

    ok: bool
    refused: bool
    latency_s: float
    answer_s: float | None = None
    cut_short: bool = False

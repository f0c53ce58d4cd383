"""Data classes shared by all packages; frozen, changed by copying."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from .errors import ErrorKind

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
    clocks of two machines are never compared. ``target_ms`` is what remains of the time
    in which an answer is on time, below 0 once that has passed, None if there is no
    such time. ``rank`` is the urgency, 0 first. With ``may_spill`` an owner whose
    backend server is busy refuses at once, because another one may be free.
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
    rank: int = 0
    target_ms: int | None = None
    may_spill: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of one backend server as its owner sees it.

    ``latency_ms`` is a moving estimate of the service time, ``error_rate`` a moving
    ratio from 0 to 1. ``slowdown`` is how long work takes at this moment, 1.0 being
    usual; ``full_slowdown`` how much longer it takes while the server is nearly full,
    0.0 while that is not known. Reports of one incarnation are ordered by ``seq``.
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
    slowdown: float = 1.0
    full_slowdown: float = 0.0


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """The load that a backend server states of itself.

    ``slowdown`` is how long work takes at this moment, 1.0 being usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


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
class ShiftStep:
    """One step of a shift between regions; ``starts_at_s`` is Unix time in seconds.

    A step without a start time begins only when the document names it.
    """

    weights: Mapping[str, float]
    starts_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceSlice:
    """The part of an accepted document that concerns one service.

    ``priorities`` are ordered, the most urgent first. ``region_weights`` are in force
    where there is no ``shift``; an empty mapping leaves the choice to locality.
    Without ``ejection``, backend servers that answer errors stay in the choice. With
    ``spills``, a busy owner passes a request on instead of letting it wait.
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
    shift: tuple[ShiftStep, ...] = ()
    shift_current: int = 0
    ejection: bool = True
    health_path: str = ""
    spills: bool = False

    def weights_at(self, now_s: float) -> Mapping[str, float]:
        """Return the region weights in force at a Unix time in seconds.

        That is the step that the document names, or a later one whose date has passed.
        """
        if not self.shift:
            return self.region_weights
        begun = [
            index
            for index, step in enumerate(self.shift)
            if step.starts_at_s is not None and step.starts_at_s <= now_s
        ]
        return self.shift[max([self.shift_current, *begun])].weights

    def rank(self, priority: str) -> int:
        """Return the position of a priority, 0 being the most urgent."""
        for index, entry in enumerate(self.priorities):
            if entry.name == priority:
                return index
        return len(self.priorities) - 1


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What one attempt came to, for load, limits and histograms.

    ``latency_s`` is in seconds from the start of the attempt. ``status`` is the backend
    server's, None if it did not answer; ``kind`` is the error of an attempt that is not
    ``ok``. ``sent_bytes`` and ``answer_bytes`` are the sizes of the bodies.
    """

    ok: bool
    refused: bool
    latency_s: float
    status: int | None = None
    kind: ErrorKind | None = None
    sent_bytes: int = 0
    answer_bytes: int = 0
    answer_s: float | None = None
    cut_short: bool = False


class AttemptState(StrEnum):
    """What an owner answers to a query for an attempt id."""

    NOT_SEEN = "not-seen"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    FORGOTTEN = "forgotten"


class KeyStatus(StrEnum):
    """What the holder of an idempotency key records or answers."""

    NEW = "new"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"
    MISMATCH = "mismatch"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A whole small answer of a backend server, kept to be replayed."""

    status: int
    headers: Headers
    body: bytes


MAX_KEPT_ANSWER_BYTES = 16 * 1024
"""Longest body that is kept; it travels in one frame, as long as a body frame."""

MAX_KEPT_HEADER_BYTES = 16 * 1024
"""Answers with longer headers are not kept, so that the frame stays in its limit."""

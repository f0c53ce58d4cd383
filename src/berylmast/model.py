"""Immutable data classes shared by all packages."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from .errors import ErrorKind
from .identifiers import MAX_EXACT_INT, ExactInt, FrameInt, Host, Name, Port

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Identifies one attempt to run a request, unique across the fleet.

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

    ``deadline_ms`` is the remaining time in milliseconds when the frame is sent; clocks
    of different machines are never compared. ``target_ms`` is the remaining time until
    the latency target, negative once it is missed, None if there is no target. ``rank``
    is the position by urgency, 0 being the most urgent. With ``may_spill`` an owner
    whose backend server is busy refuses at once, because another one may be free.
    ``known_rate_limit`` is the limit in requests per second that the backend server
    stated last as far as the entry knows: its owner may have restarted since.
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
    known_rate_limit: float | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of one backend server as its owner sees it.

    ``latency_ms`` is a moving average of the service time, ``error_rate`` one of the
    error ratio, from 0 to 1. ``slowdown`` is the current service time relative to the
    usual one. ``full_slowdown`` is the service time while the server is nearly full
    relative to that below, 0.0 if unknown. ``backend_leaving`` is set if the backend
    server has stated that it is shutting down; ``draining`` may be its owner's choice.
    ``rate_limit`` is the number of requests per second that the backend server accepts
    in all, ``rate_share`` the number that one entry should send it at most; both are
    None without a limit.
    Reports of one incarnation are ordered by ``seq``.
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
    backend_leaving: bool = False
    rate_limit: float | None = None
    rate_share: float | None = None


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """The load that a backend server reports about itself.

    ``slowdown`` is the current service time relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


@dataclass(frozen=True, slots=True)
class BackendNotice:
    """What a backend server states about itself in one response.

    ``rate_limit`` is the number of requests per second that it accepts from all daemons
    together, None without a usable limit. ``invalid_limit`` is set if the response
    states a limit that can't be used. ``leaving`` is set if the server is shutting down
    permanently.
    """

    rate_limit: float | None = None
    invalid_limit: bool = False
    leaving: bool = False


class EndpointState(StrEnum):
    """Whether a backend server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class DaemonLocation:
    """Where a daemon runs, and the address at which other daemons reach it."""

    host: str
    port: int
    region: str
    failure_domain: str

    @property
    def address(self) -> tuple[str, int]:
        """Return the address at which other daemons reach it."""
        return (self.host, self.port)


FINAL_SEQ = MAX_EXACT_INT
"""Sequence number of the record of a departure. No other record of that incarnation
replaces it, whoever sends it."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as its daemon announces it to the fleet.

    Only the announcing daemon changes the record; a higher ``(incarnation, seq)``
    replaces a lower one. Records from the store and from other daemons are checked
    against the types of the fields.
    """

    backend: Name
    service: Name
    host: Host
    port: Port
    region: Name
    failure_domain: Name
    incarnation: FrameInt
    seq: ExactInt
    state: EndpointState = EndpointState.READY

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key of the records of one backend server."""
        return (self.incarnation, self.seq)


@dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated failure domains at one revision of the store.

    Revisions are comparable within one ``era`` only, which rises when the store comes
    back from a copy of its data. ``failure_domains`` are sorted.
    """

    era: int
    revision: int
    failure_domains: tuple[str, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key: the highest one is the newest."""
        return (self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Route:
    """The settings of requests with certain methods and a path prefix.

    An empty ``methods`` matches every method.
    """

    methods: frozenset[str]
    path_prefix: str
    idempotent: bool
    priority: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Priority:
    """A priority class; ``floor`` is its guaranteed fraction of slots, from 0 to 1."""

    name: str
    floor: float


@dataclass(frozen=True, slots=True)
class Budgets:
    """Limits per daemon on probes, retries and traffic across the link between regions.

    ``probe_ratio`` and ``retry_ratio`` are per request.
    """

    probe_bytes_per_s: int = 2_000
    probe_ratio: float = 0.5
    retry_ratio: float = 0.1
    link_bytes_per_s: int = 250_000


@dataclass(frozen=True, slots=True)
class ShiftStep:
    """One step of a traffic shift between regions.

    ``starts_at_s`` is Unix time in seconds. A step without it takes effect only when
    the document selects it as the current step.
    """

    weights: Mapping[str, float]
    starts_at_s: float | None = None


@dataclass(frozen=True, slots=True)
class ServiceSlice:
    """The configuration of one service from an accepted document.

    ``priorities`` are ordered, the most urgent first. ``region_weights`` apply if there
    is no ``shift``; with an empty mapping, backend servers are chosen by locality.
    Without ``ejection``, backend servers that return errors are still chosen. With
    ``allows_spilling``, a request that would wait at a busy owner is sent to another.
    A backend server is cold for ``cold_start_s`` seconds after its start; while cold it
    tolerates ``cold_rate_per_s`` requests per second, None if it has no such limit.
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
    allows_spilling: bool = False
    cold_start_s: float = 0.0
    cold_rate_per_s: float | None = None

    def get_region_weights(self, now_s: float) -> Mapping[str, float]:
        """Return the region weights in effect at a Unix time in seconds.

        They are those of the step that the document selects, or of a later step whose
        start time has passed.
        """
        if not self.shift:
            return self.region_weights
        started_steps = [
            index
            for index, step in enumerate(self.shift)
            if step.starts_at_s is not None and step.starts_at_s <= now_s
        ]
        return self.shift[max([self.shift_current, *started_steps])].weights

    def rank(self, priority: str) -> int:
        """Return the position of a priority, 0 being the most urgent.

        An unknown priority ranks as the least urgent one.
        """
        for index, priority_class in enumerate(self.priorities):
            if priority_class.name == priority:
                return index
        return len(self.priorities) - 1


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt, for load estimates, limits and histograms.

    ``latency_s`` is measured from the start of the attempt, ``time_to_response_s`` from
    the end of the request body to the head of the response. ``status`` is that of the
    backend server, None if it did not respond; ``kind`` is the error if the attempt is
    not ``ok``. ``sent_bytes`` and ``answer_bytes`` are the sizes of the bodies of the
    request and the response. ``cut_short`` is set if the attempt ended before the
    backend server had finished, for example because the caller disconnected or the
    deadline passed.
    """

    ok: bool
    refused: bool
    latency_s: float
    status: int | None = None
    kind: ErrorKind | None = None
    sent_bytes: int = 0
    answer_bytes: int = 0
    time_to_response_s: float | None = None
    cut_short: bool = False


class AttemptState(StrEnum):
    """The state of an attempt, as an owner reports it to a query for its id."""

    NOT_SEEN = "not-seen"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    FORGOTTEN = "forgotten"


class KeyStatus(StrEnum):
    """The state of an idempotency key, as its holder records or reports it."""

    NEW = "new"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"
    MISMATCH = "mismatch"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete small response of a backend server, stored for replay."""

    status: int
    headers: Headers
    body: bytes


MAX_STORED_BODY_BYTES = 16 * 1024
"""Longest body that is stored; it is sent in one frame, of the size of a body frame."""

MAX_STORED_HEADER_BYTES = 16 * 1024
"""Responses with longer headers are not stored, since their frame would be too long."""

"""The frames that two daemons exchange; one frozen dataclass per frame type.

Every frame names the exchange that it belongs to. An exchange is opened by the dialling
side with an opening frame (``Request``, ``Probe``, ``Query``) and ends with a closing
frame of either side. ``CONNECTION`` frames concern the connection as a whole.
"""

from dataclasses import dataclass

from ..errors import ErrorKind
from ..model import (
    AttemptId,
    AttemptState,
    Headers,
    KeyStatus,
    LoadReport,
    RequestHead,
)

CONNECTION = 0
"""Exchange id of frames that concern the whole connection."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of each side; ``incarnation`` names one life of the daemon."""

    exchange: int
    protocol: int
    daemon: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Request:
    """Opens an exchange: run this request."""

    exchange: int
    head: RequestHead


@dataclass(frozen=True, slots=True)
class Continue:
    """The request passed admission; the owner is about to dispatch it."""

    exchange: int


@dataclass(frozen=True, slots=True)
class Response:
    """Head of the backend server's answer."""

    exchange: int
    status: int
    headers: Headers
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Body:
    """Part of a request's or an answer's body; it consumes flow-control credit."""

    exchange: int
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The body is whole. A body without this frame was cut.

    An owner adds its load: that of the answer's head is older by the body's time.
    """

    exchange: int
    trailers: Headers = ()
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Credit:
    """The receiver consumed this many bytes of body."""

    exchange: int
    size: int


@dataclass(frozen=True, slots=True)
class Reset:
    """The sender no longer takes part in this exchange."""

    exchange: int
    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request did not run and never will under this attempt id.

    ``dispatched`` tells that the backend server saw it and refused it.
    ``retry_after_ms`` is the expected wait for a free slot, 0 if it is not known.
    """

    exchange: int
    kind: ErrorKind
    detail: str
    load: LoadReport
    retry_after_ms: int = 0
    dispatched: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """The request failed after dispatch."""

    exchange: int
    kind: ErrorKind
    detail: str
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Probe:
    """Opens an exchange: report your load."""

    exchange: int


@dataclass(frozen=True, slots=True)
class Load:
    """Answer to a probe."""

    exchange: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat of a connection with open exchanges."""

    exchange: int = CONNECTION


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer to a heartbeat."""

    exchange: int = CONNECTION


@dataclass(frozen=True, slots=True)
class GoAway:
    """The sender's backend server is leaving: send it no new work."""

    exchange: int = CONNECTION


@dataclass(frozen=True, slots=True)
class Query:
    """Opens an exchange: what became of this attempt?

    An owner that has not seen the attempt refuses it from then on.
    """

    exchange: int
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Outcome:
    """Answer to a query; after ``RUNNING`` a second one follows at the attempt's end.

    ``answer_status`` is 0 if no answer was kept; else ``headers`` and ``body`` are it.
    """

    exchange: int
    state: AttemptState
    kind: ErrorKind | None = None
    detail: str = ""
    answer_status: int = 0
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class KeyBegin:
    """Opens an exchange: may a request with this idempotency key run?

    ``token`` names the asking request, so that asking twice is harmless;
    ``deadline_ms`` is the time that remains for it, in milliseconds.
    """

    exchange: int
    service: str
    tenant: str
    key: str
    fingerprint: str
    token: AttemptId
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class KeyState:
    """Answer to ``KeyBegin`` and ``KeyFinish``; the answer fields as in ``Outcome``."""

    exchange: int
    status: KeyStatus
    answer_status: int = 0
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class KeyFinish:
    """Opens an exchange: what became of the request that was given this key."""

    exchange: int
    service: str
    tenant: str
    key: str
    token: AttemptId
    status: KeyStatus
    answer_status: int = 0
    headers: Headers = ()
    body: bytes = b""


Record = tuple[str, str, str, int, str, str, int, int, str]
"""An endpoint record on the wire: the fields of ``model.Endpoint`` in order."""


@dataclass(frozen=True, slots=True)
class Endpoints:
    """Endpoint records that are new or have changed."""

    exchange: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class DocumentHead:
    """A compressed configuration of ``size`` bytes follows in body frames."""

    exchange: int
    version: int
    size: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Opens an exchange: what does the peer hold that the sender does not?

    ``digest`` stands for all endpoint records of the sender, ``version`` is that of its
    configuration.
    """

    exchange: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Compared:
    """Answer to ``Compare``: the same of the peer; what differs follows."""

    exchange: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Endpoint records that have just changed; not answered."""

    exchange: int
    records: tuple[Record, ...]


Frame = (
    Hello
    | Request
    | Continue
    | Response
    | Body
    | End
    | Credit
    | Reset
    | Refuse
    | Fail
    | Probe
    | Load
    | Ping
    | Pong
    | GoAway
    | Query
    | Outcome
    | KeyBegin
    | KeyState
    | KeyFinish
    | Endpoints
    | DocumentHead
    | Compare
    | Compared
    | Tell
)

OpeningFrame = Request | Probe | Query | KeyBegin | KeyFinish | Compare
OPENING_FRAMES = (Request, Probe, Query, KeyBegin, KeyFinish, Compare)

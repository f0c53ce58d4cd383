"""The frames that two daemons send to each other, one frozen dataclass per frame type.

Every frame carries the id of its exchange. The dialing side opens an exchange with one
of the ``OPENING_FRAMES``. An exchange ends with a closing frame of either side. Frames
with the exchange id ``CONNECTION_EXCHANGE_ID`` concern the connection as a whole.
"""

from dataclasses import dataclass
from typing import Literal

from ..errors import ErrorKind
from ..identifiers import FinalStatus, TokenCount
from ..model import (
    AttemptId,
    AttemptState,
    Evacuations,
    Headers,
    KeyStatus,
    LoadReport,
    RequestHead,
)

CONNECTION_EXCHANGE_ID = 0
"""Exchange id of frames that concern the whole connection."""

StoredStatus = Literal[0] | FinalStatus
"""Status of a stored response, 0 if none is stored."""


@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of each side.

    ``incarnation`` identifies one run of the daemon process.
    """

    exchange: int
    protocol: int
    daemon: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Request:
    """Opens an exchange: asks the owner to run a request."""

    exchange: int
    head: RequestHead


@dataclass(frozen=True, slots=True)
class Continue:
    """The request passed admission; the owner is about to dispatch it."""

    exchange: int


@dataclass(frozen=True, slots=True)
class Response:
    """Head of the backend server's response."""

    exchange: int
    status: FinalStatus
    headers: Headers
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Body:
    """Part of a request or response body; it consumes flow-control credit."""

    exchange: int
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """End of a complete body. A body without this frame was truncated.

    An owner adds its current load, since the load in the ``Response`` is older by the
    duration of the body.
    """

    exchange: int
    trailers: Headers = ()
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Credit:
    """The receiver consumed ``size`` body bytes; the sender may send as many more."""

    exchange: int
    size: int


@dataclass(frozen=True, slots=True)
class Reset:
    """The sender has abandoned this exchange."""

    exchange: int
    kind: ErrorKind


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request did not run and never will under this attempt id.

    ``dispatched`` is True if the backend server received the request and refused it.
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
    """The request failed and may have run."""

    exchange: int
    kind: ErrorKind
    detail: str
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Probe:
    """Opens an exchange: asks the owner for its load."""

    exchange: int


@dataclass(frozen=True, slots=True)
class Load:
    """Reply to ``Probe``."""

    exchange: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat of a connection with open exchanges."""

    exchange: int = CONNECTION_EXCHANGE_ID


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to ``Ping``."""

    exchange: int = CONNECTION_EXCHANGE_ID


@dataclass(frozen=True, slots=True)
class GoAway:
    """The sender's backend server is leaving and should get no new requests."""

    exchange: int = CONNECTION_EXCHANGE_ID


@dataclass(frozen=True, slots=True)
class Query:
    """Opens an exchange: asks for the state of an attempt.

    An owner that has not seen the attempt revokes it, so that it can no longer run.
    """

    exchange: int
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Outcome:
    """Reply to ``Query``; after state RUNNING, another follows when the attempt ends.

    ``answer_status``, ``headers`` and ``body`` are the stored response.
    ``answer_status`` is 0 if none is stored.
    """

    exchange: int
    state: AttemptState
    kind: ErrorKind | None = None
    detail: str = ""
    answer_status: StoredStatus = 0
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class KeyBegin:
    """Opens an exchange: asks whether a request with this idempotency key may run.

    ``token`` identifies the request, so that this frame can be sent again safely.
    ``deadline_ms`` is the request's remaining time in milliseconds.
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
    """Reply to ``KeyBegin`` and ``KeyFinish``.

    The fields of the stored response are as in ``Outcome``.
    """

    exchange: int
    status: KeyStatus
    answer_status: StoredStatus = 0
    headers: Headers = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class KeyFinish:
    """Opens an exchange: reports how the request that holds this key ended."""

    exchange: int
    service: str
    tenant: str
    key: str
    token: AttemptId
    status: KeyStatus
    answer_status: StoredStatus = 0
    headers: Headers = ()
    body: bytes = b""


EndpointRecord = tuple[str, str, str, int, str, str, int, int, str]
"""An encoded endpoint record: the fields of ``model.Endpoint`` in order."""


@dataclass(frozen=True, slots=True)
class Endpoints:
    """Endpoint records that are new or have changed."""

    exchange: int
    records: tuple[EndpointRecord, ...]


@dataclass(frozen=True, slots=True)
class DocumentHead:
    """Announces a compressed configuration of ``size`` bytes, sent in Body frames."""

    exchange: int
    version: int
    size: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Opens an exchange: compares endpoint records and configuration with the peer's.

    ``digest`` is a digest of the sender's endpoint records. ``version`` is the version
    of its configuration. ``evacuations`` is None unless the sender knows them.
    """

    exchange: int
    version: int
    digest: str
    evacuations: Evacuations | None = None


@dataclass(frozen=True, slots=True)
class Compared:
    """Reply to ``Compare`` with the peer's values; frames with differences follow.

    ``current_age_ms`` is the age of the peer's evidence that its configuration is
    current (see ``tenancy.freshness``), -1 if it has none or doesn't track it.
    ``evacuations`` as in ``Compare``.
    """

    exchange: int
    version: int
    digest: str
    current_age_ms: int = -1
    evacuations: Evacuations | None = None


@dataclass(frozen=True, slots=True)
class Tell:
    """Endpoint records that have just changed. The receiver sends no reply.

    ``store_era`` is the era of the store if the sender has seen it rise, 0 otherwise.
    """

    exchange: int
    records: tuple[EndpointRecord, ...]
    store_era: int = 0


TokenRequest = tuple[str, TokenCount, TokenCount, TokenCount, TokenCount, TokenCount]
"""An encoded loan request: the fields of ``tenancy.quota_lender.LoanRequest``."""

TokenLoan = tuple[str, TokenCount, TokenCount]
"""An encoded loan: tenant, tokens to spend on arrival, tokens that may be kept."""


@dataclass(frozen=True, slots=True)
class Borrow:
    """Opens an exchange: requests loans of tokens of tenants' quotas from a lender.

    ``daemon`` and ``incarnation`` identify the borrower, which numbers its frames to
    this lender by ``sequence``. ``claims`` are groups of tenants of which the sender is
    about to become a lender.
    """

    exchange: int
    daemon: str
    incarnation: int
    sequence: int
    requests: tuple[TokenRequest, ...]
    claims: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Lend:
    """Reply to ``Borrow``, without the tenants to which the sender does not lend.

    ``disputed`` are the claimed groups of which the sender is a lender itself.
    """

    exchange: int
    loans: tuple[TokenLoan, ...]
    disputed: tuple[int, ...] = ()


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
    | Borrow
    | Lend
)

OpeningFrame = Request | Probe | Query | KeyBegin | KeyFinish | Compare | Borrow
OPENING_FRAMES = (Request, Probe, Query, KeyBegin, KeyFinish, Compare, Borrow)

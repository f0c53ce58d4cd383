"""The error kinds and the response to each of them.

Every refusal and failure that a caller can see is one of these kinds. The table is the
only place that defines the status, the stated outcome and the ``Retry-After`` value.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What the system knows about whether a request ran."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class ErrorKind(StrEnum):
    """Every error that the system reports to a caller, a peer or an operator."""

    BAD_REQUEST = "bad-request"
    HEADERS_TOO_LARGE = "headers-too-large"
    TOO_MANY_HEADERS = "too-many-headers"
    HEADERS_TIMEOUT = "headers-timeout"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_LARGE_UNKNOWN = "body-too-large-unknown"
    BODY_CUT = "body-cut"
    UNKNOWN_SERVICE = "unknown-service"
    NO_BACKEND = "no-backend"
    OVERLOADED = "overloaded"
    SHED = "shed"
    TOO_MANY_REQUESTS = "too-many-requests"
    TENANT_LIMIT = "tenant-limit"
    LINK_BUDGET = "link-budget"
    DRAINING = "draining"
    DEADLINE_NOT_RUN = "deadline-not-run"
    DEADLINE_UNKNOWN = "deadline-unknown"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_LOST = "peer-lost"
    BACKEND_UNREACHABLE = "backend-unreachable"
    BACKEND_CUT = "backend-cut"
    ANSWER_CUT = "answer-cut"
    DUPLICATE_RUNNING = "duplicate-running"
    DUPLICATE_UNKNOWN = "duplicate-unknown"
    ATTEMPT_REVOKED = "attempt-revoked"
    CANCELLED = "cancelled"
    INTERNAL = "internal"
    NO_CONFIGURATION = "no-configuration"
    BUSY = "busy"
    BACKEND_REFUSED = "backend-refused"
    ANSWER_INVALID = "answer-invalid"
    UNKNOWN_KEY = "unknown-key"
    KEYS_NOT_CURRENT = "keys-not-current"


@dataclass(frozen=True, slots=True)
class ResponseSpec:
    """Status, outcome and ``Retry-After`` value of the response to an error kind.

    ``retry_after_s`` is in seconds; None omits the header.
    """

    status: int
    outcome: Outcome
    retry_after_s: int | None = None


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN
_FAILED = Outcome.FAILED

RESPONSE_SPECS: Mapping[ErrorKind, ResponseSpec] = {
    ErrorKind.BAD_REQUEST: ResponseSpec(400, _NOT_RUN),
    ErrorKind.HEADERS_TOO_LARGE: ResponseSpec(431, _NOT_RUN),
    ErrorKind.TOO_MANY_HEADERS: ResponseSpec(431, _NOT_RUN),
    ErrorKind.HEADERS_TIMEOUT: ResponseSpec(408, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ResponseSpec(413, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE_UNKNOWN: ResponseSpec(413, _UNKNOWN),
    ErrorKind.BODY_CUT: ResponseSpec(400, _UNKNOWN),
    ErrorKind.UNKNOWN_SERVICE: ResponseSpec(404, _NOT_RUN),
    ErrorKind.NO_BACKEND: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.OVERLOADED: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.SHED: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.TOO_MANY_REQUESTS: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.TENANT_LIMIT: ResponseSpec(429, _NOT_RUN, 1),
    ErrorKind.LINK_BUDGET: ResponseSpec(503, _NOT_RUN, 5),
    ErrorKind.DRAINING: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.DEADLINE_NOT_RUN: ResponseSpec(504, _NOT_RUN),
    ErrorKind.DEADLINE_UNKNOWN: ResponseSpec(504, _UNKNOWN),
    ErrorKind.PEER_UNREACHABLE: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.PEER_LOST: ResponseSpec(502, _UNKNOWN),
    ErrorKind.BACKEND_UNREACHABLE: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.BACKEND_CUT: ResponseSpec(502, _UNKNOWN),
    ErrorKind.ANSWER_CUT: ResponseSpec(502, _FAILED),
    ErrorKind.DUPLICATE_RUNNING: ResponseSpec(409, _UNKNOWN, 1),
    ErrorKind.DUPLICATE_UNKNOWN: ResponseSpec(409, _UNKNOWN),
    ErrorKind.ATTEMPT_REVOKED: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.CANCELLED: ResponseSpec(499, _UNKNOWN),
    ErrorKind.INTERNAL: ResponseSpec(500, _UNKNOWN),
    ErrorKind.NO_CONFIGURATION: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.BUSY: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.BACKEND_REFUSED: ResponseSpec(503, _NOT_RUN, 1),
    ErrorKind.ANSWER_INVALID: ResponseSpec(502, _UNKNOWN),
    ErrorKind.UNKNOWN_KEY: ResponseSpec(401, _NOT_RUN),
    ErrorKind.KEYS_NOT_CURRENT: ResponseSpec(503, _NOT_RUN, 1),
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error as a value: its kind and a one-sentence description of the cause.

    ``retry_after_s`` is the time in seconds after which a retry of a request that did
    not run is more likely to succeed; None uses the value from the table. ``tenant`` is
    the name of the request's tenant if it was found before the refusal, for the log.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float | None = None
    tenant: str = ""

    @property
    def response_spec(self) -> ResponseSpec:
        """Return the table entry of this kind."""
        return RESPONSE_SPECS[self.kind]

    @property
    def retry_delay_s(self) -> float:
        """Return the time in seconds to wait before a retry."""
        if self.retry_after_s is not None:
            return self.retry_after_s
        return float(self.response_spec.retry_after_s or 0)

    @property
    def not_run(self) -> bool:
        """Return whether the request is known not to have run."""
        return self.response_spec.outcome is Outcome.NOT_RUN

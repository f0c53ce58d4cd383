"""Headers and status codes of the platform's HTTP protocol."""

from dataclasses import replace

from ..backends.interface import BackendInterface, ResponseClass
from ..callers.response import ERROR_HEADER, OUTCOME_HEADER, ErrorResponse
from ..errors import ErrorKind, Outcome, Refusal
from ..model import BackendLoad, Headers, RequestHead

ATTEMPT_ID = b"x-attempt-id"
DEADLINE_MS = b"x-deadline-ms"
SEAL = b"x-response-seal"
NOT_EXECUTED = b"x-not-executed"
# The id of the backend server that must handle the request; any other responds 421.
TARGET = b"x-target-instance"
# The service on the machine where the request originated.
CALLER_SERVICE = b"x-caller-service"
# Comma-separated: running requests, waiting requests, slots and, optionally, the
# slowdown in percent.
LOAD = b"x-server-load"

_SET_HERE = frozenset({DEADLINE_MS, TARGET, CALLER_SERVICE})
READ_AHEAD_BYTES = 64 * 1024

_MISDIRECTED = 421
_USUAL_PERCENT = 100.0


_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_TIMEOUT = 504

_STATUSES = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.BODY_CUT: 400,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.BODY_TOO_LARGE_UNKNOWN: 413,
    ErrorKind.HEADERS_TOO_LARGE: 431,
    ErrorKind.TOO_MANY_HEADERS: 431,
    ErrorKind.HEADERS_TIMEOUT: 408,
    ErrorKind.UNKNOWN_SERVICE: 404,
    ErrorKind.DEADLINE_UNKNOWN: _TIMEOUT,
}
"""Status codes of the error kinds that are answered with neither 502 nor 503.

On the platform 429, 503, 408 and 421 guarantee that the request did not run and never
will.
"""


def read_attempt_id(headers: Headers) -> str:
    """Return the request id that the caller sent, or an empty string."""
    return _find(headers, ATTEMPT_ID).decode("latin-1")


def read_deadline_ms(headers: Headers) -> int | None:
    """Return the caller's timeout in milliseconds, None if absent or malformed."""
    text = _find(headers, DEADLINE_MS).decode("latin-1").strip()
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        return None


def set_origin(headers: Headers, service: str) -> list[tuple[bytes, bytes]]:
    """Return the headers with ``x-caller-service`` set to the given service.

    The caller's own deadline, target and caller service headers are removed.
    """
    kept = [(key, value) for key, value in headers if key not in _SET_HERE]
    return [*kept, (CALLER_SERVICE, service.encode("latin-1"))]


def make_error_answer(refusal: Refusal) -> ErrorResponse:
    """Return the status and headers of an error response.

    By default a request that did not run gets 503 with ``Retry-After``, any other 502.
    """
    status = _STATUSES.get(refusal.kind)
    if status is None:
        status = _UNAVAILABLE if refusal.not_run else _BAD_GATEWAY
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (OUTCOME_HEADER, refusal.answer.outcome.encode()),
        (ERROR_HEADER, refusal.kind.encode()),
    ]
    if status == _UNAVAILABLE:
        headers.append((b"retry-after", f"{refusal.wait_s:.3f}".encode()))
    assert status != _UNAVAILABLE or refusal.answer.outcome is Outcome.NOT_RUN
    return ErrorResponse(status, tuple(headers))


def make_backend_head(
    head: RequestHead, remaining_ms: int, backend: str
) -> RequestHead:
    """Return the request head to send to the backend server with the id ``backend``."""
    headers = [(k, v) for k, v in head.headers if k not in (DEADLINE_MS, TARGET)]
    headers.append((DEADLINE_MS, str(remaining_ms).encode()))
    headers.append((TARGET, backend.encode("latin-1")))
    return replace(head, deadline_ms=remaining_ms, headers=headers)


def judge_answer(status: int, headers: Headers) -> ResponseClass:
    """Classify a backend server's response by its status and headers."""
    names = {key for key, _ in headers}
    if NOT_EXECUTED in names or status == _MISDIRECTED:
        return ResponseClass.NOT_RUN
    if SEAL not in names or b"content-encoding" in names:
        return ResponseClass.INVALID
    return ResponseClass.VALID


def is_stray(head: RequestHead, headers: Headers) -> bool:
    """Tell whether the response carries the attempt id of a different request."""
    found = _find(headers, ATTEMPT_ID)
    return bool(found) and found != _find(head.headers, ATTEMPT_ID)


def read_load(headers: Headers) -> BackendLoad | None:
    """Return the load reported in a response, None if absent or malformed."""
    parts = _find(headers, LOAD).decode("latin-1").split(",")
    try:
        running, waiting, slots = (int(part) for part in parts[:3])
        percent = float(parts[3]) if len(parts) > 3 else _USUAL_PERCENT
    except ValueError:
        return None
    return BackendLoad(running, waiting, slots, percent / _USUAL_PERCENT)


PLATFORM_INTERFACE = BackendInterface(
    make_head=make_backend_head,
    classify=judge_answer,
    is_stray=is_stray,
    read_load=read_load,
    read_ahead_bytes=READ_AHEAD_BYTES,
)


def _find(headers: Headers, name: bytes) -> bytes:
    for key, value in headers:
        if key == name:
            return value
    return b""

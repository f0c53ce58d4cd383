"""Headers and status codes of the platform's HTTP protocol."""

import math
from dataclasses import replace

from ..backends.cold_state import ColdStatement
from ..backends.interface import BackendInterface, ResponseClass
from ..callers.response import ERROR_HEADER, OUTCOME_HEADER, ErrorResponse
from ..errors import ErrorKind, Outcome, Refusal
from ..model import BackendLoad, BackendNotice, Headers, RequestHead

ATTEMPT_ID_HEADER = b"x-attempt-id"
DEADLINE_MS_HEADER = b"x-deadline-ms"
RESPONSE_SEAL_HEADER = b"x-response-seal"
NOT_EXECUTED_HEADER = b"x-not-executed"
# The id of the backend server that must handle the request; any other responds 421.
TARGET_INSTANCE_HEADER = b"x-target-instance"
# The service on the machine where the request originated.
CALLER_SERVICE_HEADER = b"x-caller-service"
# Comma-separated: running requests, waiting requests, slots and, optionally, the
# slowdown in percent.
SERVER_LOAD_HEADER = b"x-server-load"
# Requests per second that the server accepts from all daemons together.
RATE_LIMIT_HEADER = b"server-limit"
# The key of the caller's tenant, which is not passed to servers.
KEY_HEADER = b"x-api-key"
# The name of the tenant that the key belongs to.
TENANT_HEADER = b"x-tenant"
# "1" if the server is shutting down.
LEAVING_HEADER = b"server-leaving"
# The id of the server that sent a health response.
INSTANCE_ID_HEADER = b"x-instance-id"
# Milliseconds for which the server that sent a health response stays cold.
COLD_MS_HEADER = b"x-cold-ms"

_OVERWRITTEN_HEADERS = frozenset(
    {DEADLINE_MS_HEADER, TARGET_INSTANCE_HEADER, CALLER_SERVICE_HEADER}
)
_TENANT_HEADERS = frozenset({KEY_HEADER, TENANT_HEADER})
READ_AHEAD_BYTES = 64 * 1024

MAX_DEADLINE_MS = 24 * 3600 * 1000
"""Longest deadline that counts; a caller that waits longer waits for as long."""

MS_PER_S = 1000

_OK = 200
_MULTIPLE_CHOICES = 300
_MISDIRECTED_REQUEST = 421
_NORMAL_SLOWDOWN_PERCENT = 100.0


_TOO_MANY_REQUESTS = 429
_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

_STATUS_BY_ERROR_KIND = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.BODY_CUT: 400,
    ErrorKind.BODY_TOO_LARGE: 413,
    ErrorKind.BODY_TOO_LARGE_UNKNOWN: 413,
    ErrorKind.HEADERS_TOO_LARGE: 431,
    ErrorKind.TOO_MANY_HEADERS: 431,
    ErrorKind.HEADERS_TIMEOUT: 408,
    ErrorKind.UNKNOWN_SERVICE: 404,
    ErrorKind.TENANT_LIMIT: _TOO_MANY_REQUESTS,
    ErrorKind.DEADLINE_UNKNOWN: _GATEWAY_TIMEOUT,
    ErrorKind.UNKNOWN_KEY: 401,
}
"""Status codes of the error kinds that are answered with neither 502 nor 503.

On the platform 429, 503, 408 and 421 guarantee that the request did not run and never
will.
"""


def read_attempt_id(headers: Headers) -> str:
    """Return the request id that the caller sent, or an empty string."""
    return _get_header(headers, ATTEMPT_ID_HEADER).decode("latin-1")


def read_deadline_ms(headers: Headers) -> int | None:
    """Return the caller's timeout in milliseconds, None if absent or malformed."""
    text = _get_header(headers, DEADLINE_MS_HEADER).decode("latin-1").strip()
    try:
        deadline_ms = float(text)
    except ValueError:
        return None
    if not math.isfinite(deadline_ms):
        return None
    return int(min(max(0.0, deadline_ms), MAX_DEADLINE_MS))


def set_caller_service(headers: Headers, service: str) -> list[tuple[bytes, bytes]]:
    """Return the headers with ``x-caller-service`` set to the given service.

    The caller's own deadline, target and caller service headers are removed.
    """
    forwarded = [
        (key, value) for key, value in headers if key not in _OVERWRITTEN_HEADERS
    ]
    return [*forwarded, (CALLER_SERVICE_HEADER, service.encode("latin-1"))]


def read_key(headers: Headers) -> bytes | None:
    """Return the key of a request, None without one.

    Returns an empty key, which no tenant has, if there is more than one.
    """
    keys = [value for name, value in headers if name == KEY_HEADER]
    if not keys:
        return None
    return keys[0] if len(keys) == 1 else b""


def set_tenant(headers: Headers, tenant: str) -> list[tuple[bytes, bytes]]:
    """Return the headers with ``x-tenant`` set to a tenant, absent if it is empty.

    The key is removed. Names with underscores are removed too, because some servers
    treat them as the same names.
    """
    kept = [
        (name, value)
        for name, value in headers
        if name.lower().replace(b"_", b"-") not in _TENANT_HEADERS
    ]
    if tenant:
        kept.append((TENANT_HEADER, tenant.encode("latin-1")))
    return kept


def make_error_response(refusal: Refusal) -> ErrorResponse:
    """Return the status and headers of an error response.

    By default a request that did not run gets 503 with ``Retry-After``, any other 502.
    """
    status = _STATUS_BY_ERROR_KIND.get(refusal.kind)
    if status is None:
        status = _SERVICE_UNAVAILABLE if refusal.not_run else _BAD_GATEWAY
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (OUTCOME_HEADER, refusal.response_spec.outcome.encode()),
        (ERROR_HEADER, refusal.kind.encode()),
    ]
    if status in (_SERVICE_UNAVAILABLE, _TOO_MANY_REQUESTS):
        headers.append((b"retry-after", f"{refusal.retry_delay_s:.3f}".encode()))
    assert (
        status not in (_SERVICE_UNAVAILABLE, _TOO_MANY_REQUESTS)
        or refusal.response_spec.outcome is Outcome.NOT_RUN
    )
    return ErrorResponse(status, tuple(headers))


def make_backend_head(
    head: RequestHead, remaining_ms: int, backend: str
) -> RequestHead:
    """Return the request head to send to the backend server with the id ``backend``."""
    headers = [
        (k, v)
        for k, v in head.headers
        if k not in (DEADLINE_MS_HEADER, TARGET_INSTANCE_HEADER)
    ]
    headers.append((DEADLINE_MS_HEADER, str(remaining_ms).encode()))
    headers.append((TARGET_INSTANCE_HEADER, backend.encode("latin-1")))
    return replace(head, deadline_ms=remaining_ms, headers=headers)


def classify_response(status: int, headers: Headers) -> ResponseClass:
    """Classify a backend server's response by its status and headers."""
    names = {key for key, _ in headers}
    if NOT_EXECUTED_HEADER in names or status == _MISDIRECTED_REQUEST:
        return ResponseClass.NOT_RUN
    if RESPONSE_SEAL_HEADER not in names or b"content-encoding" in names:
        return ResponseClass.INVALID
    return ResponseClass.VALID


def is_stray(head: RequestHead, headers: Headers) -> bool:
    """Return whether the response carries the attempt id of a different request."""
    attempt_id = _get_header(headers, ATTEMPT_ID_HEADER)
    return bool(attempt_id) and attempt_id != _get_header(
        head.headers, ATTEMPT_ID_HEADER
    )


def read_load(headers: Headers) -> BackendLoad | None:
    """Return the load reported in a response, None if absent or malformed."""
    parts = _get_header(headers, SERVER_LOAD_HEADER).decode("latin-1").split(",")
    try:
        running, waiting, slots = (int(part) for part in parts[:3])
        percent = float(parts[3]) if len(parts) > 3 else _NORMAL_SLOWDOWN_PERCENT
    except ValueError:
        return None
    if not (math.isfinite(percent) and percent > 0):
        return None
    return BackendLoad(running, waiting, slots, percent / _NORMAL_SLOWDOWN_PERCENT)


def read_notice(status: int, headers: Headers) -> BackendNotice | None:
    """Return what a response states about its server.

    Returns None for a response of another server and for one that can't be trusted.
    """
    wrong_server = status == _MISDIRECTED_REQUEST
    if wrong_server or classify_response(status, headers) is ResponseClass.INVALID:
        return None
    return _parse_notice(headers)


def read_health_notice(backend: str, headers: Headers) -> BackendNotice | None:
    """Return what a health response states, None if it names another server."""
    sender = read_health_sender(headers)
    if sender and sender != backend:
        return None
    return _parse_notice(headers)


def read_health_sender(headers: Headers) -> str:
    """Return the id of the server that sent a health response, empty without one."""
    return _get_header(headers, INSTANCE_ID_HEADER).decode("latin-1")


def read_cold_statement(backend: str, status: int, headers: Headers) -> ColdStatement:
    """Return what a health response states about the warm-up of its server.

    A response that names another server states nothing. One without the header implies
    that the server is warm if it is a success and names the server.
    """
    sender = read_health_sender(headers)
    if sender and sender != backend:
        return ColdStatement()
    text = _get_header(headers, COLD_MS_HEADER).decode("latin-1").strip()
    if not text:
        success = _OK <= status < _MULTIPLE_CHOICES
        warm = success and bool(sender)
        return ColdStatement(0.0 if warm else None, implied=warm)
    try:
        cold_ms = float(text)
    except ValueError:
        cold_ms = math.nan
    if not math.isfinite(cold_ms) or cold_ms < 0:
        return ColdStatement(invalid=True)
    return ColdStatement(cold_ms / MS_PER_S)


def _parse_notice(headers: Headers) -> BackendNotice:
    leaving = _get_header(headers, LEAVING_HEADER).strip() == b"1"
    text = _get_header(headers, RATE_LIMIT_HEADER).decode("latin-1").strip()
    if not text:
        return BackendNotice(leaving=leaving)
    try:
        rate_limit = float(text)
    except ValueError:
        rate_limit = math.nan
    if not math.isfinite(rate_limit) or rate_limit < 0:
        return BackendNotice(invalid_limit=True, leaving=leaving)
    return BackendNotice(rate_limit, leaving=leaving)


PLATFORM_INTERFACE = BackendInterface(
    make_head=make_backend_head,
    classify=classify_response,
    is_stray=is_stray,
    read_load=read_load,
    read_notice=read_notice,
    read_health_notice=read_health_notice,
    read_health_sender=read_health_sender,
    read_cold_statement=read_cold_statement,
    read_ahead_bytes=READ_AHEAD_BYTES,
)


def _get_header(headers: Headers, name: bytes) -> bytes:
    for key, value in headers:
        if key == name:
            return value
    return b""

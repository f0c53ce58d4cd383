"""Validates an HTTP request and finds its service and route."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..membership import Directory
from ..model import AttemptId, Headers, RequestHead, Route, ServiceSlice
from ..settings import LimitSettings

DEADLINE_HEADER = b"berylmast-deadline-ms"
RETRY_HEADER = b"berylmast-retry"
REQUEST_ID_HEADER = b"x-request-id"

# RFC 9110 section 7.6.1: these apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
_MAX_DIGITS = 18
"""Every number of up to 18 digits fits into 64 bits."""

DEFAULT_MAX_ATTEMPTS = 3
"""Backend servers that one request may be sent to if its route sets no number."""

PROTECTED_HEADERS = frozenset({b"host", b"content-length"})
"""Headers that are forwarded even if a ``Connection`` header names them."""


@dataclass(frozen=True, slots=True)
class ClassifiedRequest:
    """The head of a validated request and the configuration slice of its service.

    ``body_bytes`` is None for a chunked body, whose length is not known in advance.
    ``max_attempts`` is the number of backend servers that the request may be sent to.
    With ``home_regions`` it may reach backend servers and owners of these regions only;
    an empty set allows none, None allows all. ``filter_trailers`` returns the trailers
    of the request that are passed on. ``route`` names the route that matched.
    """

    head: RequestHead
    service: ServiceSlice
    body_bytes: int | None
    expects_continue: bool = False
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    home_regions: frozenset[str] | None = None
    filter_trailers: Callable[[Headers], Headers] = tuple
    route: str = ""


RequestClassifier = Callable[
    [dict[str, Any]], Awaitable[Result[ClassifiedRequest, Refusal]]
]
"""Classifies the request of an ASGI scope, or returns why it is refused."""


def drop_hop_by_hop(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the end-to-end headers in their order, with names in lower case."""
    lowered = [(key.lower(), value) for key, value in headers]
    connection_options = {
        name.strip().lower()
        for key, value in lowered
        if key == b"connection"
        for name in value.split(b",")
    }
    # A caller must not use Connection to remove headers that routing and message
    # framing depend on.
    dropped = HOP_BY_HOP_HEADERS | (connection_options - PROTECTED_HEADERS)
    return [(k, v) for k, v in lowered if k not in dropped]


def make_classifier(
    directory: Directory, limits: LimitSettings, next_attempt: Callable[[], AttemptId]
) -> RequestClassifier:
    """Return the classifier for Berylmast's own HTTP interface."""

    async def classify(scope: dict[str, Any]) -> Result[ClassifiedRequest, Refusal]:
        if not directory.services():
            return _refuse(
                ErrorKind.NO_CONFIGURATION, "no configuration document is loaded yet"
            )
        return classify_request(scope, directory, limits, next_attempt)

    return classify


def check_headers(
    headers: Headers, max_headers: int, max_bytes: int
) -> Result[None, Refusal]:
    """Refuse headers that exceed a count or a total size in bytes."""
    if len(headers) > max_headers:
        return _refuse(ErrorKind.TOO_MANY_HEADERS, f"{len(headers)} headers")
    size = sum(len(key) + len(value) for key, value in headers)
    if size > max_bytes:
        return _refuse(
            ErrorKind.HEADERS_TOO_LARGE, f"{size} bytes of headers exceed the limit"
        )
    return Ok(None)


def classify_request(
    scope: dict[str, Any],
    directory: Directory,
    limits: LimitSettings,
    next_attempt: Callable[[], AttemptId],
) -> Result[ClassifiedRequest, Refusal]:
    """Check a request against the limits and find its service and route."""
    headers: list[tuple[bytes, bytes]] = scope["headers"]
    checked = check_headers(headers, limits.max_headers, limits.max_header_bytes)
    if checked.is_err():
        return Err(checked.unwrap_err())
    framing = read_body_length(headers)
    if framing.is_err():
        return Err(framing.unwrap_err())
    length = framing.unwrap()
    values = dict(headers)
    host = read_host(scope)
    service = directory.find_service(host)
    if service is None:
        return _refuse(ErrorKind.UNKNOWN_SERVICE, f"no service has host {host!r}")
    method: str = scope["method"]
    route = find_route(service, method, scope["path"])
    if route is None:
        return _refuse(
            ErrorKind.UNKNOWN_SERVICE,
            f"no route of {service.service} matches {method} {scope['path']}",
        )
    deadline = _read_deadline(values, route)
    if deadline.is_err():
        return Err(deadline.unwrap_err())
    if length is not None and length > service.max_body_bytes:
        return _refuse(
            ErrorKind.BODY_TOO_LARGE, f"body of {length} bytes exceeds the limit"
        )
    head = RequestHead(
        request_id=read_request_id(values),
        attempt=next_attempt(),
        service=service.service,
        priority=route.priority,
        tenant=values.get(service.tenant_header.encode(), b"").decode("latin-1"),
        idempotent=route.idempotent,
        idempotency_key=_decode(values.get(b"idempotency-key")),
        deadline_ms=deadline.unwrap(),
        retry=RETRY_HEADER in values,
        method=method,
        target=read_target(scope),
        headers=drop_hop_by_hop(headers),
        has_body=length != 0,
    )
    expects = values.get(b"expect", b"").lower() == b"100-continue"
    return Ok(
        ClassifiedRequest(
            head,
            service,
            length,
            expects and head.has_body,
            route=route.path_prefix,
        )
    )


def read_body_length(headers: Headers) -> Result[int | None, Refusal]:
    """Check message framing and return the length of the body in bytes.

    The length is None for a chunked body (RFC 9112 section 6).
    """
    lengths = [value for key, value in headers if key == b"content-length"]
    codings = [value for key, value in headers if key == b"transfer-encoding"]
    if sum(key == b"host" for key, _ in headers) != 1:
        return _refuse(ErrorKind.BAD_REQUEST, "exactly one Host header is required")
    if codings and lengths:
        return _refuse(
            ErrorKind.BAD_REQUEST,
            "Content-Length and Transfer-Encoding exclude each other",
        )
    if codings:
        if len(codings) > 1 or codings[0].strip().lower() != b"chunked":
            return _refuse(ErrorKind.BAD_REQUEST, "unsupported Transfer-Encoding")
        return Ok(None)
    if not lengths:
        return Ok(0)
    if len(lengths) > 1 or not lengths[0].isdigit() or len(lengths[0]) > _MAX_DIGITS:
        return _refuse(ErrorKind.BAD_REQUEST, "invalid Content-Length")
    return Ok(int(lengths[0]))


def read_host(scope: dict[str, Any]) -> str:
    """Return the host name of a request in lower case, without the port."""
    value: bytes = dict(scope["headers"]).get(b"host", b"")
    return value.decode("latin-1").partition(":")[0].lower()


def read_request_id(values: Mapping[bytes, bytes]) -> str:
    """Return the caller's request id, or a new one if it sent none."""
    return values.get(REQUEST_ID_HEADER, b"").decode("latin-1") or uuid4().hex


def find_route(service: ServiceSlice, method: str, path: str) -> Route | None:
    """Return the route with the longest matching path prefix."""
    matching = [
        route
        for route in service.routes
        if path.startswith(route.path_prefix)
        and (not route.methods or method in route.methods)
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


def _read_deadline(values: dict[bytes, bytes], route: Route) -> Result[int, Refusal]:
    text = values.get(DEADLINE_HEADER)
    if text is None:
        return Ok(route.deadline_ms)
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return _refuse(
            ErrorKind.BAD_REQUEST, f"deadline {text!r} is not a number of milliseconds"
        )
    return Ok(min(int(text), route.deadline_ms))


def read_target(scope: dict[str, Any]) -> str:
    """Return path and query of a request as they were sent, still percent-encoded."""
    path: str = scope["raw_path"].decode("latin-1")
    query: str = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _decode(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _refuse(kind: ErrorKind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind, detail))

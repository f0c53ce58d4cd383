"""From an HTTP request to a classified request head."""

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

# RFC 9110 section 7.6.1: these concern one connection and are not forwarded.
HOP_BY_HOP = frozenset(
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
"""A longer Content-Length would not fit 64 bits."""

DEFAULT_ATTEMPTS = 3
"""Backend servers that one request may be sent to where its route does not say."""

PROTECTED = frozenset({b"host", b"content-length"})
"""Headers that a ``Connection`` option does not remove."""


@dataclass(frozen=True, slots=True)
class Classified:
    """A request head and the slice that classified it.

    ``body_bytes`` is None for a chunked body, whose length is not known.
    ``max_attempts`` is the number of backend servers that the request may be sent to.
    """

    head: RequestHead
    service: ServiceSlice
    body_bytes: int | None
    expects_continue: bool = False
    max_attempts: int = DEFAULT_ATTEMPTS


Classify = Callable[[dict[str, Any]], Awaitable[Result[Classified, Refusal]]]
"""Gives the classified request of an ASGI scope, or why it is refused."""


def drop_hop_by_hop(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are forwarded, in order, names in lower case."""
    lowered = [(key.lower(), value) for key, value in headers]
    named = {
        name.strip().lower()
        for key, value in lowered
        if key == b"connection"
        for name in value.split(b",")
    }
    # Connection options must not remove headers that this daemon or framing relies on.
    dropped = HOP_BY_HOP | (named - PROTECTED)
    return [(k, v) for k, v in lowered if k not in dropped]


def make_classifier(
    directory: Directory, limits: LimitSettings, next_attempt: Callable[[], AttemptId]
) -> Classify:
    """Return the classification of the project's own interface."""

    async def classify(scope: dict[str, Any]) -> Result[Classified, Refusal]:
        if not directory.services():
            return _refuse(ErrorKind.NO_CONFIGURATION, "no document is known yet")
        return classify_request(scope, directory, limits, next_attempt)

    return classify


def check_headers(
    headers: Headers, max_headers: int, max_bytes: int
) -> Result[None, Refusal]:
    """Refuse headers beyond a number or a size in bytes."""
    if len(headers) > max_headers:
        return _refuse(ErrorKind.TOO_MANY_HEADERS, f"{len(headers)} headers")
    size = sum(len(key) + len(value) for key, value in headers)
    if size > max_bytes:
        return _refuse(ErrorKind.HEADERS_TOO_LARGE, f"{size} bytes of headers")
    return Ok(None)


def classify_request(
    scope: dict[str, Any],
    directory: Directory,
    limits: LimitSettings,
    next_attempt: Callable[[], AttemptId],
) -> Result[Classified, Refusal]:
    """Check a request against the limits and find its service and route."""
    headers: list[tuple[bytes, bytes]] = scope["headers"]
    checked = check_headers(headers, limits.max_headers, limits.max_header_bytes)
    if checked.is_err():
        return Err(checked.unwrap_err())
    framing = read_framing(headers)
    if framing.is_err():
        return Err(framing.unwrap_err())
    length = framing.unwrap()
    values = dict(headers)
    host = read_host(scope)
    service = directory.find_service(host)
    if service is None:
        return _refuse(ErrorKind.UNKNOWN_SERVICE, f"no service answers to {host!r}")
    method: str = scope["method"]
    route = find_route(service, method, scope["path"])
    if route is None:
        return _refuse(
            ErrorKind.UNKNOWN_SERVICE,
            f"no route of {service.service} for {method} {scope['path']}",
        )
    deadline = _read_deadline(values, route)
    if deadline.is_err():
        return Err(deadline.unwrap_err())
    if length is not None and length > service.max_body_bytes:
        return _refuse(ErrorKind.BODY_TOO_LARGE, f"body of {length} bytes")
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
        target=make_target(scope),
        headers=drop_hop_by_hop(headers),
        has_body=length != 0,
    )
    expects = values.get(b"expect", b"").lower() == b"100-continue"
    return Ok(Classified(head, service, length, expects and head.has_body))


def read_framing(headers: Headers) -> Result[int | None, Refusal]:
    """Return the length of the body in bytes, None if chunked (RFC 9112 section 6)."""
    lengths = [value for key, value in headers if key == b"content-length"]
    codings = [value for key, value in headers if key == b"transfer-encoding"]
    if sum(key == b"host" for key, _ in headers) != 1:
        return _refuse(ErrorKind.BAD_REQUEST, "exactly one Host header is required")
    if codings and lengths:
        return _refuse(
            ErrorKind.BAD_REQUEST, "both Content-Length and Transfer-Encoding"
        )
    if codings:
        if len(codings) > 1 or codings[0].strip().lower() != b"chunked":
            return _refuse(ErrorKind.BAD_REQUEST, "unsupported Transfer-Encoding")
        return Ok(None)
    if not lengths:
        return Ok(0)
    if len(lengths) > 1 or not lengths[0].isdigit() or len(lengths[0]) > _MAX_DIGITS:
        return _refuse(ErrorKind.BAD_REQUEST, "bad Content-Length")
    return Ok(int(lengths[0]))


def read_host(scope: dict[str, Any]) -> str:
    """Return the host name of a request, in lower case and without a port."""
    value: bytes = dict(scope["headers"]).get(b"host", b"")
    return value.decode("latin-1").partition(":")[0].lower()


def read_request_id(values: Mapping[bytes, bytes]) -> str:
    """Return the caller's request id, a new one if it sent none."""
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
        return _refuse(ErrorKind.BAD_REQUEST, f"deadline {text!r} is not a number")
    return Ok(min(int(text), route.deadline_ms))


def make_target(scope: dict[str, Any]) -> str:
    """Return the path and query of a request as they were sent."""
    path: str = scope["raw_path"].decode("latin-1")
    query: str = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _decode(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _refuse(kind: ErrorKind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind, detail))

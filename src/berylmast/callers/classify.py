"""From an HTTP request to a classified request head."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from uuid import uuid4

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..membership import Directory
from ..membership.directory import MAX_HOST_WAIT_S
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


@dataclass(frozen=True, slots=True)
class Classified:
    """A request head and the slice that classified it."""

    head: RequestHead
    service: ServiceSlice
    body_bytes: int | None


def drop_hop_by_hop(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are forwarded."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    return [(k, v) for k, v in headers if k not in HOP_BY_HOP and k not in named]


def classify_request(
    scope: dict[str, Any],
    directory: Directory,
    limits: LimitSettings,
    next_attempt: Callable[[], AttemptId],
) -> Result[Classified, Refusal]:
    """Check a request against the limits and find its service and route."""
    headers: list[tuple[bytes, bytes]] = scope["headers"]
    if len(headers) > limits.max_headers:
        return _refuse(ErrorKind.TOO_MANY_HEADERS, f"{len(headers)} headers")
    size = sum(len(key) + len(value) for key, value in headers)
    if size > limits.max_header_bytes:
        return _refuse(ErrorKind.HEADERS_TOO_LARGE, f"{size} bytes of headers")
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
    length = values.get(b"content-length")
    if length is not None and int(length) > service.max_body_bytes:
        return _refuse(ErrorKind.BODY_TOO_LARGE, f"body of {length.decode()} bytes")
    has_body = length not in (None, b"0") or b"transfer-encoding" in values
    head = RequestHead(
        request_id=values.get(REQUEST_ID_HEADER, b"").decode("latin-1") or uuid4().hex,
        attempt=next_attempt(),
        service=service.service,
        priority=route.priority,
        tenant=values.get(service.tenant_header.encode(), b"").decode("latin-1"),
        idempotent=route.idempotent,
        idempotency_key=_decode(values.get(b"idempotency-key")),
        deadline_ms=deadline.unwrap(),
        retry=RETRY_HEADER in values,
        method=method,
        target=_make_target(scope),
        headers=drop_hop_by_hop(headers),
        has_body=has_body,
    )
    body_bytes = int(length) if length is not None else None
    return Ok(Classified(head, service, body_bytes if has_body else 0))


def read_host(scope: dict[str, Any]) -> str:
    """Return the host name of a request, in lower case and without a port."""
    value: bytes = dict(scope["headers"]).get(b"host", b"")
    return value.decode("latin-1").partition(":")[0].lower()


def read_wait_s(scope: dict[str, Any]) -> float:
    """Return how long a request may wait for an unknown host, by its own deadline."""
    text: bytes = dict(scope["headers"]).get(DEADLINE_HEADER, b"")
    return int(text) / 1000 if text.isdigit() else MAX_HOST_WAIT_S


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
    if not text.isdigit():
        return _refuse(ErrorKind.BAD_REQUEST, f"deadline {text!r} is not a number")
    return Ok(min(int(text), route.deadline_ms))


def _make_target(scope: dict[str, Any]) -> str:
    path: str = scope["raw_path"].decode("latin-1")
    query: str = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _decode(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _refuse(kind: ErrorKind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind, detail))

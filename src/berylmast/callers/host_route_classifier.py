"""Classifies requests by the host and path routes of the configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..membership.active_document import ActiveDocument
from ..model import AttemptId, Headers, RequestHead
from ..routes import HostRoute
from .caller_wait import CallerWaitEstimator
from .classify import (
    ClassifiedRequest,
    RequestClassifier,
    check_headers,
    drop_hop_by_hop,
    read_body_length,
    read_host,
    read_target,
)

MAX_HEADERS = 200


@dataclass(frozen=True, slots=True)
class CallerHeaderInterface:
    """How an adapter reads and sets the headers of a caller's request.

    ``read_deadline_ms`` returns None if the caller sets no deadline.
    ``set_caller_service`` returns the headers with the name of the service that the
    request comes from.
    """

    read_request_id: Callable[[Headers], str]
    read_deadline_ms: Callable[[Headers], int | None]
    set_caller_service: Callable[[Headers, str], list[tuple[bytes, bytes]]]


def make_host_route_classifier(
    active_document: ActiveDocument,
    header_interface: CallerHeaderInterface,
    choose_service: Callable[[HostRoute], str],
    next_attempt: Callable[[], AttemptId],
    get_caller_service: Callable[[], str],
) -> RequestClassifier:
    """Return the classifier that uses the routes of the current configuration."""
    wait_estimator = CallerWaitEstimator()

    async def classify(scope: dict[str, Any]) -> Result[ClassifiedRequest, Refusal]:
        cfg = active_document.current
        if cfg is None or cfg.limits is None:
            kind = ErrorKind.NO_CONFIGURATION
            return Err(Refusal(kind, "no configuration is loaded yet"))
        request_headers: list[tuple[bytes, bytes]] = scope["headers"]
        limits = cfg.limits
        checked = check_headers(request_headers, MAX_HEADERS, limits.max_header_bytes)
        if checked.is_err():
            return Err(checked.unwrap_err())
        framing = read_body_length(request_headers)
        if framing.is_err():
            return Err(framing.unwrap_err())
        length = framing.unwrap()
        if length is not None and length > limits.max_body_bytes:
            return Err(
                Refusal(
                    ErrorKind.BODY_TOO_LARGE,
                    f"body of {length} bytes exceeds the limit",
                )
            )
        target = read_target(scope)
        host = read_host(scope)
        route = cfg.find_route(host, target.partition("?")[0])
        if route is None:
            detail = f"no route for {host!r} {target!r} in configuration {cfg.version}"
            return Err(Refusal(ErrorKind.UNKNOWN_SERVICE, detail))
        service = cfg.services[choose_service(route)]
        has_body = length != 0
        requested_ms = header_interface.read_deadline_ms(request_headers)
        waited_ms = 0
        if requested_ms is not None:
            waited_ms = wait_estimator.estimate_wait_ms(route.name, requested_ms)
        head = RequestHead(
            request_id=header_interface.read_request_id(request_headers),
            attempt=next_attempt(),
            service=service.service,
            priority=str(route.rank),
            tenant="",
            idempotent=route.idempotent,
            idempotency_key=None,
            deadline_ms=_cap_deadline(requested_ms, route),
            retry=False,
            method=scope["method"],
            target=target,
            headers=header_interface.set_caller_service(
                drop_hop_by_hop(request_headers), get_caller_service()
            ),
            has_body=has_body,
            rank=route.rank,
            target_ms=route.target_ms - waited_ms,
        )
        expects = dict(request_headers).get(b"expect", b"").lower() == b"100-continue"
        return Ok(
            ClassifiedRequest(
                head,
                service,
                length,
                expects and has_body,
                route.max_attempts,
                route=route.name,
            )
        )

    return classify


def _cap_deadline(requested_ms: int | None, route: HostRoute) -> int:
    if requested_ms is None:
        return route.timeout_ms
    return min(requested_ms, route.timeout_ms)

"""Classifies requests by the host and path routes of the configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..membership.active_document import ActiveDocument
from ..model import AttemptId, Headers, RequestHead
from ..routes import HostRoute
from .classify import (
    Classified,
    Classify,
    check_headers,
    drop_hop_by_hop,
    make_target,
    read_framing,
    read_host,
)
from .waited import CallerWaits

MAX_HEADERS = 200


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """How an adapter reads and sets the headers of a caller's request.

    ``read_deadline_ms`` returns None if the caller sets no deadline. ``mark_origin``
    returns the headers with the name of the service that the request comes from.
    """

    read_request_id: Callable[[Headers], str]
    read_deadline_ms: Callable[[Headers], int | None]
    mark_origin: Callable[[Headers, str], list[tuple[bytes, bytes]]]


def make_routed_classifier(
    held: ActiveDocument,
    headers: CallerHeaders,
    choose_service: Callable[[HostRoute], str],
    next_attempt: Callable[[], AttemptId],
    get_origin: Callable[[], str],
) -> Classify:
    """Return the classifier that uses the routes of the current configuration."""
    waits = CallerWaits()

    async def classify(scope: dict[str, Any]) -> Result[Classified, Refusal]:
        cfg = held.current
        if cfg is None or cfg.limits is None:
            kind = ErrorKind.NO_CONFIGURATION
            return Err(Refusal(kind, "no configuration is loaded yet"))
        found: list[tuple[bytes, bytes]] = scope["headers"]
        limits = cfg.limits
        checked = check_headers(found, MAX_HEADERS, limits.max_header_bytes)
        if checked.is_err():
            return Err(checked.unwrap_err())
        framing = read_framing(found)
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
        target = make_target(scope)
        host = read_host(scope)
        route = cfg.find_route(host, target.partition("?")[0])
        if route is None:
            detail = f"no route for {host!r} {target!r} in configuration {cfg.version}"
            return Err(Refusal(ErrorKind.UNKNOWN_SERVICE, detail))
        service = cfg.services[choose_service(route)]
        has_body = length != 0
        wanted_ms = headers.read_deadline_ms(found)
        waited_ms = 0
        if wanted_ms is not None:
            waited_ms = waits.estimate_ms(route.name, wanted_ms)
        head = RequestHead(
            request_id=headers.read_request_id(found),
            attempt=next_attempt(),
            service=service.service,
            priority=str(route.rank),
            tenant="",
            idempotent=route.idempotent,
            idempotency_key=None,
            deadline_ms=_limit_deadline(wanted_ms, route),
            retry=False,
            method=scope["method"],
            target=target,
            headers=headers.mark_origin(drop_hop_by_hop(found), get_origin()),
            has_body=has_body,
            rank=route.rank,
            target_ms=route.target_ms - waited_ms,
        )
        expects = dict(found).get(b"expect", b"").lower() == b"100-continue"
        return Ok(
            Classified(head, service, length, expects and has_body, route.max_attempts)
        )

    return classify


def _limit_deadline(wanted_ms: int | None, route: HostRoute) -> int:
    if wanted_ms is None:
        return route.timeout_ms
    return min(wanted_ms, route.timeout_ms)

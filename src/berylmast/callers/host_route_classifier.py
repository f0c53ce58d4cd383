"""Classifies requests by the host and path routes of the configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..home_regions import combine_home_regions
from ..membership.active_document import ActiveDocument
from ..model import AttemptId, Headers, RequestHead
from ..routes import Configuration, HostRoute, Tenant
from ..telemetry import EventRateLimiter
from ..tenancy.freshness import Freshness
from ..tenancy.key_check import check_key
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

REFUSAL_LINES_PER_S = 1.0
"""Log lines per second about requests refused because of old evidence."""


@dataclass(frozen=True, slots=True)
class CallerHeaderInterface:
    """How an adapter reads and sets the headers of a caller's request.

    ``read_deadline_ms`` returns None if the caller sets no deadline.
    ``set_caller_service`` returns the headers with the name of the service that the
    request comes from. ``read_key`` returns the key of a request, None without one and
    an empty one if there are several. ``set_tenant`` returns the headers without the
    key and with the name of the tenant, which is empty if there is none.
    """

    read_request_id: Callable[[Headers], str]
    read_deadline_ms: Callable[[Headers], int | None]
    set_caller_service: Callable[[Headers, str], list[tuple[bytes, bytes]]]
    read_key: Callable[[Headers], bytes | None] = lambda _headers: None
    set_tenant: Callable[[Headers, str], list[tuple[bytes, bytes]]] = (
        lambda headers, _tenant: list(headers)
    )


def make_host_route_classifier(
    active_document: ActiveDocument,
    header_interface: CallerHeaderInterface,
    choose_service: Callable[[HostRoute], str],
    next_attempt: Callable[[], AttemptId],
    get_caller_service: Callable[[], str],
    freshness: Freshness | None = None,
) -> RequestClassifier:
    """Return the classifier that uses the routes of the current configuration.

    With ``freshness``, requests with a key are refused unless the configuration is
    known to have been current lately.
    """
    wait_estimator = CallerWaitEstimator()
    refusal_log = EventRateLimiter(REFUSAL_LINES_PER_S)

    def drop_tenant_headers(headers: Headers) -> Headers:
        return header_interface.set_tenant(headers, "")

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
        path = target.partition("?")[0]
        route = cfg.find_route(host, path)
        if route is None:
            detail = f"no route for {host!r} {target!r} in configuration {cfg.version}"
            return Err(Refusal(ErrorKind.UNKNOWN_SERVICE, detail))
        checked_tenant = _find_tenant(
            cfg, route, path, request_headers, header_interface, freshness
        )
        if checked_tenant.is_err():
            refusal = checked_tenant.unwrap_err()
            if refusal.kind is ErrorKind.KEYS_NOT_CURRENT and freshness is not None:
                _record_old_evidence(freshness, refusal, cfg, refusal_log)
            return Err(refusal)
        tenant = checked_tenant.unwrap()
        rank = _get_rank(route, tenant)
        headers = header_interface.set_caller_service(
            drop_hop_by_hop(request_headers), get_caller_service()
        )
        filter_trailers: Callable[[Headers], Headers] = tuple
        if cfg.tenants:
            tenant_name = tenant.name if tenant else ""
            headers = header_interface.set_tenant(headers, tenant_name)
            filter_trailers = drop_tenant_headers
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
            priority=str(rank),
            tenant=tenant.name if tenant else "",
            idempotent=route.idempotent,
            idempotency_key=None,
            deadline_ms=_cap_deadline(requested_ms, route),
            retry=False,
            method=scope["method"],
            target=target,
            headers=headers,
            has_body=has_body,
            rank=rank,
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
                combine_home_regions(
                    route.home_regions, tenant.home_regions if tenant else frozenset()
                ),
                filter_trailers,
                route=route.name,
            )
        )

    return classify


def _find_tenant(
    cfg: Configuration,
    route: HostRoute,
    path: str,
    headers: Headers,
    header_interface: CallerHeaderInterface,
    freshness: Freshness | None,
) -> Result[Tenant | None, Refusal]:
    if not cfg.tenants:
        return Ok(None)
    is_current = freshness is None or freshness.is_current()
    key = header_interface.read_key(headers)
    return check_key(cfg, route, path, key, is_current=is_current)


def _record_old_evidence(
    freshness: Freshness,
    refusal: Refusal,
    cfg: Configuration,
    refusal_log: EventRateLimiter,
) -> None:
    freshness.refusals += 1
    refusal_log.write(
        refusal.kind,
        "keys_not_current",
        tenant=refusal.tenant,
        version=cfg.version,
        age_ms=freshness.get_age_ms(),
    )


def _get_rank(route: HostRoute, tenant: Tenant | None) -> int:
    if tenant is None or tenant.rank is None:
        return route.rank
    return tenant.rank


def _cap_deadline(requested_ms: int | None, route: HostRoute) -> int:
    if requested_ms is None:
        return route.timeout_ms
    return min(requested_ms, route.timeout_ms)

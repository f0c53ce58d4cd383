"""Converts the platform's configuration object to a ``Configuration``."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from ..identifiers import ExactInt
from ..model import ServiceSlice
from ..routes import CallerLimits, Configuration, HostRoute, RoutePart
from ..routing.policies import LEAST_DELAY
from ..settings import Seconds

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

_IDEMPOTENT_KIND = "idempotent"
"""The only route kind that may run twice; ``upload`` and unknown kinds may not."""

_INITIAL_SLOTS = 1
"""Used until the backend server has reported its slots."""


MAX_DURATION_S = 24 * 3600.0
MAX_RANK = 1_000_000
MAX_BYTES = 2**40

_Duration = Annotated[Seconds, Field(gt=0, le=MAX_DURATION_S)]
_ByteLimit = Annotated[int, Field(gt=0, le=MAX_BYTES)]


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _SplitTarget(_WireModel):
    service: str
    weight: float = Field(ge=0, allow_inf_nan=False)


class _Route(_WireModel):
    name: str
    path_prefix: str = Field(alias="pathPrefix", pattern="^/(.*/)?$")
    kind: str
    timeout: _Duration
    target_latency: _Duration = Field(alias="targetLatency")
    priority: int = Field(0, ge=-MAX_RANK, le=MAX_RANK)
    max_attempts: int = Field(1, alias="maxAttempts", ge=1)
    service: str | None = None
    traffic_split: tuple[_SplitTarget, ...] = Field((), alias="trafficSplit")

    @model_validator(mode="after")
    def _check_destination(self) -> "_Route":
        weights = sum(part.weight for part in self.traffic_split)
        if self.service is None and not weights:
            raise ValueError(
                "route needs a service or a traffic split with a weight above 0"
            )
        return self


class _Host(_WireModel):
    host: str = Field(min_length=1)
    # Each entry is a complete route, not just a path.
    routes: tuple[_Route, ...] = Field((), alias="routePaths")


class _Service(_WireModel):
    name: str = Field(min_length=1)
    health_path: str = Field("/healthz", alias="healthPath")
    max_conns: int = Field(64, alias="maxConns", ge=1)


class _Limits(_WireModel):
    max_header_bytes: _ByteLimit = Field(alias="maxHeaderBytes")
    max_body_bytes: _ByteLimit = Field(alias="maxBodyBytes")
    header_timeout: _Duration = Field(alias="headerTimeout")
    idle_timeout: _Duration = Field(alias="idleTimeout")


class _Document(_WireModel):
    version: ExactInt = Field(ge=1)
    services: tuple[_Service, ...]
    limits: _Limits
    virtual_hosts: tuple[_Host, ...] = Field(alias="virtualHosts")


def parse_configuration(spec: object) -> Result[Configuration, str]:
    """Validate an object's ``spec``; the error says what is invalid."""
    try:
        document = _Document.model_validate(spec)
    except ValidationError as exc:
        error = exc.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in error["loc"])
        return Err(f"{location}: {error['msg']}")
    known = {service.name for service in document.services}
    for host in document.virtual_hosts:
        for route in host.routes:
            unknown = [p.service for p in _make_parts(route) if p.service not in known]
            if unknown:
                return Err(f"route {route.name} refers to unknown service {unknown[0]}")
    return Ok(_make_configuration(document))


def _make_configuration(document: _Document) -> Configuration:
    routes: dict[str, list[HostRoute]] = {}
    for host in document.virtual_hosts:
        routes.setdefault(host.host.lower(), []).extend(map(_make_route, host.routes))
    limits = document.limits
    return Configuration(
        version=document.version,
        routes={
            host: tuple(
                sorted(host_routes, key=lambda r: len(r.path_prefix), reverse=True)
            )
            for host, host_routes in routes.items()
        },
        services={s.name: _make_slice(s, document) for s in document.services},
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout,
            idle_timeout_s=limits.idle_timeout,
        ),
    )


def _make_parts(route: _Route) -> tuple[RoutePart, ...]:
    if route.traffic_split:
        return tuple(
            RoutePart(part.service, part.weight)
            for part in route.traffic_split
            if part.weight > 0
        )
    assert route.service is not None
    return (RoutePart(route.service, 1.0),)


def _make_route(route: _Route) -> HostRoute:
    return HostRoute(
        name=route.name,
        path_prefix=route.path_prefix,
        parts=_make_parts(route),
        idempotent=route.kind == _IDEMPOTENT_KIND,
        rank=route.priority,
        timeout_ms=round(route.timeout * 1000),
        target_ms=round(route.target_latency * 1000),
        max_attempts=route.max_attempts,
    )


def _make_slice(service: _Service, document: _Document) -> ServiceSlice:
    return ServiceSlice(
        service=service.name,
        version=document.version,
        hosts=frozenset(),
        routes=(),
        priorities=(),
        policy=LEAST_DELAY,
        slots=_INITIAL_SLOTS,
        connections=service.max_conns,
        max_body_bytes=document.limits.max_body_bytes,
        health_path=service.health_path,
        allows_spilling=True,
    )

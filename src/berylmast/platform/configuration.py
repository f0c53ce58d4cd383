"""Converts the platform's configuration object to a ``Configuration``."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

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


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _SplitTarget(_WireModel):
    service: str
    weight: float = Field(ge=0)


class _Route(_WireModel):
    name: str
    path_prefix: str = Field(alias="pathPrefix", pattern="^/(.*/)?$")
    kind: str
    timeout: Seconds = Field(gt=0)
    target_latency: Seconds = Field(alias="targetLatency", gt=0)
    priority: int = 0
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
    max_header_bytes: int = Field(alias="maxHeaderBytes", gt=0)
    max_body_bytes: int = Field(alias="maxBodyBytes", gt=0)
    header_timeout: Seconds = Field(alias="headerTimeout", gt=0)
    idle_timeout: Seconds = Field(alias="idleTimeout", gt=0)


class _Document(_WireModel):
    version: int = Field(ge=1)
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

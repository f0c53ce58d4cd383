"""Converts the platform's configuration object to a ``Configuration``."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from result import Err, Ok, Result

from ..identifiers import ExactInt, Identifier, Name
from ..model import ServiceSlice
from ..routes import (
    CallerLimits,
    Configuration,
    HostRoute,
    RoutePart,
    Tenant,
    hash_key,
)
from ..routing.policies import LEAST_DELAY
from ..settings import Seconds

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

_IDEMPOTENT_KINDS = frozenset({"idempotent", "download"})
"""The only route kinds that may run twice; ``upload`` and unknown kinds may not."""

_INITIAL_SLOTS = 1
"""Used until the backend server has reported its slots."""


MAX_DURATION_S = 24 * 3600.0
MAX_RANK = 1_000_000
MAX_BYTES = 2**40
MAX_RATE_PER_S = 1e9
MAX_KEY_BYTES = 1024

_Duration = Annotated[Seconds, Field(gt=0, le=MAX_DURATION_S)]
_ByteLimit = Annotated[int, Field(gt=0, le=MAX_BYTES)]
_Rank = Annotated[int, Field(ge=-MAX_RANK, le=MAX_RANK)]
_Rate = Annotated[float, Field(ge=0, le=MAX_RATE_PER_S)]
_Key = Annotated[str, Field(min_length=1, max_length=MAX_KEY_BYTES, pattern="^[!-~]+$")]


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
    priority: _Rank = 0
    max_attempts: int = Field(1, alias="maxAttempts", ge=1)
    service: str | None = None
    traffic_split: tuple[_SplitTarget, ...] = Field((), alias="trafficSplit")
    # Requests on a public route need no key.
    public: bool = False
    home_regions: tuple[Name, ...] = Field((), alias="homeRegions")

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
    # How long a server is cold after its start, and the requests per second that it
    # tolerates meanwhile; 0 for no limit.
    cold_start: Annotated[Seconds, Field(ge=0, le=MAX_DURATION_S)] = Field(
        0.0, alias="coldStart"
    )
    cold_rate_per_s: _Rate = Field(0.0, alias="coldPerS")


class _Tenant(_WireModel):
    # It is sent to backend servers in a header.
    name: Identifier
    keys: tuple[_Key, ...] = Field((), alias="apiKeys")
    priority: _Rank | None = None
    # 0 means no quota.
    rate_per_s: _Rate = Field(0.0, alias="ratePerS")
    burst: _Rate = 0.0
    home_regions: tuple[Name, ...] = Field((), alias="homeRegions")


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
    tenants: tuple[_Tenant, ...] = ()


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
    tenants = [(_make_tenant(tenant), tenant.keys) for tenant in document.tenants]
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
        tenants={tenant.name: tenant for tenant, _ in tenants},
        tenants_by_key={
            hash_key(key.encode()): tenant for tenant, keys in tenants for key in keys
        },
    )


def _make_tenant(tenant: _Tenant) -> Tenant:
    return Tenant(
        name=tenant.name,
        rank=tenant.priority,
        rate_per_s=tenant.rate_per_s or None,
        burst=tenant.burst,
        home_regions=frozenset(tenant.home_regions),
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
        idempotent=route.kind in _IDEMPOTENT_KINDS,
        rank=route.priority,
        timeout_ms=round(route.timeout * 1000),
        target_ms=round(route.target_latency * 1000),
        max_attempts=route.max_attempts,
        public=route.public,
        home_regions=frozenset(route.home_regions),
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
        cold_start_s=service.cold_start,
        cold_rate_per_s=service.cold_rate_per_s or None,
    )

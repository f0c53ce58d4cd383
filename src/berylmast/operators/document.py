"""The document of one environment: models, checks, and its slices per service."""

import pyjson5
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..model import Budgets, PolicyName, Priority, Route, ServiceSlice


class DocumentError(Exception):
    """The document is not acceptable; the message names each fault."""


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class PriorityModel(_Strict):
    """A priority class; ``floor`` is its guaranteed share of slots."""

    name: str = Field(min_length=1)
    floor: float = Field(0.0, ge=0.0, le=1.0)


class RouteModel(_Strict):
    """How requests of some methods below one path are treated."""

    methods: frozenset[str] = frozenset()
    path: str = Field("/", pattern="^/")
    idempotent: bool
    priority: str
    deadline_ms: int = Field(ge=1, le=3_600_000)


class BudgetsModel(_Strict):
    """Limits on traffic that is not the callers' own, per daemon."""

    probe_bytes_per_s: int = Field(2_000, ge=0)
    probe_ratio: float = Field(0.5, ge=0.0)
    retry_ratio: float = Field(0.1, ge=0.0, le=1.0)
    link_bytes_per_s: int = Field(250_000, ge=0)


class ServiceModel(_Strict):
    """One service and how its requests are treated."""

    hosts: frozenset[str] = Field(min_length=1)
    policy: PolicyName = PolicyName.HOT_COLD
    slots: int = Field(ge=1, description="concurrent requests of one backend server")
    connections: int = Field(260, ge=1)
    max_body_bytes: int = Field(1 << 30, ge=0)
    region_weights: dict[str, float] = {}
    ejection: bool = Field(True, description="leave out servers that answer errors")
    routes: tuple[RouteModel, ...] = Field(min_length=1)


class Document(_Strict):
    """The whole document; environment-specific facts live in the daemons' settings."""

    priorities: tuple[PriorityModel, ...] = Field(min_length=1)
    tenant_header: str = "x-tenant"
    budgets: BudgetsModel = BudgetsModel()
    services: dict[str, ServiceModel] = Field(min_length=1)


def parse_document(text: str) -> Document:
    """Read a document from JSON with comments.

    Raises DocumentError with one line per fault.
    """
    try:
        return Document.model_validate(pyjson5.decode(text))
    except pyjson5.Json5DecoderException as exc:
        raise DocumentError(f"not valid JSON with comments: {exc}") from exc
    except ValidationError as exc:
        lines = [
            f"{'.'.join(str(part) for part in fault['loc'])}: {fault['msg']}"
            for fault in exc.errors()
        ]
        raise DocumentError("\n".join(lines)) from exc


def make_slice(document: Document, service: str, version: int) -> ServiceSlice:
    """Return the part of a document that concerns one service."""
    model = document.services[service]
    return ServiceSlice(
        service=service,
        version=version,
        hosts=model.hosts,
        routes=tuple(
            Route(
                methods=route.methods,
                path_prefix=route.path,
                idempotent=route.idempotent,
                priority=route.priority,
                deadline_ms=route.deadline_ms,
            )
            for route in model.routes
        ),
        priorities=tuple(Priority(p.name, p.floor) for p in document.priorities),
        policy=model.policy,
        slots=model.slots,
        connections=model.connections,
        region_weights=model.region_weights,
        tenant_header=document.tenant_header,
        budgets=Budgets(**document.budgets.model_dump()),
        max_body_bytes=model.max_body_bytes,
        ejection=model.ejection,
    )

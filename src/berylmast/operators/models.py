"""Validated models of the document of one environment."""

from datetime import datetime

from pydantic import BaseModel, ConfigDict, Field

MAX_DOCUMENT_BYTES = 1_000_000
"""The platform holds values of up to 1 MB."""

MAX_CONNECTIONS = 1_024
"""Most connections to one backend server. Requests in flight, and so connections in
use, never exceed the slots, which never exceed ``connections``."""


MAX_SLOTS = 1_000_000
"""Load reports carry the slots; an integer beyond 64 bits cannot be sent."""


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


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


class RegionModel(_Strict):
    """The capacity of a service in one region."""

    backends: int = Field(ge=0, description="number of backend servers")


class StepModel(_Strict):
    """One step of a shift: the share of traffic that each region gets.

    A step with a date starts by itself; one without starts when ``current`` names it.
    """

    weights: dict[str, float] = Field(min_length=1)
    starts_at: datetime | None = None


class ShiftModel(_Strict):
    """The move of a service between regions, one step after another."""

    steps: tuple[StepModel, ...] = Field(min_length=1)
    current: int = Field(0, ge=0, description="index of the step in force")


class ServiceModel(_Strict):
    """One service and how its requests are treated."""

    hosts: frozenset[str] = Field(min_length=1)
    policy: str = "hot_cold"
    ejection: bool = Field(True, description="leave out servers that answer errors")
    slots: int = Field(
        ge=1, le=MAX_SLOTS, description="concurrent requests of one backend server"
    )
    connections: int = Field(
        260, ge=1, le=MAX_CONNECTIONS, description="connections of a backend server"
    )
    max_body_bytes: int = Field(1 << 30, ge=0)
    regions: dict[str, RegionModel] = {}
    shift: ShiftModel | None = None
    routes: tuple[RouteModel, ...] = Field(min_length=1)


class Document(_Strict):
    """The whole document; environment-specific facts live in the daemons' settings."""

    priorities: tuple[PriorityModel, ...] = Field(min_length=1)
    tenant_header: str = Field("x-tenant", pattern="^[a-z0-9-]+$")
    budgets: BudgetsModel = BudgetsModel()
    services: dict[str, ServiceModel] = Field(min_length=1)

"""Pydantic models of the document of one environment."""

from datetime import datetime

from pydantic import BaseModel, ConfigDict, Field

MAX_DOCUMENT_BYTES = 1_000_000
"""The platform stores values of up to 1 MB."""

MAX_CONNECTIONS = 1_024
"""Upper bound of the ``connections`` setting.

Requests in flight, and therefore connections in use, never exceed the slots, which
never exceed ``connections``.
"""


MAX_SLOTS = 1_000_000
"""Load reports contain the slots, and an integer beyond 64 bits can't be encoded."""


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class PriorityModel(_StrictModel):
    """A priority class; ``floor`` is its guaranteed share of slots."""

    name: str = Field(min_length=1)
    floor: float = Field(0.0, ge=0.0, le=1.0)


class RouteModel(_StrictModel):
    """Settings of requests with one path prefix and certain methods."""

    methods: frozenset[str] = frozenset()
    path: str = Field("/", pattern="^/")
    idempotent: bool
    priority: str
    deadline_ms: int = Field(ge=1, le=3_600_000)


class BudgetsModel(_StrictModel):
    """Per-daemon limits on probes, retries and traffic to other regions."""

    probe_bytes_per_s: int = Field(2_000, ge=0)
    probe_ratio: float = Field(0.5, ge=0.0)
    retry_ratio: float = Field(0.1, ge=0.0, le=1.0)
    link_bytes_per_s: int = Field(250_000, ge=0)


class RegionModel(_StrictModel):
    """The capacity of a service in one region."""

    backends: int = Field(ge=0, description="number of backend servers")


class ShiftStepModel(_StrictModel):
    """One step of a shift: the share of traffic that each region gets.

    A step with ``starts_at`` takes effect at that time, any other step once ``current``
    is set to its index.
    """

    weights: dict[str, float] = Field(min_length=1)
    starts_at: datetime | None = None


class ShiftModel(_StrictModel):
    """Stepwise move of a service's traffic between regions."""

    steps: tuple[ShiftStepModel, ...] = Field(min_length=1)
    current: int = Field(0, ge=0, description="index of the active step")


class ServiceModel(_StrictModel):
    """Routing, capacity and routes of one service."""

    hosts: frozenset[str] = Field(min_length=1)
    policy: str = "hot_cold"
    ejection: bool = Field(
        True, description="exclude backend servers that return errors"
    )
    slots: int = Field(
        ge=1, le=MAX_SLOTS, description="concurrent requests of one backend server"
    )
    connections: int = Field(
        260, ge=1, le=MAX_CONNECTIONS, description="connections to one backend server"
    )
    max_body_bytes: int = Field(1 << 30, ge=0)
    regions: dict[str, RegionModel] = {}
    shift: ShiftModel | None = None
    routes: tuple[RouteModel, ...] = Field(min_length=1)


class Document(_StrictModel):
    """The whole document; environment-specific values are in the daemons' settings."""

    priorities: tuple[PriorityModel, ...] = Field(min_length=1)
    tenant_header: str = Field("x-tenant", pattern="^[a-z0-9-]+$")
    budgets: BudgetsModel = BudgetsModel()
    services: dict[str, ServiceModel] = Field(min_length=1)

"""Validated models of the daemon's settings file."""

from pydantic import BaseModel, ConfigDict, Field


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_Strict):
    """An IP number and a TCP or UDP port."""

    host: str = Field(description="IP number")
    port: int = Field(ge=0, le=65535, description="TCP or UDP port")

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class LimitSettings(_Strict):
    """Limits of one daemon towards its callers."""

    max_header_bytes: int = Field(
        32_768, ge=1_024, description="bytes of all request headers together"
    )
    max_headers: int = Field(100, ge=1, description="number of request headers")
    max_requests: int = Field(1_000, ge=1, description="concurrent requests of callers")
    keep_alive_s: int = Field(
        75, ge=1, description="seconds until an idle connection of a caller is closed"
    )


class HealthSettings(_Strict):
    """How the health endpoint of the local backend server is followed."""

    path: str = Field("/health", pattern="^/", description="path of the endpoint")
    interval_s: float = Field(1.0, gt=0, description="seconds between two checks")
    timeout_s: float = Field(0.5, gt=0, description="seconds until a check has failed")
    failures: int = Field(3, ge=1, description="failed checks in a row that mean down")


class DrainSettings(_Strict):
    """How long an orderly exit may take."""

    grace_s: float = Field(
        3.0, ge=0, description="seconds in which callers are still accepted"
    )
    timeout_s: float = Field(
        60.0, gt=0, description="seconds until requests under way are cut"
    )


class DaemonSettings(_Strict):
    """Everything that one daemon must know about its own place."""

    daemon_id: str = Field(min_length=1, description="unique name of this daemon")
    environment: str = Field(min_length=1, description="name of the document to follow")
    region: str = Field(min_length=1, description="region of this instance")
    failure_domain: str = Field(
        min_length=1, description="failure domain, in its region"
    )
    callers: Address = Field(description="where callers reach this daemon, HTTP")
    peers: Address = Field(description="where other daemons reach this one, TCP")
    admin: Address = Field(description="where operators reach this daemon, HTTP")
    service: str | None = Field(None, description="service of the local backend server")
    backend: Address | None = Field(None, description="the local backend server, HTTP")
    platform: Address = Field(description="the platform's object API, HTTP")
    statsd: Address | None = Field(
        None, description="statsd server, UDP; none if absent"
    )
    limits: LimitSettings = LimitSettings()
    health: HealthSettings | None = Field(
        None,
        description="health endpoint of the backend server; not followed if absent",
    )
    drain: DrainSettings = DrainSettings()
    seeds: tuple[Address, ...] = Field(
        (),
        description="peer addresses of other daemons, asked for registrars first, TCP",
    )
    # Designed for one per 250 daemons. Measured with 250 attached, one takes 0.5% of a
    # core and 0.010% per daemon at rest, so that 2.6% of a core suffice for 200. The
    # heartbeats of the exchanges between registrars come on top, one exchange for each
    # other registrar: with many registrars fewer daemons fit.
    registrars_per_domain: int = Field(
        1, ge=1, description="registrars of each failure domain, one per 200 daemons"
    )
    start_spread_s: float = Field(
        15.0,
        ge=0.0,
        description="seconds over which daemons that start at once spread their first "
        "call to the platform; 30,000 daemons and 2,000 reads a second need 15",
    )

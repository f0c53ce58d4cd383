"""Validated models of the daemon's settings file."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, model_validator

from ._units import Seconds


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_Strict):
    """An IP number and a TCP or UDP port, also written as ``HOST:PORT``."""

    host: str = Field(description="IP number")
    port: int = Field(ge=0, le=65535, description="TCP or UDP port")

    @model_validator(mode="before")
    @classmethod
    def _split_text(cls, value: object) -> object:
        if not isinstance(value, str):
            return value
        host, _, port = value.rpartition(":")
        return {"host": host, "port": port}

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

    grace_s: Seconds = Field(
        3.0, ge=0, description="seconds in which callers are still accepted"
    )
    timeout_s: Seconds = Field(
        60.0, gt=0, description="seconds until requests under way are cut"
    )


class RetrySettings(_Strict):
    """The fleet's budget of requests that are sent to a further backend server.

    In each window a service gets at most ``ratio`` times its requests plus ``slack``.
    """

    ratio: float = Field(0.2, ge=0, description="retries per request of the fleet")
    slack: float = Field(
        64, ge=0, description="retries of the fleet in a window beyond the ratio"
    )
    window_s: Seconds = Field(10.0, gt=0, description="length of the window, seconds")


class Interface(StrEnum):
    """What is spoken with callers, backend servers and the store."""

    OWN = "own"
    PLATFORM = "platform"


class DaemonSettings(_Strict):
    """Everything that one daemon must know about its own place."""

    daemon_id: str = Field(min_length=1, description="unique name of this daemon")
    environment: str = Field(min_length=1, description="name of the document to follow")
    region: str = Field(min_length=1, description="region of this instance")
    failure_domain: str = Field(
        min_length=1, description="failure domain, in its region"
    )
    callers: Address = Field(description="where callers reach this daemon, HTTP")
    peers: Address = Field(description="where this daemon listens for others, TCP")
    advertised: Address | None = Field(
        None,
        description="where other daemons reach this one if not at peers, for an "
        "address that is translated on the way, TCP",
    )
    admin: Address = Field(description="where operators reach this daemon, HTTP")
    service: str | None = Field(None, description="service of the local backend server")
    backend: Address | None = Field(None, description="the local backend server, HTTP")
    platform: Address = Field(description="the platform's object API, HTTP")
    metrics: Address | None = Field(
        None,
        description="where counters and histograms are read, HTTP /metrics; none if "
        "absent",
    )
    statsd: Address | None = Field(
        None, description="statsd server, UDP; none if absent"
    )
    interface: Interface = Field(
        Interface.OWN,
        description="own: the project's interface; platform: that of the platform",
    )
    announcements: Address | None = Field(
        None,
        description="where the local backend server reports its state, HTTP; without "
        "it the settings name the backend server",
    )
    leave_s: Seconds = Field(
        2.0,
        gt=0,
        description="seconds in which a leaving backend server may still get requests",
    )
    retries: RetrySettings | None = Field(
        None,
        description="the fleet's budget of retries; if absent each daemon keeps the "
        "budget of the document",
    )
    limits: LimitSettings = LimitSettings()
    health: HealthSettings | None = Field(
        None,
        description="health endpoint of the backend server; not followed if absent",
    )
    drain: DrainSettings = DrainSettings()

    @property
    def peer_address(self) -> Address:
        """Return the address that other daemons connect to."""
        return self.advertised or self.peers

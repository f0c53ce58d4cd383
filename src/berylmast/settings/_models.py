"""Pydantic models of the daemon's settings file."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field, model_validator

from ..identifiers import Name
from ._units import Seconds


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_StrictModel):
    """An IP address and a TCP or UDP port; may be written as ``HOST:PORT``."""

    host: str = Field(description="IP address")
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


class LimitSettings(_StrictModel):
    """Limits on the connections and requests of callers, per daemon."""

    max_header_bytes: int = Field(
        32_768, ge=1_024, description="total size of the request headers in bytes"
    )
    max_headers: int = Field(100, ge=1, description="number of request headers")
    max_requests: int = Field(
        1_000, ge=1, description="concurrent requests from callers"
    )
    keep_alive_s: int = Field(
        75, ge=1, description="seconds after which a caller's idle connection is closed"
    )


class HealthSettings(_StrictModel):
    """Polling of the local backend server's health endpoint."""

    path: str = Field(
        "/health", pattern="^/", description="path of the health endpoint"
    )
    interval_s: float = Field(1.0, gt=0, description="seconds between checks")
    timeout_s: float = Field(0.5, gt=0, description="timeout of one check in seconds")
    failures: int = Field(
        3, ge=1, description="consecutive failed checks until it counts as down"
    )


EXIT_RESERVE_FRACTION = 1 / 6
"""Part of the time until the process is killed that is reserved for its exit, which
takes up to a second on a busy machine."""


class DrainSettings(_StrictModel):
    """Time limits of a graceful shutdown."""

    grace_s: Seconds = Field(
        3.0, ge=0, description="seconds for which new connections are still accepted"
    )
    timeout_s: Seconds = Field(
        60.0, gt=0, description="seconds after which remaining requests are aborted"
    )
    kill_after_s: Seconds | None = Field(
        None,
        gt=0,
        description="seconds from the stop signal until the process is killed; "
        "remaining requests are aborted early enough to exit before that; no such "
        "limit if absent",
    )

    @property
    def accept_s(self) -> float:
        """Return for how many seconds after the signal callers are still accepted."""
        return min(self.grace_s, self._end_s)

    @property
    def finish_s(self) -> float:
        """Return for how many seconds after that requests may still run."""
        return self._end_s - self.accept_s

    @property
    def _end_s(self) -> float:
        end_s = self.grace_s + self.timeout_s
        if self.kill_after_s is None:
            return end_s
        return min(end_s, self.kill_after_s * (1 - EXIT_RESERVE_FRACTION))


class RetrySettings(_StrictModel):
    """The fleet's budget of retries, which are sent to another backend server.

    In each window a service may use at most ``ratio`` times its number of requests plus
    ``slack`` retries.
    """

    ratio: float = Field(0.2, ge=0, description="retries per request of the fleet")
    slack: float = Field(
        64, ge=0, description="retries per window in addition to the ratio"
    )
    window_s: Seconds = Field(10.0, gt=0, description="length of the window in seconds")


class KeyRevocationSettings(_StrictModel):
    """Bound after which no request with a removed key runs, at any daemon."""

    within_s: Seconds = Field(
        5.0,
        gt=0,
        description="seconds from the store's acknowledgement of a configuration",
    )


class QuotaSettings(_StrictModel):
    """Bound on the requests of a tenant, over all daemons together.

    In any window at most ``(rate * window_s + burst) * (1 + overrun) + slack`` requests
    of a tenant may run.
    """

    window_s: Seconds = Field(5.0, gt=0, description="length of the window in seconds")
    overrun: float = Field(0.1, ge=0, description="fraction beyond the quota")
    slack: float = Field(20, ge=0, description="requests beyond that in a window")


class ColdServerSettings(_StrictModel):
    """Bound on the requests that a cold backend server gets in one second.

    They are ``overrun`` times the rate that the server tolerates, plus ``slack``.
    """

    overrun: float = Field(1.5, ge=1, description="factor on the tolerated rate")
    slack: float = Field(8, ge=0, description="requests beyond that in one second")


class EvacuationSettings(_StrictModel):
    """Bound after which no request reaches an evacuated failure domain."""

    within_s: Seconds = Field(
        5.0, gt=0, description="seconds from the store's acknowledgement"
    )


class HedgingSettings(_StrictModel):
    """Limit on second copies of slow idempotent requests."""

    extra_ratio: float = Field(
        gt=0,
        le=1,
        description="copies per request of a service, over all daemons together",
    )


class Interface(StrEnum):
    """Protocol used with callers, backend servers and the store."""

    OWN = "own"
    PLATFORM = "platform"


class DaemonSettings(_StrictModel):
    """All settings of one daemon."""

    daemon_id: Name = Field(min_length=1, description="unique name of this daemon")
    environment: str = Field(
        min_length=1, description="name of the document that the daemon uses"
    )
    region: Name = Field(min_length=1, description="region of this instance")
    failure_domain: Name = Field(
        min_length=1, description="failure domain within the region"
    )
    callers: Address = Field(description="listen address for callers, HTTP")
    peers: Address = Field(description="listen address for other daemons, TCP")
    advertised: Address | None = Field(
        None,
        description="address at which other daemons reach this one if it differs "
        "from peers, for example behind address translation, TCP",
    )
    admin: Address = Field(description="listen address for operators, HTTP")
    service: Name | None = Field(
        None, description="service of the local backend server"
    )
    backend: Address | None = Field(
        None, description="address of the local backend server, HTTP"
    )
    platform: Address = Field(description="address of the platform's object API, HTTP")
    metrics: Address | None = Field(
        None,
        description="listen address of the metrics endpoint, HTTP /metrics; disabled "
        "if absent",
    )
    statsd: Address | None = Field(
        None, description="address of the statsd server, UDP; disabled if absent"
    )
    interface: Interface = Field(
        Interface.OWN,
        description="own: the project's protocol; platform: the platform's protocol",
    )
    announcements: Address | None = Field(
        None,
        description="listen address for state reports of the local backend server, "
        "HTTP; if absent, the backend server is taken from these settings",
    )
    report_gap_s: Seconds = Field(
        1.9,
        gt=0,
        description="longest time between two reports of a running backend server, "
        "which sends them about every 1.5 s; after a start of the daemon one that is "
        "silent for longer is taken for one that left",
    )
    leave_s: Seconds = Field(
        2.0,
        gt=0,
        description="seconds for which a leaving backend server may still get requests",
    )
    retries: RetrySettings | None = Field(
        None,
        description="the fleet's budget of retries; if absent, each daemon applies the "
        "budget of the document",
    )
    key_revocation: KeyRevocationSettings | None = Field(
        None,
        description="bound on the use of removed keys; if absent, daemons that are cut "
        "off may accept a removed key for longer",
    )
    quotas: QuotaSettings | None = Field(
        None, description="bound on tenants' requests; quotas are off if absent"
    )
    cold_servers: ColdServerSettings | None = Field(
        None, description="bound on requests to cold servers; no limit if absent"
    )
    evacuations: EvacuationSettings | None = Field(
        None, description="evacuations of failure domains; not watched if absent"
    )
    hedging: HedgingSettings | None = Field(
        None, description="second copies of slow requests; off if absent"
    )
    limits: LimitSettings = LimitSettings()
    health: HealthSettings | None = Field(
        None,
        description="health endpoint of the backend server; not polled if absent",
    )
    drain: DrainSettings = DrainSettings()

    @property
    def peer_address(self) -> Address:
        """Return the address that other daemons connect to."""
        return self.advertised or self.peers

"""The active configuration in the form that request handling uses."""

from collections.abc import Mapping
from dataclasses import dataclass

from .model import ServiceSlice


@dataclass(frozen=True, slots=True)
class RoutePart:
    """A service that receives a route's requests in proportion to ``weight``."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class HostRoute:
    """The settings of requests to one host and path prefix.

    ``rank`` orders routes by urgency, 0 being the most urgent. ``timeout_ms`` is the
    longest time that a caller waits for a response, ``target_ms`` the latency target.
    ``max_attempts`` is the number of backend servers that one request may be sent to.
    """

    name: str
    path_prefix: str
    parts: tuple[RoutePart, ...]
    idempotent: bool
    rank: int
    timeout_ms: int
    target_ms: int
    max_attempts: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    ``routes`` holds the routes of each host, those with the longest prefix first.
    Without ``limits``, those of the daemon's settings apply.
    """

    version: int
    routes: Mapping[str, tuple[HostRoute, ...]]
    services: Mapping[str, ServiceSlice]
    limits: CallerLimits | None = None

    def find_route(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

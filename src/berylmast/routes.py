"""The active configuration in the form that request handling uses."""

import hashlib
import os
from collections.abc import Mapping
from dataclasses import dataclass, field

from .model import ServiceSlice

_KEY_HASH_SECRET = os.urandom(32)
"""Makes the digests of keys differ between processes. The time of a lookup then tells
nothing about the keys that exist."""


def hash_key(key: bytes) -> bytes:
    """Return the digest under which a caller's key is held in memory."""
    return hashlib.blake2b(key, key=_KEY_HASH_SECRET, digest_size=32).digest()


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the configuration, found by the key of a request.

    ``rank`` replaces the rank of the route, None keeps it. ``rate_per_s`` and ``burst``
    are the tenant's quota over all daemons together, ``rate_per_s`` is None without
    one. Requests are served only in ``home_regions``; in all if it is empty.
    """

    name: str
    rank: int | None = None
    rate_per_s: float | None = None
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


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
    Requests need no key if the route is ``public``. They are served only in
    ``home_regions``; in all if it is empty.
    """

    name: str
    path_prefix: str
    parts: tuple[RoutePart, ...]
    idempotent: bool
    rank: int
    timeout_ms: int
    target_ms: int
    max_attempts: int
    public: bool = False
    home_regions: frozenset[str] = frozenset()


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
    Without ``limits``, those of the daemon's settings apply. ``tenants`` are found by
    name, ``tenants_by_key`` by the digest of a key (see ``hash_key``). Without tenants,
    requests need no key.
    """

    version: int
    routes: Mapping[str, tuple[HostRoute, ...]]
    services: Mapping[str, ServiceSlice]
    limits: CallerLimits | None = None
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    tenants_by_key: Mapping[bytes, Tenant] = field(default_factory=dict)

    def find_route(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_tenant(self, key: bytes) -> Tenant | None:
        """Return the tenant that holds a key, None if the key is unknown."""
        return self.tenants_by_key.get(hash_key(key))

"""Writes a sequence of configurations to the platform's store during a run."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore

from ..platform_fleet import make_configuration, make_route
from .invariants import ConfigurationWrite

WRITE_TIMEOUT_S = 1.0
WRITE_RETRY_DELAY_S = 0.3
ROUTE_TIMEOUTS_MS = (2_000, 2_500)
SERVICES = ("orders", "catalogue")
READ_PREFIX, WRITE_PREFIX, REASSIGNED_PREFIX = "/read/", "/write/", "/moved/"
"""Path prefixes: idempotent, not idempotent, and idempotent with a changing service."""


class ConfigurationWriter:
    """Builds configurations and writes each until the store acknowledges it."""

    def __init__(self, put: Callable[[Any], Awaitable[bool]]) -> None:
        self.writes: list[ConfigurationWrite] = []
        self._put = put
        self._lock = anyio.Lock()
        self._versions = itertools.count(1, 3)
        self._reassignment_count = 0
        self._added_route_count = 0
        self._timeouts_ms = itertools.cycle(ROUTE_TIMEOUTS_MS)
        self._timeout_ms = next(self._timeouts_ms)

    def make_spec(self) -> Any:
        """Return the current configuration under a new version."""
        services = self._map_prefixes_to_services()
        routes = [
            make_route(service, prefix, idempotent=prefix != WRITE_PREFIX)
            | {"timeout": f"{self._timeout_ms}ms"}
            for prefix, service in services.items()
        ]
        return make_configuration(next(self._versions), routes)

    async def change(self, how: str) -> None:
        """Add a route, assign one to another service or change the routes' timeout."""
        async with self._lock:
            if how == "move":
                self._reassignment_count += 1
            elif how == "route":
                self._added_route_count += 1
            else:
                self._timeout_ms = next(self._timeouts_ms)
            await self.write(self.make_spec())

    async def write(self, spec: Any) -> None:
        """Write until acknowledged; record the times of the first write and of this."""
        started_s = anyio.current_time()
        while not await self._try_write(spec):
            await anyio.sleep(WRITE_RETRY_DELAY_S)
        self.writes.append(
            ConfigurationWrite(
                started_s, anyio.current_time(), self._map_prefixes_to_services()
            )
        )

    async def _try_write(self, spec: Any) -> bool:
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                return await self._put(spec)
        except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError):
            # A fault affects the store; the caller retries.
            return False

    def _map_prefixes_to_services(self) -> dict[str, str]:
        services = {READ_PREFIX: SERVICES[0], WRITE_PREFIX: SERVICES[0]}
        services[REASSIGNED_PREFIX] = SERVICES[self._reassignment_count % len(SERVICES)]
        # Target of the nested calls that backend servers of orders make.
        services["/called/"] = SERVICES[1]
        for number in range(self._added_route_count):
            services[f"/added-{number}/"] = SERVICES[1]
        return services

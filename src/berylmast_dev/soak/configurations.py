"""Writes a sequence of configurations to the platform's store during a run."""

import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore

from ..platform_fleet import make_configuration, make_route
from .promises import Configured

WRITE_S = 1.0
RETRY_S = 0.3
TIMEOUTS_MS = (2_000, 2_500)
SERVICES = ("orders", "catalogue")
READ, WRITE, MOVED = "/read/", "/write/", "/moved/"
"""Path prefixes: idempotent, not idempotent, and idempotent with a changing service."""


class Configurations:
    """Builds configurations and writes each until the store acknowledges it."""

    def __init__(self, put: Callable[[Any], Awaitable[bool]]) -> None:
        self.history: list[Configured] = []
        self._put = put
        self._lock = anyio.Lock()
        self._versions = itertools.count(1, 3)
        self._moved = 0
        self._added = 0
        self._timeouts_ms = itertools.cycle(TIMEOUTS_MS)
        self._timeout_ms = next(self._timeouts_ms)

    def make_spec(self) -> Any:
        """Return the current configuration under a new version."""
        services = self._list_services()
        routes = [
            make_route(service, prefix, idempotent=prefix != WRITE)
            | {"timeout": f"{self._timeout_ms}ms"}
            for prefix, service in services.items()
        ]
        return make_configuration(next(self._versions), routes)

    async def change(self, how: str) -> None:
        """Add a route, assign one to another service or change the routes' timeout."""
        async with self._lock:
            if how == "move":
                self._moved += 1
            elif how == "route":
                self._added += 1
            else:
                self._timeout_ms = next(self._timeouts_ms)
            await self.write(self.make_spec())

    async def write(self, spec: Any) -> None:
        """Write until acknowledged; record the times of the first write and of this."""
        sent_s = anyio.current_time()
        while not await self._try_write(spec):
            await anyio.sleep(RETRY_S)
        self.history.append(
            Configured(sent_s, anyio.current_time(), self._list_services())
        )

    async def _try_write(self, spec: Any) -> bool:
        try:
            with anyio.fail_after(WRITE_S):
                return await self._put(spec)
        except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError):
            # A fault affects the store; the caller retries.
            return False

    def _list_services(self) -> dict[str, str]:
        services = {READ: SERVICES[0], WRITE: SERVICES[0]}
        services[MOVED] = SERVICES[self._moved % len(SERVICES)]
        # Target of the nested calls that backend servers of orders make.
        services["/called/"] = SERVICES[1]
        for number in range(self._added):
            services[f"/added-{number}/"] = SERVICES[1]
        return services

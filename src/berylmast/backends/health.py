"""Polls the health endpoint of the local backend server.

A health endpoint can be delayed or wrong, so it only decides whether this instance is
announced to the other daemons. How many requests the instance gets depends on the load
and the errors of real requests.
"""

from collections.abc import Awaitable, Callable
from enum import StrEnum

import anyio

from ..http_client import ConnectionCut, HttpClient, ServerUnreachable, discard_body
from ..settings import Address, HealthSettings


class Health(StrEnum):
    """The result of one health check."""

    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


HealthCheck = Callable[[], Awaitable[Health]]


def make_http_check(address: Address, cfg: HealthSettings) -> HealthCheck:
    """Return an HTTP health check: 2xx is READY, 503 is LEAVING, all else is DOWN."""
    client = HttpClient(address, max_connections=1)
    headers = [(b"host", str(address).encode())]

    async def check() -> Health:
        try:
            with anyio.fail_after(cfg.timeout_s):
                async with client.send("GET", cfg.path, headers, None) as response:
                    await discard_body(response)
        except (ServerUnreachable, ConnectionCut, TimeoutError):
            return Health.DOWN
        if response.status == 503:
            return Health.LEAVING
        return Health.READY if 200 <= response.status < 300 else Health.DOWN

    return check


async def monitor_health(
    check: HealthCheck, cfg: HealthSettings, on_change: Callable[[Health], None]
) -> None:
    """Run the check at the configured interval and report each change, until cancelled.

    LEAVING is reported after one check. DOWN is reported only after ``failures``
    consecutive checks, since a single check may be lost.
    """
    reported: Health | None = None
    failures = 0
    while True:
        health = await check()
        failures = failures + 1 if health is Health.DOWN else 0
        confirmed = health is not Health.DOWN or failures >= cfg.failures
        if confirmed and health is not reported:
            reported = health
            on_change(health)
        await anyio.sleep(cfg.interval_s)

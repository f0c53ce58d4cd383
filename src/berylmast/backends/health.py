"""Follows the health endpoint of the local backend server.

The endpoint may lag or mislead, so it only decides whether this instance announces
itself. Load and errors of real requests decide how much work it gets.
"""

from collections.abc import Awaitable, Callable
from enum import StrEnum

import anyio

from ..http_client import ConnectionCut, HttpClient, ServerUnreachable
from ..settings import Address, HealthSettings


class Health(StrEnum):
    """What one check found."""

    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


Check = Callable[[], Awaitable[Health]]


def make_check(address: Address, cfg: HealthSettings) -> Check:
    """Return a check over HTTP: 2xx is ready, 503 is leaving, all else is down."""
    client = HttpClient(address, connections=1)
    headers = [(b"host", str(address).encode())]

    async def check() -> Health:
        try:
            with anyio.fail_after(cfg.timeout_s):
                async with client.send("GET", cfg.path, headers, None) as answer:
                    async for _ in answer.body:
                        pass
        except (ServerUnreachable, ConnectionCut, TimeoutError):
            return Health.DOWN
        if answer.status == 503:
            return Health.LEAVING
        return Health.READY if 200 <= answer.status < 300 else Health.DOWN

    return check


async def follow_health(
    check: Check, cfg: HealthSettings, on_change: Callable[[Health], None]
) -> None:
    """Check at the interval until cancelled and report each change.

    A server that says it is leaving is believed at once. One that does not answer is
    down only after ``failures`` checks in a row, since a single check may be lost.
    """
    reported: Health | None = None
    failures = 0
    while True:
        found = await check()
        failures = failures + 1 if found is Health.DOWN else 0
        settled = found is not Health.DOWN or failures >= cfg.failures
        if settled and found is not reported:
            reported = found
            on_change(found)
        await anyio.sleep(cfg.interval_s)

"""Follows the health endpoint of the local backend server.

The endpoint may lag or mislead, so it only decides whether this instance announces
itself. Load and errors of real requests decide how much work it gets.
"""

from collections.abc import Awaitable, Callable
from enum import StrEnum

import anyio
import httpcore

from ..settings import Address, HealthSettings


class Health(StrEnum):
    """What one check found."""

    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


Check = Callable[[], Awaitable[Health]]


def make_check(address: Address, cfg: HealthSettings) -> Check:
    """Return a check over HTTP: 2xx is ready, 503 is leaving, all else is down."""
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), cfg.timeout_s)
    url = f"http://{address}{cfg.path}"

    async def check() -> Health:
        try:
            async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
                res = await pool.request("GET", url, extensions={"timeout": timeouts})
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ):
            return Health.DOWN
        if res.status == 503:
            return Health.LEAVING
        return Health.READY if 200 <= res.status < 300 else Health.DOWN

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

"""Tests which health check results are reported.

One lost check must not withdraw the instance, and a server that announces that it is
leaving must be reported at once.
"""

import anyio
import pytest

from ...settings import HealthSettings
from ..health import Health, monitor_health

pytestmark = pytest.mark.anyio

R, L, D = Health.READY, Health.LEAVING, Health.DOWN


@pytest.mark.parametrize(
    ("results", "reported"),
    [
        ([R, R, R], [R]),
        ([R, D, D, R], [R]),
        ([R, D, D, D, R], [R, D, R]),
        ([R, L, R], [R, L, R]),
        ([D, D, D, R], [D, R]),
    ],
)
async def test_changes_are_reported_once_confirmed(
    results: list[Health], reported: list[Health]
) -> None:
    checks = iter(results)
    changes: list[Health] = []

    async def check() -> Health:
        return next(checks, results[-1])

    with anyio.move_on_after(10):
        await monitor_health(check, HealthSettings(failures=3), changes.append)
    assert changes == reported

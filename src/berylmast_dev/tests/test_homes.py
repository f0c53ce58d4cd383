"""Guards against requests that leave the home regions of their route.

Runs real processes.
"""

from typing import Any

import anyio
import pytest

from ..platform_fleet import (
    PlatformLoad,
    PlatformMember,
    make_configuration,
    make_platform_members,
    make_route,
    read_executed_attempts,
    run_platform_fleet,
    run_platform_load,
)

pytestmark = pytest.mark.anyio

AT_HOME = PlatformLoad("/home/", 60, "POST", b"x" * 400)
NOWHERE = PlatformLoad("/nowhere/", 20)
ANYWHERE = PlatformLoad("/anywhere/", 60)
START_TIMEOUT_S = 15.0
ZONES = [("n", "n1"), ("n", "n2"), ("s", "s1")]
SPEC = make_configuration(
    1,
    [
        make_route("orders", "/home/", idempotent=False, homeRegions=["n"]),
        make_route("orders", "/nowhere/", idempotent=True, homeRegions=["elsewhere"]),
        make_route("orders", "/anywhere/", idempotent=True),
    ],
)


@pytest.fixture
def anyio_backend(real_clock: tuple[str, dict[str, Any]]) -> tuple[str, dict[str, Any]]:
    return real_clock


async def wait_until_served(member: PlatformMember) -> None:
    """Wait until a daemon knows the servers of the home region.

    A daemon is ready before it has the records of all others, and refuses until then.
    """
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            results = await run_platform_load([member], [AT_HOME], 0.2)
            if set(results[AT_HOME.path].statuses) == {200}:
                return


async def test_requests_run_in_their_home_regions_only() -> None:
    """Also after all servers of the home region are lost."""
    members = make_platform_members({"orders": 20.0}, ZONES)
    async with run_platform_fleet(members, SPEC) as fleet:
        for member in members:
            await wait_until_served(member)
        results = await run_platform_load(members, [AT_HOME, NOWHERE, ANYWHERE], 3.0)
        runs = {m.zone: set(await read_executed_attempts(m)) for m in members}
        for member in members[:2]:
            fleet.processes[f"daemon-{member.name}"].kill()
        lost = await run_platform_load(members[2:], [AT_HOME], 2.0)
        late_runs = set(await read_executed_attempts(members[2]))
    at_home = results[AT_HOME.path]
    assert set(at_home.statuses) == {200}
    assert set(at_home.answered) <= runs["n1"] | runs["n2"]
    assert not runs["s1"].intersection(at_home.answered)
    assert set(results[NOWHERE.path].statuses) == {503}
    assert not set().union(*runs.values()).intersection(results[NOWHERE.path].refused)
    assert runs["s1"].intersection(results[ANYWHERE.path].answered)
    assert 200 not in lost[AT_HOME.path].statuses
    assert not late_runs.intersection(lost[AT_HOME.path].refused)
    assert late_runs == runs["s1"]

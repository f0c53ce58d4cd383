"""Guards against removed keys that are accepted by real daemons.

Runs real processes, which are frozen or lose the store.
"""

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpcore
import pytest

from ..platform_fleet import (
    VIRTUAL_HOST,
    PlatformFleet,
    PlatformMember,
    make_configuration,
    make_platform_members,
    make_route,
    run_platform_fleet,
)

pytestmark = pytest.mark.anyio

WITHIN_S = 3.0
RECOVERY_S = 4.0
KEY = "key-of-a"
ZONES = [("n", "n1"), ("n", "n2"), ("s", "s1")]
PRIVATE, PUBLIC = "/orders/", "/pages/"


@pytest.fixture
def anyio_backend(real_clock: tuple[str, dict[str, Any]]) -> tuple[str, dict[str, Any]]:
    return real_clock


def make_spec(version: int, *keys: str) -> Any:
    routes = [
        make_route("orders", PRIVATE, idempotent=True),
        make_route("orders", PUBLIC, idempotent=True, public=True),
    ]
    tenants = [{"name": "a", "apiKeys": list(keys)}]
    return {**make_configuration(version, routes), "tenants": tenants}


async def send(member: PlatformMember, path: str, key: str = "") -> int:
    """Return the status of one request."""
    headers = [("host", VIRTUAL_HOST), ("x-attempt-id", "r"), ("x-deadline-ms", "2000")]
    if key:
        headers.append(("x-api-key", key))
    url = f"http://{member.caller_address}{path}item"
    async with httpcore.AsyncConnectionPool() as pool:
        return (await pool.request("GET", url, headers=headers)).status


async def wait_for_status(member: PlatformMember, status: int, limit_s: float) -> None:
    with anyio.fail_after(limit_s):
        while await send(member, PRIVATE, KEY) != status:
            await anyio.sleep(0.05)


@asynccontextmanager
async def run_strict_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[PlatformFleet, list[PlatformMember]]]:
    make_settings = PlatformFleet.make_settings

    def make_strict_settings(
        fleet: PlatformFleet, member: PlatformMember
    ) -> dict[str, Any]:
        section = {"within_s": f"{WITHIN_S}s"}
        return {**make_settings(fleet, member), "key_revocation": section}

    monkeypatch.setattr(PlatformFleet, "make_settings", make_strict_settings)
    members = make_platform_members({"orders": 10.0}, ZONES)
    async with run_platform_fleet(members, make_spec(1, KEY)) as fleet:
        for member in members:
            await wait_for_status(member, 200, RECOVERY_S)
        yield fleet, members


async def test_keys_are_refused_while_the_store_is_frozen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_strict_fleet(monkeypatch) as (fleet, members):
        for member in members:
            assert await send(member, PRIVATE) == 401
            assert await send(member, PRIVATE, "unknown") == 401
            assert await send(member, PUBLIC) == 200
        fleet.processes["platform"].send_signal(signal.SIGSTOP)
        await anyio.sleep(WITHIN_S)
        for member in members:
            assert await send(member, PRIVATE, KEY) == 503
            assert await send(member, PUBLIC) == 200
        fleet.processes["platform"].send_signal(signal.SIGCONT)
        for member in members:
            await wait_for_status(member, 200, RECOVERY_S)
        logs = [fleet.read_log(f"daemon-{member.name}") for member in members]
    assert all("event=keys_not_current" in log for log in logs)
    assert not any(KEY in log for log in logs)


async def test_daemon_that_was_frozen_accepts_no_removed_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its first request after the pause may be served before anything else."""
    async with run_strict_fleet(monkeypatch) as (fleet, members):
        frozen, *others = members
        fleet.processes[f"daemon-{frozen.name}"].send_signal(signal.SIGSTOP)
        assert await fleet.put_configuration(make_spec(2, "another"))
        await anyio.sleep(WITHIN_S)
        for member in others:
            assert await send(member, PRIVATE, KEY) == 401
        statuses: list[int] = []

        async def send_at_once() -> None:
            statuses.append(await send(frozen, PRIVATE, KEY))

        async with anyio.create_task_group() as tg:
            for _ in range(5):
                tg.start_soon(send_at_once)
            await anyio.sleep(0.2)
            fleet.processes[f"daemon-{frozen.name}"].send_signal(signal.SIGCONT)
        assert set(statuses) <= {401, 503}
        await wait_for_status(frozen, 401, RECOVERY_S)

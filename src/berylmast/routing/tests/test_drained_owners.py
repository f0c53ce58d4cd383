"""Guards against servers that get no requests any more after a rolling restart."""

from collections import Counter
from dataclasses import replace

import anyio
import pytest

from ...model import Endpoint, EndpointState
from ..load_table import MAX_DRAINING_AGE_S
from ..policies import LEAST_DELAY
from .factories import choose, make_endpoint, make_report, make_router, make_slice

pytestmark = pytest.mark.anyio

SERVICE = make_slice(policy=LEAST_DELAY)


def restart_owner(endpoint: Endpoint) -> list[Endpoint]:
    """Return the records of an owner that stops and starts beside its server."""
    draining = replace(endpoint, seq=2, state=EndpointState.DRAINING)
    return [draining, replace(endpoint, seq=100)]


@pytest.mark.parametrize("policy", [LEAST_DELAY, "hot_cold"])
@pytest.mark.parametrize("limit", [0, 6])
@pytest.mark.parametrize("restarts", [1, 2])
async def test_servers_are_used_again_after_all_owners_restarted_in_turn(
    policy: str, limit: int, restarts: int
) -> None:
    """Requests that outlast the stop leave a report that the owner drains.

    Reports come with responses only, so an entry that sends none never gets another.
    """
    service = make_slice(policy=policy)
    endpoints = [make_endpoint("a"), make_endpoint("b")]
    router, directory = make_router(*endpoints, policy=policy)
    for owner in range(1, restarts + 1):
        for endpoint in endpoints:
            for record in restart_owner(endpoint):
                directory.put_endpoint(record)
            report = make_report(endpoint.backend, 9, draining=True, limit=limit)
            router.record_load(report, owner)
            await anyio.sleep(1.5)
    await anyio.sleep(MAX_DRAINING_AGE_S)
    sent: Counter[str] = Counter()
    for _ in range(50):
        name = choose(router, service)
        router.record_start(name)
        sent[name] += 1
        report = make_report(name, sent[name], in_flight=sent[name])
        router.record_load(report, restarts + 1)
    assert set(sent) == {"a", "b"}


async def test_server_whose_owner_has_just_drained_is_left_out() -> None:
    """Its record may reach this entry later than the report."""
    router, _ = make_router(make_endpoint("a"), make_endpoint("b"), policy=LEAST_DELAY)
    router.record_load(make_report("a", draining=True), 1)
    for _ in range(20):
        assert choose(router, SERVICE) == "b"
        await anyio.sleep(0.9 * MAX_DRAINING_AGE_S / 20)


async def test_owner_that_still_drains_is_asked_once_per_age_of_a_report() -> None:
    """Without its record an entry learns of the drain from its refusals only."""
    router, _ = make_router(make_endpoint("a"), policy=LEAST_DELAY)
    asked = 0
    for seq in range(1, 201):
        if choose(router, SERVICE) == "a":
            asked += 1
            router.record_load(make_report("a", seq, draining=True), 1)
        await anyio.sleep(0.1)
    assert asked <= 20 / MAX_DRAINING_AGE_S

"""Guards against requests to failing or draining servers and too many to new ones.

Also guards against servers that are never readmitted and limits that block a service.
"""

from collections import Counter

import anyio
import pytest

from ..ejection import IDEMPOTENT_TRIAL_WAIT_S
from ..slow_start import SLOW_START_S, START_GRACE_S
from .factories import (
    OK,
    STATUS_500,
    choose,
    eject,
    make_endpoint,
    make_report,
    make_router,
    make_slice,
    run_request,
)

pytestmark = pytest.mark.anyio

OWN = make_endpoint("own", "north", "n1")
NEAR = make_endpoint("near", "north", "n2")


async def test_draining_servers_get_no_new_requests_at_once() -> None:
    router, directory = make_router(OWN, NEAR)
    router.record_load(make_report("own", draining=True))
    assert {choose(router) for _ in range(20)} == {"near"}
    directory.mark_draining("near")
    assert choose(router) == "no-backend"
    # The draining report of an earlier incarnation does not apply to the new one.
    directory.put_endpoint(make_endpoint("own", incarnation=2))
    assert choose(router) == "own"


async def test_fast_failing_server_draws_hardly_any_traffic() -> None:
    """It has no requests in flight and the lowest latency; only its errors differ."""
    names = [str(number) for number in range(8)]
    router, _ = make_router(*[make_endpoint(name) for name in names])
    failed = 0
    for seq in range(1000):
        name = choose(router)
        router.record_start(name)
        bad = name == "0"
        failed += bad
        await anyio.sleep(0.0001 if bad else 0.002)
        router.record_load(make_report(name, seq, latency_ms=0.1 if bad else 2.0))
        router.record_result(name, STATUS_500 if bad else OK)
    assert 1 <= failed <= 10


async def test_failing_service_keeps_half_of_its_servers() -> None:
    names = [str(number) for number in range(4)]
    router, _ = make_router(*[make_endpoint(name) for name in names])
    chosen = [run_request(router, STATUS_500) for _ in range(200)]
    assert len(set(chosen[-50:])) >= 2


async def test_only_idempotent_requests_are_trials_and_few() -> None:
    router, _ = make_router(make_endpoint("a"), make_endpoint("b"))
    choose(router)
    eject(router, "a")
    await anyio.sleep(1.5)
    assert {choose(router, idempotent=False) for _ in range(50)} == {"b"}
    assert Counter(choose(router) for _ in range(50)) == {"a": 1, "b": 49}


async def test_service_without_idempotent_requests_readmits_late_but_does() -> None:
    router, _ = make_router(make_endpoint("a"), make_endpoint("b"))
    choose(router)
    eject(router, "a")
    await anyio.sleep(IDEMPOTENT_TRIAL_WAIT_S)
    assert {choose(router, idempotent=False) for _ in range(20)} == {"b"}
    await anyio.sleep(2)
    counts = Counter(choose(router, idempotent=False) for _ in range(20))
    assert counts == {"a": 1, "b": 19}


async def test_ejected_server_returns_after_good_trials() -> None:
    router, _ = make_router(make_endpoint("a"), make_endpoint("b"))
    choose(router)
    eject(router, "a")
    await anyio.sleep(1.5)
    counts = Counter(run_request(router) for _ in range(60))
    assert counts["a"] > 10


async def test_without_ejection_the_document_keeps_errors_in_the_choice() -> None:
    service = make_slice(ejection=False, policy="random")
    router, _ = make_router(make_endpoint("a"), make_endpoint("b"))
    choose(router)
    eject(router, "a")
    assert {choose(router, service) for _ in range(50)} == {"a", "b"}


async def test_new_server_ramps_up() -> None:
    router, directory = make_router(make_endpoint("a"))
    choose(router)
    await anyio.sleep(START_GRACE_S + 1)
    directory.put_endpoint(make_endpoint("new"))
    service = make_slice(policy="random")

    def fill_new_server() -> int:
        """Return how many requests the new server gets until it is at its limit."""
        started = 0
        for _ in range(60):
            if choose(router, service) == "new":
                router.record_start("new")
                started += 1
        return started

    assert fill_new_server() == 1
    for _ in range(4):
        router.record_start("new")
        router.record_result("new", OK)
    assert fill_new_server() == 1
    await anyio.sleep(SLOW_START_S)
    assert fill_new_server() > 10


async def test_entry_that_has_just_started_does_not_limit_all() -> None:
    router, directory = make_router(make_endpoint("a"))
    choose(router)
    await anyio.sleep(START_GRACE_S / 2)
    directory.put_endpoint(make_endpoint("b"))
    service = make_slice(policy="random")
    counts: Counter[str] = Counter()
    for _ in range(60):
        name = choose(router, service)
        router.record_start(name)
        counts[name] += 1
    assert min(counts["a"], counts["b"]) > 15

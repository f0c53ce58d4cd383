"""Guards against a wrong order of regions and domains and overuse of the link."""

from collections import Counter
from random import Random

import anyio
import pytest

from ...errors import ErrorKind
from ...model import AttemptResult, Budgets, Endpoint, ServiceSlice, ShiftStep
from ..router import Router
from .factories import (
    PAGES,
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
FAR = make_endpoint("far", "south", "s1")


NO_LINK = make_slice(budgets=Budgets(link_bytes_per_s=0))


@pytest.mark.parametrize(
    ("endpoints", "service", "exclude", "expected"),
    [
        ([], PAGES, (), {"no-backend"}),
        ([OWN, NEAR, FAR], PAGES, (), {"own"}),
        ([NEAR, FAR], PAGES, (), {"near"}),
        ([OWN, NEAR, FAR], PAGES, ("own",), {"near"}),
        ([FAR], PAGES, (), {"far"}),
        ([OWN, FAR], PAGES, ("own",), {"far"}),
        ([FAR], NO_LINK, (), {"link-budget"}),
        ([OWN, FAR], NO_LINK, ("own",), {"link-budget"}),
        ([OWN, FAR], make_slice(region_weights={"south": 1.0}), (), {"far"}),
        ([OWN], make_slice(region_weights={"south": 1.0}), (), {"no-backend"}),
        ([OWN, FAR], make_slice(region_weights={"north": 0, "south": 1}), (), {"far"}),
        ([OWN, FAR], make_slice(region_weights={"north": 1, "south": 0}), (), {"own"}),
        (
            [OWN, FAR],
            make_slice(
                region_weights={"south": 1}, budgets=Budgets(link_bytes_per_s=0)
            ),
            (),
            {"link-budget"},
        ),
    ],
)
async def test_order_of_regions(
    endpoints: list[Endpoint],
    service: ServiceSlice,
    exclude: tuple[str, ...],
    expected: set[str],
) -> None:
    router, _ = make_router(*endpoints)
    assert {choose(router, service, exclude=exclude) for _ in range(30)} == expected


@pytest.mark.parametrize(("now_s", "expected"), [(999.0, "own"), (1000.0, "far")])
async def test_shift_step_takes_effect_at_its_start_time(
    now_s: float, expected: str
) -> None:
    """Otherwise traffic would stay in the old region until an operator acts."""
    steps = (ShiftStep({"north": 1.0}), ShiftStep({"south": 1.0}, 1000.0))
    directory = make_router(OWN, FAR)[1]
    router = Router(
        directory,
        region="north",
        failure_domain="n1",
        rng=Random(1),
        unix_time=lambda: now_s,
    )
    assert {choose(router, make_slice(shift=steps)) for _ in range(20)} == {expected}


async def test_region_weights_share_the_traffic() -> None:
    service = make_slice(region_weights={"north": 3, "south": 1})
    router, _ = make_router(OWN, FAR)
    counts = Counter(choose(router, service) for _ in range(1000))
    assert counts["far"] == pytest.approx(250, abs=60)


async def test_hot_own_domain_spills_over_its_region_but_not_the_link() -> None:
    """A strict preference would overload the only backend server of a domain."""
    router, _ = make_router(OWN, NEAR, FAR)
    counts: Counter[str] = Counter()
    for name in ("own", "near", "far"):
        router.record_load(make_report(name))
    for _ in range(12):
        name = choose(router)
        router.record_start(name)
        counts[name] += 1
    assert counts["own"] in range(5, 9)
    assert counts["far"] == 0


async def test_slow_own_domain_spills() -> None:
    router, _ = make_router(OWN, NEAR)
    router.record_load(make_report("own", latency_ms=400.0))
    router.record_load(make_report("near", latency_ms=40.0))
    assert choose(router) == "near"


async def test_far_region_serves_while_the_local_servers_are_ejected() -> None:
    a, b = make_endpoint("a"), make_endpoint("b")
    router, _ = make_router(a, b, FAR)
    choose(router)
    eject(router, "a")
    assert choose(router) == "b"
    assert choose(router, exclude=("b",)) == "far"
    assert router.summarize()["ejected"] == ["a"]
    # If nothing else is left, an ejected backend server is better than a refusal.
    assert choose(router, NO_LINK, exclude=("b",), idempotent=False) == "a"


async def test_traffic_across_the_link_stays_within_its_budget() -> None:
    """Larger responses than estimated must reduce the budget of later requests."""
    service = make_slice(budgets=Budgets(link_bytes_per_s=100_000))
    router, _ = make_router(FAR)
    total = 0
    for _ in range(2_000):
        await anyio.sleep(0.01)
        if choose(router, service, body_bytes=10_000) != "far":
            continue
        router.record_start("far", 10_000)
        done = AttemptResult(
            True, False, 0.01, 200, sent_bytes=10_000, answer_bytes=50_000
        )
        router.record_result("far", done)
        total += 60_000
    assert 1_000_000 < total <= 100_000 * 21 + 60_000


@pytest.mark.parametrize("weights", [{}, {"north": 1.0}, {"south": 1.0}])
async def test_stale_endpoints_are_those_that_requests_reach(
    weights: dict[str, float],
) -> None:
    router, _ = make_router(OWN, NEAR, FAR, region_weights=weights)
    assert router.find_stale_endpoints() == []
    choose(router, make_slice(region_weights=weights))
    expected = {"far"} if "south" in weights else {"own", "near"}
    assert {e.backend for e in router.find_stale_endpoints()} == expected
    for name in expected:
        router.record_load(make_report(name))
    assert router.find_stale_endpoints() == []
    await anyio.sleep(1)
    assert {e.backend for e in router.find_stale_endpoints()} == expected
    await anyio.sleep(10)
    assert router.find_stale_endpoints() == []


async def test_link_budget_refusal_has_its_own_error_kind() -> None:
    router, _ = make_router(FAR)
    refusal = router.choose(NO_LINK, exclude=()).unwrap_err()
    assert refusal.kind is ErrorKind.LINK_BUDGET
    assert refusal.not_run


async def test_large_service_uses_all_its_servers_and_the_own_domain_first() -> None:
    """The sample that limits the cost of a choice must include the local servers."""
    local = [make_endpoint(f"local{number}") for number in range(2)]
    others = [make_endpoint(f"b{number}", domain="n2") for number in range(60)]
    router, _ = make_router(*local, *others)
    assert {run_request(router) for _ in range(50)} == {"local0", "local1"}
    tried = {run_request(router, exclude=("local0", "local1")) for _ in range(900)}
    assert len(tried) == 60


async def test_retries_do_not_raise_the_probe_budget() -> None:
    router, _ = make_router(OWN, NEAR)
    choose(router)
    choose(router, exclude=("own",))
    assert router.summarize()["calls"] == 1


async def test_state_of_departed_servers_is_pruned() -> None:
    """Instances are replaced daily, so the tables must not grow without bound."""
    router, directory = make_router(OWN, NEAR)
    run_request(router)
    run_request(router, exclude=("own",))
    directory.mark_draining("near")
    await anyio.sleep(60)
    choose(router)
    assert set(router._loads._loads) == set(router._slow_start._starts) == {"own"}
    assert set(router._chosen_endpoints) == {"own"}

"""Guards against choosing servers outside the homes or in evacuated failure domains."""

from typing import Any

import pytest

from ...model import Endpoint
from ..locality import MAX_CANDIDATES
from ..policies import LEAST_DELAY
from ..router import Router
from .factories import (
    UNREACHABLE,
    choose,
    eject,
    make_endpoint,
    make_report,
    make_router,
    make_slice,
)

pytestmark = pytest.mark.anyio

OWN = make_endpoint("own", "north", "n1")
NEAR = make_endpoint("near", "north", "n2")
FAR = make_endpoint("far", "south", "s1")
ALL = (OWN, NEAR, FAR)
NORTH, SOUTH, EAST = (frozenset({name}) for name in ("north", "south", "east"))
NOWHERE = frozenset[str]()
POLICIES = pytest.mark.parametrize("policy", [LEAST_DELAY, "hot_cold", "random"])


def make_evacuating_router(
    *endpoints: Endpoint, evacuated: frozenset[str] = NOWHERE
) -> Router:
    router, _ = make_router(*endpoints)
    router._get_evacuated = lambda: evacuated
    return router


@POLICIES
@pytest.mark.parametrize(
    ("home_regions", "evacuated", "exclude", "expected"),
    [
        (None, (), (), {"own", "near", "far"}),
        (NORTH, (), (), {"own", "near"}),
        (SOUTH, (), (), {"far"}),
        (NORTH | SOUTH, (), (), {"own", "near", "far"}),
        (NORTH, (), ("own",), {"near"}),
        (NORTH, (), ("own", "near"), {"no-backend"}),
        (EAST, (), (), {"no-backend"}),
        (NOWHERE, (), (), {"no-backend"}),
        (None, ("n1",), (), {"near", "far"}),
        (None, ("n1", "n2"), (), {"far"}),
        (None, ("n1", "n2", "s1"), (), {"no-backend"}),
        (None, ("other",), (), {"own", "near", "far"}),
        (NORTH, ("n1",), (), {"near"}),
        (SOUTH, ("s1",), (), {"no-backend"}),
    ],
)
async def test_only_allowed_servers_are_chosen(
    policy: str,
    home_regions: frozenset[str] | None,
    evacuated: tuple[str, ...],
    exclude: tuple[str, ...],
    expected: set[str],
) -> None:
    router = make_evacuating_router(*ALL, evacuated=frozenset(evacuated))
    options: dict[str, Any] = {"exclude": exclude, "home_regions": home_regions}
    service = make_slice(policy=policy)
    chosen = {choose(router, service, **options) for _ in range(60)}
    assert chosen <= expected
    assert len(chosen) == len(expected) or len(expected) > 1
    alternative = router.has_alternative_in_region("pages", exclude, home_regions)
    assert alternative == bool(expected & {"own", "near"})


@POLICIES
@pytest.mark.parametrize("trouble", ["none", "ejected", "hot", "unreachable"])
async def test_many_servers_elsewhere_hide_no_allowed_one(
    policy: str, trouble: str
) -> None:
    """Guards against a sample that is drawn before disallowed servers are left out.

    Trouble of the allowed server must not send the request elsewhere either.
    """
    elsewhere = [
        make_endpoint(f"n{number}", "north", "n1")
        for number in range(8 * MAX_CANDIDATES)
    ]
    router = make_evacuating_router(*elsewhere, FAR)
    if trouble == "ejected":
        eject(router, "far")
    if trouble == "hot":
        router.record_load(make_report("far", in_flight=6, queued=100))
    if trouble == "unreachable":
        router.record_start("far")
        router.record_result("far", UNREACHABLE)
    service = make_slice(policy=policy)
    chosen = {choose(router, service, home_regions=SOUTH) for _ in range(50)}
    assert chosen == {"far"}


@POLICIES
@pytest.mark.parametrize(
    ("home_regions", "evacuated", "texts"),
    [
        (EAST | SOUTH, ("s1",), ["home regions east, south", "domains: s1"]),
        (NORTH, ("n1", "n2", "s1"), ["home regions north", "domains: n1, n2"]),
        (NOWHERE, (), ["none in common"]),
        (None, ("n1", "n2", "s1"), ["domains: n1, n2, s1"]),
    ],
)
async def test_refusals_say_what_leaves_no_server(
    policy: str,
    home_regions: frozenset[str] | None,
    evacuated: tuple[str, ...],
    texts: list[str],
) -> None:
    """Otherwise operators would look for servers that are lost."""
    router = make_evacuating_router(*ALL, evacuated=frozenset(evacuated))
    service = make_slice(policy=policy)
    result = router.choose(service, exclude=(), home_regions=home_regions)
    refusal = result.unwrap_err()
    assert refusal.not_run
    assert all(text in refusal.detail for text in texts), refusal.detail


async def test_explanations_say_why_a_server_is_ineligible() -> None:
    router = make_evacuating_router(*ALL, evacuated=frozenset({"n1"}))
    explanation = router.explain(make_slice(), home_regions=NORTH)
    assert explanation.chosen == "near"
    reasons = {c.backend: c.ineligible_reason for c in explanation.candidates}
    assert reasons == {
        "own": "failure domain evacuated",
        "near": "",
        "far": "outside the home regions",
    }

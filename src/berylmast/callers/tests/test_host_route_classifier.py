"""Guards against wrong latency targets and homes of forwarded requests."""

from dataclasses import replace
from typing import Any

import pytest
from result import Ok

from ...membership import Directory
from ...membership.active_document import ActiveDocument
from ...model import AttemptId, Headers
from ...routes import CallerLimits, Configuration, HostRoute, RoutePart
from ...tests.fake_parts import SERVICE, make_slice
from ..host_route_classifier import CallerHeaderInterface, make_host_route_classifier

pytestmark = pytest.mark.anyio

ROUTE = HostRoute("browse", "/", (RoutePart(SERVICE, 1.0),), True, 0, 3000, 1000, 2)
CONFIGURATION = Configuration(
    version=1,
    routes={"shop.test": (ROUTE,)},
    services={SERVICE: make_slice()},
    limits=CallerLimits(10_000, 10_000, 10.0, 10.0),
)


def read_deadline_ms(headers: Headers) -> int | None:
    value = dict(headers).get(b"deadline")
    return None if value is None else int(value)


def make_scope(deadline_ms: int | None) -> dict[str, Any]:
    headers = [(b"host", b"shop.test")]
    if deadline_ms is not None:
        headers.append((b"deadline", str(deadline_ms).encode()))
    return {
        "method": "GET",
        "path": "/tanks",
        "raw_path": b"/tanks",
        "query_string": b"",
        "headers": headers,
    }


@pytest.mark.parametrize(
    ("deadlines_ms", "target_ms"),
    [
        ([6000], 1000),
        ([6000, 5600], 600),
        ([6000, 4000], -1000),
        ([6000, None], 1000),
        ([4000, 6000], 1000),
    ],
    ids=["first", "retry", "retry-after-target", "no-deadline", "longer"],
)
async def test_latency_target_of_a_retry_counts_from_the_first_attempt(
    deadlines_ms: list[int | None], target_ms: int
) -> None:
    """Guards against retries that are prioritized as if they could still be on time."""
    active_document = ActiveDocument(lambda _spec: Ok(CONFIGURATION), Directory())
    active_document.current = CONFIGURATION
    classify = make_host_route_classifier(
        active_document,
        CallerHeaderInterface(lambda _h: "r1", read_deadline_ms, lambda h, _s: list(h)),
        lambda route: route.parts[0].service,
        lambda: AttemptId("e", 1, 1),
        lambda: SERVICE,
    )
    heads = [
        (await classify(make_scope(deadline_ms))).unwrap().head
        for deadline_ms in deadlines_ms
    ]
    assert heads[-1].target_ms == target_ms


@pytest.mark.parametrize(
    ("route_homes", "expected"),
    [(frozenset(), None), (frozenset({"a", "b"}), frozenset({"a", "b"}))],
    ids=["none", "two"],
)
async def test_home_regions_of_the_route_apply(
    route_homes: frozenset[str], expected: frozenset[str] | None
) -> None:
    """Guards against an absent restriction that is read as "no region"."""
    route = replace(ROUTE, home_regions=route_homes)
    active_document = ActiveDocument(lambda _spec: Ok(CONFIGURATION), Directory())
    active_document.current = replace(CONFIGURATION, routes={"shop.test": (route,)})
    classify = make_host_route_classifier(
        active_document,
        CallerHeaderInterface(lambda _h: "r1", read_deadline_ms, lambda h, _s: list(h)),
        lambda route: route.parts[0].service,
        lambda: AttemptId("e", 1, 1),
        lambda: SERVICE,
    )
    classified = (await classify(make_scope(None))).unwrap()
    assert classified.home_regions == expected

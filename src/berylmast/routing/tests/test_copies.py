"""Guards against copies of late requests that are sent to unfit servers."""

from collections.abc import Collection
from typing import Any

import anyio
import pytest

from ..load_table import MAX_REPORT_AGE_S
from .factories import PAGES, eject, make_endpoint, make_report, make_router

pytestmark = pytest.mark.anyio

FIRST, OTHER = make_endpoint("first"), make_endpoint("other")


@pytest.mark.parametrize(
    ("changes", "own", "expected"),
    [
        ({}, 0, "other"),
        ({"in_flight": 5}, 0, "other"),
        ({"in_flight": 5}, 1, None),
        ({"in_flight": 4, "queued": 2}, 0, None),
        ({"limit": 0}, 0, None),
        ({"rate_limit": 50.0}, 0, None),
        ({"backend_leaving": True}, 0, None),
        ({"draining": True}, 0, None),
        ({"incarnation": 2}, 0, None),
    ],
)
async def test_copy_needs_a_free_slot_and_no_limit(
    changes: dict[str, Any], own: int, expected: str | None
) -> None:
    router, _ = make_router(FIRST, OTHER)
    router.record_load(make_report("other", **changes))
    for _ in range(own):
        router.record_start("other")
    endpoint = router.choose_for_copy(PAGES, exclude={"first"})
    assert (None if endpoint is None else endpoint.backend) == expected


async def test_copy_needs_a_fresh_report() -> None:
    """Guards against a copy to a server that has filled up since its report."""
    router, _ = make_router(FIRST, OTHER)
    assert router.choose_for_copy(PAGES, exclude={"first"}) is None
    router.record_load(make_report("other"))
    await anyio.sleep(MAX_REPORT_AGE_S)
    assert router.choose_for_copy(PAGES, exclude={"first"}) is None


@pytest.mark.parametrize(
    ("regions", "homes", "evacuated", "copied_to"),
    [
        (("north", "north"), None, (), {"b1", "b2"}),
        (("south", "north"), None, (), {"b2"}),
        (("south", "south"), None, (), {"b1", "b2"}),
        (("south", "north"), {"south"}, (), {"b1"}),
        (("north", "north"), {"south"}, (), {None}),
        (("north", "north"), (), (), {None}),
        (("north", "north"), None, ("d2",), {"b1"}),
        (("south", "north"), {"south"}, ("d1",), {None}),
    ],
)
async def test_copy_stays_in_the_homes_and_near(
    regions: tuple[str, str],
    homes: Collection[str] | None,
    evacuated: tuple[str, ...],
    copied_to: set[str | None],
) -> None:
    endpoints = [
        make_endpoint(f"b{number}", region, f"d{number}")
        for number, region in enumerate(regions, 1)
    ]
    router, _ = make_router(FIRST, *endpoints)
    router._get_evacuated = lambda: frozenset(evacuated)
    for endpoint in endpoints:
        router.record_load(make_report(endpoint.backend))
    home_regions = None if homes is None else frozenset(homes)
    chosen = [
        router.choose_for_copy(PAGES, exclude={"first"}, home_regions=home_regions)
        for _ in range(50)
    ]
    assert {e and e.backend for e in chosen} == copied_to


async def test_copy_is_not_a_trial_of_an_ejected_server() -> None:
    router, _ = make_router(FIRST, OTHER, make_endpoint("third"))
    eject(router, "other")
    for name in ("other", "third"):
        router.record_load(make_report(name))
    chosen = [router.choose_for_copy(PAGES, exclude={"first"}) for _ in range(20)]
    assert {e.backend for e in chosen if e is not None} == {"third"}


@pytest.mark.parametrize(
    ("reports", "use"),
    [([], 0.0), ([(0, 0)], 0.0), ([(6, 0), (0, 0)], 0.5), ([(6, 6), (6, 0)], 1.5)],
)
async def test_use_is_the_share_of_taken_slots(
    reports: list[tuple[int, int]], use: float
) -> None:
    router, _ = make_router(FIRST, OTHER)
    for name, (in_flight, queued) in zip(("first", "other"), reports, strict=False):
        router.record_load(make_report(name, in_flight=in_flight, queued=queued))
    assert router.estimate_use("pages") == use

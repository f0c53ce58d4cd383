"""Guards against copies of late requests that are sent to unfit servers."""

from typing import Any

import pytest

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

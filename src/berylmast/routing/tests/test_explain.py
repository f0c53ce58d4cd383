"""Guards against explanations that change the router's state or differ from its choice.

An explanation runs on a copy of the router; a part that is shared instead of copied
would be changed by it.
"""

from typing import Any

import anyio
import pytest

from ...model import Budgets, Endpoint, ServiceSlice
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
SHIFTED = make_slice(region_weights={"south": 1.0})


@pytest.mark.parametrize(
    ("endpoints", "service", "chosen", "reason"),
    [
        ([OWN, NEAR, FAR], PAGES, "own", "own failure domain n1"),
        ([NEAR, FAR], PAGES, "near", "own region, failure domain n2"),
        ([FAR], PAGES, "far", "no usable endpoint in own region"),
        ([OWN, FAR], SHIFTED, "far", "drawn by the weights"),
        ([FAR], NO_LINK, None, "refused: link-budget"),
        ([], PAGES, None, "refused: no-backend"),
    ],
)
async def test_choice_and_reason(
    endpoints: list[Endpoint], service: ServiceSlice, chosen: str | None, reason: str
) -> None:
    router, _ = make_router(*endpoints)
    explanation = router.explain(service)
    assert explanation.chosen == chosen
    assert reason in explanation.reason
    assert [c.backend for c in explanation.candidates] == [e.backend for e in endpoints]


def read_state(router: Router) -> dict[str, Any]:
    return {
        "summary": router.summarize(),
        "called": dict(router._last_request_s),
        "loads": repr(vars(router._loads)),
        "ejections": repr(vars(router._ejections)),
        "ramp": repr(vars(router._slow_start)),
        "rng": router._rng.getstate(),
        "probe_tokens": router.probe_budget._probe_tokens.tokens,
        "link_tokens": router.link_budget._bucket.tokens,
    }


@pytest.mark.parametrize("service", [PAGES, NO_LINK, SHIFTED])
async def test_explanation_changes_nothing_and_predicts_the_choice(
    service: ServiceSlice,
) -> None:
    router, _ = make_router(OWN, NEAR, FAR)
    run_request(router)
    router.record_load(make_report("near", in_flight=5, error_rate=0.2))
    eject(router, "own")
    await anyio.sleep(2)  # A readmission trial of "own" is now due.
    before = read_state(router)
    chosen = [router.explain(service).chosen for _ in range(3)]
    assert read_state(router) == before
    assert set(chosen) == {choose(router, service)}


async def test_known_state_of_candidates() -> None:
    router, directory = make_router(OWN, NEAR)
    run_request(router)
    await anyio.sleep(10)
    directory.put_endpoint(make_endpoint("new"))
    eject(router, "own")
    router.record_start("near")
    router.record_load(make_report("near", in_flight=3, draining=True))
    candidates = {c.backend: c for c in router.explain(PAGES).candidates}
    assert candidates["own"].ejected
    assert candidates["own"].report_age_s is None
    assert candidates["near"].draining
    assert (candidates["near"].own, candidates["near"].report_age_s) == (1, 0.0)
    assert candidates["new"].ramp_limit == 1
    assert candidates["near"].ramp_limit is None

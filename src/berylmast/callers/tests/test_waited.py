"""Guards against treating a caller's retry as a new request."""

import pytest

from ..caller_wait import DEADLINES_PER_ROUTE, MAX_ROUTES, CallerWaitEstimator


@pytest.mark.parametrize(
    ("attempts", "waited_ms"),
    [
        ([("r", 6000)], 0),
        ([("r", 6000), ("r", 4500)], 1500),
        ([("r", 6000), ("s", 4500)], 0),
        ([("r", 4500), ("r", 6000)], 0),
        ([("r", 6000)] * 10 + [("r", 4500)] * 20, 1500),
        ([("r", 60_000)] + [("r", 6000)] * 20, 0),
        ([("r", 6000)] * 10 + [("r", 4500)] * DEADLINES_PER_ROUTE, 0),
    ],
    ids=["first", "repeat", "other-route", "longer", "storm", "one-patient", "changed"],
)
def test_repeat_has_waited_what_its_deadline_lacks(
    attempts: list[tuple[str, int]], waited_ms: int
) -> None:
    waits = CallerWaitEstimator()
    assert [waits.record_and_estimate_ms(*attempt) for attempt in attempts][
        -1
    ] == waited_ms


def test_routes_that_are_kept_are_bounded() -> None:
    """Guards against memory use that grows with every route ever configured."""
    waits = CallerWaitEstimator()
    waits.record_and_estimate_ms("first", 6000)
    for number in range(MAX_ROUTES):
        waits.record_and_estimate_ms(str(number), 6000)
    assert waits.record_and_estimate_ms("first", 4500) == 0

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
    ids=[
        "first",
        "retry",
        "other-route",
        "longer",
        "retry-storm",
        "one-long-deadline",
        "changed",
    ],
)
def test_wait_of_a_retry_is_estimated_from_its_deadline(
    attempts: list[tuple[str, int]], waited_ms: int
) -> None:
    estimator = CallerWaitEstimator()
    assert [estimator.estimate_wait_ms(*attempt) for attempt in attempts][
        -1
    ] == waited_ms


def test_number_of_kept_routes_is_bounded() -> None:
    """Guards against memory use that grows with every route ever configured."""
    estimator = CallerWaitEstimator()
    estimator.estimate_wait_ms("first", 6000)
    for number in range(MAX_ROUTES):
        estimator.estimate_wait_ms(str(number), 6000)
    assert estimator.estimate_wait_ms("first", 4500) == 0

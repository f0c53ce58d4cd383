"""Guards against policies that prefer a loaded, slow or failing backend server."""

from collections import Counter
from collections.abc import Sequence
from random import Random

import pytest

from ...operators.document import DocumentError, parse_document
from ..policies import POLICIES, Candidate, mark_hot
from .factories import make_candidate


def count_choices(
    policy: str, candidates: Sequence[Candidate], count: int = 400
) -> Counter[str]:
    rng = Random(1)
    choose = POLICIES[policy]
    return Counter(choose(candidates, rng).endpoint.backend for _ in range(count))


NAMES = {"random", "round_robin", "least_in_flight", "power_of_two", "hot_cold"}
IDLE = make_candidate("idle")


@pytest.mark.parametrize(
    ("policy", "other", "share"),
    [
        ("random", make_candidate("b", own=9, in_flight=9.0), (0.4, 0.6)),
        ("round_robin", make_candidate("b", last_chosen=1), (0.0, 0.0)),
        ("least_in_flight", make_candidate("b", own=1), (0.0, 0.0)),
        ("least_in_flight", make_candidate("b", in_flight=9.0), (0.4, 0.6)),
        ("power_of_two", make_candidate("b", own=1), (0.0, 0.0)),
        ("hot_cold", make_candidate("b", in_flight=1.0), (0.0, 0.0)),
        ("hot_cold", make_candidate("b", latency_ms=100.0), (0.0, 0.0)),
        ("hot_cold", make_candidate("b", latency_ms=1.0, error_rate=1.0), (0.0, 0.0)),
        ("hot_cold", make_candidate("b", error_rate=0.2), (0.0, 0.0)),
        # Estimates within the noise are equal; the random choice spreads the load.
        ("hot_cold", make_candidate("b", latency_ms=11.0), (0.4, 0.6)),
    ],
)
def test_share_of_the_other_candidate(
    policy: str, other: Candidate, share: tuple[float, float]
) -> None:
    share_of_b = count_choices(policy, [IDLE, other])["b"] / 400
    assert share[0] <= share_of_b <= share[1]


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        # A hot candidate is not chosen although it is the fastest.
        ([("fast", 9.0, 1.0, 0.0, True), ("cold", 3.0, 20.0, 0.0, False)], "cold"),
        # If all are hot, the requests in flight decide, not the latency.
        ([("a", 9.0, 1.0, 0.0, True), ("b", 8.0, 20.0, 0.0, True)], "b"),
        # A failing candidate has few requests in flight but must not be chosen.
        ([("a", 9.0, 10.0, 0.0, True), ("bad", 0.0, 10.0, 0.5, True)], "a"),
        # A very slow candidate is not chosen because the others have no free slot.
        ([("slow", 0.0, 400.0, 0.0, False), ("full", 6.0, 40.0, 0.0, False)], "full"),
    ],
)
def test_hot_cold_choice(
    candidates: list[tuple[str, float, float, float, bool]], expected: str
) -> None:
    made = [
        make_candidate(name, in_flight=load, latency_ms=ms, error_rate=errors, hot=hot)
        for name, load, ms, errors, hot in candidates
    ]
    assert set(count_choices("hot_cold", made)) == {expected}


@pytest.mark.parametrize(
    ("in_flight", "hot"),
    [([3.0], 0), ([1.0, 5.0], 0), ([2.0] * 8, 0), ([1.0] * 7 + [2.0], 1)],
)
def test_only_candidates_above_the_quantile_are_hot(
    in_flight: list[float], hot: int
) -> None:
    marked = mark_hot(
        [make_candidate(str(i), in_flight=n) for i, n in enumerate(in_flight)]
    )
    assert sum(c.hot for c in marked) == hot


def test_document_accepts_exactly_the_known_policies() -> None:
    """An unknown name in an accepted document would fail only at the first request."""
    assert set(POLICIES) == NAMES
    text = (
        '{priorities: [{name: "p"}], services: {s: {hosts: ["s"], policy: "%s",'
        ' slots: 1, routes: [{path: "/", idempotent: true, priority: "p",'
        " deadline_ms: 9}]}}}"
    )
    for name in POLICIES:
        assert parse_document(text % name).services["s"].policy == name
    with pytest.raises(DocumentError, match=r"services\.s\.policy.*hot_cold"):
        parse_document(text % "fastest")

"""Guards against ejecting too few or too many backend servers, or forever."""

import pytest

from ..ejection import MAX_BACKOFF_S, TRIALS_TO_READMIT, EjectionTracker

BACKENDS = ["a", "b", "c", "d"]


def record_results(
    ejections: EjectionTracker, backend: str, results: str, now_s: float = 0.0
) -> None:
    for result in results:
        ejections.record(backend, result == "x", now_s)


@pytest.mark.parametrize(
    ("results", "ejected"),
    [
        ("xxxx", False),
        ("xxxxx", True),
        ("xxxx.xxxx", False),
        ("x.x.x.x.x.", True),
        ("x..x..x..x..x..", False),
    ],
)
def test_ejected_after_consecutive_errors_or_a_high_error_ratio(
    results: str, ejected: bool
) -> None:
    ejections = EjectionTracker()
    record_results(ejections, "a", results)
    assert ("a" in ejections.list_ejected_within_limit(BACKENDS)) is ejected


@pytest.mark.parametrize(("size", "most"), [(1, 0), (2, 1), (3, 1), (4, 2)])
def test_at_most_half_of_a_set_is_ejected(size: int, most: int) -> None:
    ejections = EjectionTracker()
    for second, backend in enumerate(BACKENDS):
        record_results(ejections, backend, "xxxxx", second)
    assert ejections.list_ejected_within_limit(BACKENDS[:size]) == BACKENDS[:most]


def test_backoff_doubles_up_to_a_limit() -> None:
    ejections = EjectionTracker()
    record_results(ejections, "a", "xxxxx")
    now_s, waits = 0.0, []
    for _ in range(10):
        start_s = now_s
        while not ejections.is_trial_due("a", now_s):
            now_s += 0.5
        waits.append(now_s - start_s)
        ejections.start_trial("a", now_s)
        assert not ejections.is_trial_due("a", now_s)
        ejections.record("a", True, now_s)
    assert waits[:4] == [1, 2, 4, 8]
    assert waits[-1] == MAX_BACKOFF_S


def test_late_failures_of_earlier_requests_do_not_lengthen_the_backoff() -> None:
    ejections = EjectionTracker()
    record_results(ejections, "a", "xxxxx" + "x" * 20)
    assert ejections.is_trial_due("a", 1.0)


def test_readmitted_after_good_trials() -> None:
    ejections = EjectionTracker()
    record_results(ejections, "a", "xxxxx")
    readmitted = []
    for _ in range(TRIALS_TO_READMIT):
        assert ejections.is_trial_due("a", 2.0)
        ejections.start_trial("a", 2.0)
        readmitted.append(ejections.record("a", False, 2.0))
    assert readmitted == [False, False, True]
    assert ejections.list_ejected_within_limit(BACKENDS) == []


def test_trial_whose_result_is_lost_does_not_block_readmission() -> None:
    ejections = EjectionTracker()
    record_results(ejections, "a", "xxxxx")
    ejections.start_trial("a", 1.0)
    assert not ejections.is_trial_due("a", 2.0)
    assert ejections.is_trial_due("a", 32.0)

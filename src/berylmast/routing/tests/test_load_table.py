"""Guards against load estimates that are stale, double counted or of an earlier run."""

import pytest

from ...errors import ErrorKind
from ...model import AttemptResult
from ..load_table import (
    MAX_DRAINING_AGE_S,
    MAX_REPORT_AGE_S,
    MAX_REQUESTS_PER_REPORT,
    LoadTable,
    is_error,
)
from ..policies import Candidate, estimate_delay_ms
from .factories import (
    OK,
    OVERLOADED,
    STATUS_500,
    UNREACHABLE,
    make_endpoint,
    make_report,
)

ENDPOINTS = [make_endpoint("a"), make_endpoint("b")]


def estimate(table: LoadTable, now_s: float) -> tuple[Candidate, Candidate]:
    a, b = table.make_candidates(ENDPOINTS, now_s)
    return a, b


@pytest.mark.parametrize(
    ("age_s", "low", "high"),
    [(0.0, 9, 9), (0.5, 5, 8), (MAX_REPORT_AGE_S, 1, 1)],
)
def test_report_weight_falls_with_age(age_s: float, low: float, high: float) -> None:
    table = LoadTable()
    table.record_load(make_report("a", in_flight=8, queued=1), 10.0)
    table.record_load(make_report("b", in_flight=1), 10.0 + age_s)
    a, _ = estimate(table, 10.0 + age_s)
    assert low <= a.in_flight <= high


def test_report_is_ignored_after_many_requests() -> None:
    table = LoadTable()
    table.record_load(make_report("a", in_flight=9), 0.0)
    table.record_load(make_report("b", in_flight=1), 0.0)
    for _ in range(MAX_REQUESTS_PER_REPORT):
        table.record_start("a", 0.0)
        table.record_result("a", OVERLOADED, 0.001)
    assert estimate(table, 0.001)[0].in_flight == pytest.approx(1, abs=0.1)


@pytest.mark.parametrize(
    ("incarnation", "owner_incarnation", "in_flight"),
    [(1, 8, 2), (1, 7, 9), (1, None, 2), (2, 8, 2), (0, 8, 9)],
    ids=[
        "restarted-owner",
        "late-report-of-the-same-owner",
        "own-daemon",
        "new-backend-server",
        "earlier-backend-server",
    ],
)
def test_reports_of_a_restarted_owner_are_not_taken_for_late_ones(
    incarnation: int, owner_incarnation: int | None, in_flight: int
) -> None:
    """A restarted owner counts its reports from 1 for the same backend server."""
    table = LoadTable()
    table.record_load(make_report("a", seq=500, in_flight=9), 0.0, 7)
    report = make_report("a", seq=1, in_flight=2, incarnation=incarnation)
    table.record_load(report, 0.0, owner_incarnation)
    assert estimate(table, 0.0)[0].in_flight == in_flight


def test_own_requests_count_from_the_report_on() -> None:
    table = LoadTable()
    table.record_start("a", 0.0)
    table.record_load(make_report("a", in_flight=3), 1.0)
    assert estimate(table, 1.0)[0].in_flight == 3
    table.record_start("a", 1.0)
    assert (
        estimate(table, 1.0)[0].in_flight,
        estimate(table, 1.0)[0].own,
    ) == (4, 2)
    table.record_result("a", AttemptResult(True, False, 0.01), 1.01)
    assert estimate(table, 1.01)[0].own == 1


def test_report_out_of_order_or_of_a_past_run_is_ignored() -> None:
    table = LoadTable()
    table.record_load(make_report("a", seq=1, in_flight=1, incarnation=2), 0.0)
    table.record_load(make_report("a", seq=9, in_flight=7, incarnation=1), 0.0)
    assert estimate(table, 0.0)[0].in_flight == 1


def test_overdue_request_raises_the_latency_estimate() -> None:
    """The owner's latency estimate changes only after slow responses have arrived."""
    table = LoadTable()
    for name in "ab":
        table.record_load(make_report(name), 0.0)
    table.record_start("a", 0.0)
    a, b = estimate(table, 0.1)
    assert a.latency_ms > 3 * b.latency_ms


def test_latency_estimate_decays_without_new_results_despite_probes() -> None:
    """Otherwise a backend server that was slow once would never get requests again."""
    table = LoadTable()
    for second in range(20):
        table.record_load(make_report("a", second + 1, latency_ms=400.0), second)
        table.record_load(
            make_report("b", second + 1, latency_ms=10.0 + second), second
        )
        if second == 1:
            assert estimate(table, second)[0].latency_ms > 300
    a, b = estimate(table, 19.0)
    assert a.error_rate == 0
    assert a.latency_ms < 10 * b.latency_ms


@pytest.mark.parametrize(
    ("result", "error"),
    [
        (OK, False),
        (OVERLOADED, False),
        (STATUS_500, True),
        (UNREACHABLE, True),
        (AttemptResult(True, False, 0.1, status=404), False),
        (AttemptResult(False, False, 0.1, kind=ErrorKind.CANCELLED), False),
        (AttemptResult(False, False, 0.1, kind=ErrorKind.BACKEND_CUT), True),
        (AttemptResult(False, False, 0.1, kind=ErrorKind.DEADLINE_UNKNOWN), True),
    ],
)
def test_what_counts_as_an_error(result: AttemptResult, error: bool) -> None:
    assert is_error(result) is error
    table = LoadTable()
    table.record_start("a", 0.0)
    table.record_result("a", result, 0.1)
    assert (estimate(table, 0.1)[0].error_rate > 0) is error


@pytest.mark.parametrize("kind", [ErrorKind.CANCELLED, ErrorKind.OVERLOADED])
def test_refused_or_cancelled_request_does_not_hide_errors(kind: ErrorKind) -> None:
    """Requests that callers cancel must not make a hanging server look healthy."""
    table = LoadTable()
    for result in [STATUS_500, *[AttemptResult(False, False, 0.0, kind=kind)] * 20]:
        table.record_start("a", 0.0)
        table.record_result("a", result, 0.0)
    assert estimate(table, 0.0)[0].error_rate == pytest.approx(0.2)


def test_failing_backend_server_does_not_look_fast() -> None:
    table = LoadTable()
    table.record_load(make_report("a", latency_ms=0.1, error_rate=0.5), 0.0)
    table.record_load(make_report("b", latency_ms=40.0), 0.0)
    a, b = estimate(table, 0.0)
    assert a.cost > 5 * b.cost


@pytest.mark.parametrize(
    ("incarnation", "expected"), [(1, 4.0), (2, None)], ids=["same", "new-server"]
)
def test_known_rate_limit_is_of_the_same_incarnation(
    incarnation: int, expected: float | None
) -> None:
    table = LoadTable()
    table.record_load(make_report("a", rate_limit=4.0, rate_share=1.0), 0.0)
    endpoint = make_endpoint("a", incarnation=incarnation)
    assert table.get_rate_limit(endpoint) == expected


@pytest.mark.parametrize("limit", [0, 1, 6])
def test_draining_report_says_nothing_of_the_load_after_the_drain(limit: int) -> None:
    """Otherwise the backend server would look full, and get no requests either."""
    table = LoadTable()
    report = make_report("a", limit=limit, in_flight=9, draining=True)
    table.record_load(report, 0.0)
    table.record_load(make_report("b", in_flight=3), MAX_DRAINING_AGE_S)
    a, b = estimate(table, MAX_DRAINING_AGE_S)
    assert estimate_delay_ms(a, 0.0) <= 2 * estimate_delay_ms(b, 0.0)

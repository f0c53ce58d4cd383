"""Guards against parts of a quota that exceed its bound, and too few lenders."""

import pytest

from ...model import DaemonLocation
from ...settings import QuotaSettings
from ..quota_assignment import CLAIM_LIMIT_S, LenderAssignment
from ..quota_shares import (
    LENDER_GROUPS,
    MAX_LENDERS,
    choose_lenders,
    find_displaced,
    make_terms,
)


def make_daemons(count: int, regions: str = "ab") -> list[DaemonLocation]:
    return [
        DaemonLocation(
            f"10.0.0.{n}", 7000, r := regions[n % len(regions)], f"{r}{n % 4}"
        )
        for n in range(count)
    ]


@pytest.mark.parametrize("rate", [1.0, 3.0, 100.0, 5000.0])
@pytest.mark.parametrize("burst", [0.0, 3.0, 1000.0])
@pytest.mark.parametrize(
    "bound",
    [
        QuotaSettings(),
        QuotaSettings(overrun=0.0, slack=5.0),
        QuotaSettings(window_s=1.0, overrun=0.5, slack=0.0),
    ],
)
def test_the_parts_add_up_to_less_than_the_bound(
    rate: float, burst: float, bound: QuotaSettings
) -> None:
    terms = make_terms(rate, burst, bound)
    total_rate = MAX_LENDERS * terms.lender.rate_per_s + terms.reserve.rate_per_s
    total_burst = MAX_LENDERS * terms.lender.burst + terms.reserve.burst
    quota = rate * bound.window_s + burst
    # A lender's burst is at least one token, for which the slack must have room.
    limit = quota * (1 + bound.overrun) + max(bound.slack, MAX_LENDERS)
    assert total_rate * bound.window_s + total_burst <= limit
    assert total_rate >= rate
    assert total_burst >= burst


@pytest.mark.parametrize("group", range(LENDER_GROUPS))
@pytest.mark.parametrize(
    ("count", "regions", "lenders"),
    [(0, "a", 0), (1, "a", 1), (2, "a", 2), (66, "ab", 2)],
)
def test_lenders_are_chosen(group: int, count: int, regions: str, lenders: int) -> None:
    daemons = make_daemons(count, regions)
    chosen = choose_lenders(group, daemons)
    assert len(chosen) == lenders
    assert chosen == choose_lenders(group, reversed(daemons))


@pytest.mark.parametrize("group", range(LENDER_GROUPS))
def test_lenders_are_in_different_regions_or_failure_domains(group: int) -> None:
    first, second = choose_lenders(group, make_daemons(66))
    assert first.region != second.region
    first, second = choose_lenders(group, make_daemons(66, "a"))
    assert first.failure_domain != second.failure_domain


def test_the_end_of_another_daemon_keeps_the_lenders() -> None:
    daemons = make_daemons(66)
    for group in range(LENDER_GROUPS):
        chosen = choose_lenders(group, daemons)
        for daemon in daemons:
            left = [d for d in daemons if d is not daemon]
            if daemon not in chosen:
                assert choose_lenders(group, left) == chosen


def make_claim() -> tuple[LenderAssignment, int, DaemonLocation]:
    """Return the assignment of a lender, its group and the daemon that it replaces."""
    daemons = make_daemons(12)
    own = choose_lenders(0, daemons)[0]
    others = [d for d in daemons if d is not own]
    assignment = LenderAssignment(own)
    assignment.set_daemons(others, 0.0, is_announced=True)
    (replaced,) = find_displaced(0, own, others)
    return assignment, 0, replaced


def test_a_lender_waits_for_the_one_that_it_replaces() -> None:
    assignment, group, replaced = make_claim()
    assert group not in assignment.list_groups(1.0)
    assert group in assignment.list_open_claims(1.0)[replaced.address]
    assignment.record_confirmation(replaced.address, [group], disputed=[group])
    assert group not in assignment.list_groups(2.0)
    assignment.record_confirmation(replaced.address, [group], disputed=[])
    assert group in assignment.list_groups(3.0)


def test_a_lender_does_not_wait_for_ever() -> None:
    assignment, group, _ = make_claim()
    assert group not in assignment.list_groups(CLAIM_LIMIT_S)
    assert group in assignment.list_groups(CLAIM_LIMIT_S + 0.1)


def test_a_claim_of_a_daemon_that_knew_no_other_does_not_count() -> None:
    """After a start the records of the others may arrive late."""
    daemons = make_daemons(12)
    own = choose_lenders(0, daemons)[0]
    assignment = LenderAssignment(own)
    assignment.set_daemons([], 0.0, is_announced=True)
    assert 0 in assignment.list_groups(0.1)
    assignment.set_daemons([d for d in daemons if d is not own], 0.2, is_announced=True)
    assert 0 not in assignment.list_groups(0.3)


def test_a_daemon_whose_record_is_gone_does_not_lend() -> None:
    """The others don't know it and have chosen another lender."""
    assignment, group, replaced = make_claim()
    assignment.record_confirmation(replaced.address, [group], disputed=[])
    assert group in assignment.list_groups(1.0)
    assignment.set_daemons([replaced], 2.0, is_announced=False)
    assert assignment.list_groups(2.0) == []

"""Guards against tokens that are spent after they have expired, or twice."""

import pytest

from ..quota_bucket import IMMEDIATE_LIFETIME_S, QuotaBucket
from ..quota_lender import LOAN_S, Loan
from ..quota_shares import QuotaShare

LENDER, OTHER = ("10.0.0.1", 7000), ("10.0.0.2", 7000)


def spend_all(bucket: QuotaBucket, now_s: float) -> int:
    count = 0
    while bucket.try_spend(now_s):
        count += 1
    return count


def borrow(bucket: QuotaBucket, loan: Loan, now_s: float = 0.0) -> None:
    bucket.begin_loan_request(LENDER, 0.0, now_s)
    assert bucket.add_loan(LENDER, loan, now_s, now_s)


@pytest.mark.parametrize(
    ("now_s", "expected"), [(0.0, 0), (0.9, 1), (2.0, 4), (9.0, 5)]
)
def test_the_reserve_begins_empty_and_fills_up_to_its_burst(
    now_s: float, expected: int
) -> None:
    bucket = QuotaBucket(0.0)
    bucket.set_reserve(QuotaShare(2.0, 5.0), 0.0)
    assert spend_all(bucket, now_s) == expected


@pytest.mark.parametrize(
    ("now_s", "expected"), [(0.1, 4), (LOAN_S - 0.01, 4), (LOAN_S, 0), (99.0, 0)]
)
def test_kept_tokens_expire(now_s: float, expected: int) -> None:
    bucket = QuotaBucket(0.0)
    borrow(bucket, Loan(0.0, 4.0))
    assert spend_all(bucket, now_s) == expected


def test_tokens_for_waiting_requests_are_not_kept() -> None:
    """The lender does not count them."""
    bucket = QuotaBucket(0.0)
    borrow(bucket, Loan(3.0, 1.0))
    assert bucket.try_spend(0.0)
    bucket.drop_uncounted()
    assert spend_all(bucket, 0.0) == 1


@pytest.mark.parametrize(
    ("arrives_s", "expected"), [(0.1, 3), (IMMEDIATE_LIFETIME_S, 1), (LOAN_S, 0)]
)
def test_a_late_reply_counts_less_or_not(arrives_s: float, expected: int) -> None:
    """The process may have been suspended meanwhile."""
    bucket = QuotaBucket(0.0)
    bucket.begin_loan_request(LENDER, 0.0, 0.0)
    bucket.add_loan(LENDER, Loan(2.0, 1.0), 0.0, arrives_s)
    assert spend_all(bucket, arrives_s) == expected


def test_the_reply_to_an_earlier_loan_request_does_not_count() -> None:
    """The lender has forgotten that loan when it got the later request."""
    bucket = QuotaBucket(0.0)
    bucket.begin_loan_request(LENDER, 0.0, 0.0)
    bucket.begin_loan_request(LENDER, 0.0, 0.1)
    assert not bucket.add_loan(LENDER, Loan(0.0, 4.0), 0.0, 0.2)
    assert bucket.add_loan(LENDER, Loan(0.0, 2.0), 0.1, 0.2)
    assert spend_all(bucket, 0.2) == 2


def test_returned_tokens_are_gone() -> None:
    bucket = QuotaBucket(0.0)
    borrow(bucket, Loan(0.0, 4.0))
    assert bucket.begin_loan_request(LENDER, 3.0, 0.1) == 1.0
    assert spend_all(bucket, 0.1) == 1


def test_fractions_of_lenders_and_reserve_add_up() -> None:
    bucket = QuotaBucket(0.0)
    bucket.set_reserve(QuotaShare(0.25, 1.0), 0.0)
    for lender in (LENDER, OTHER):
        bucket.begin_loan_request(lender, 0.0, 1.0)
        bucket.add_loan(lender, Loan(0.0, 0.375), 1.0, 1.0)
    assert spend_all(bucket, 1.0) == 1


@pytest.mark.parametrize(("now_s", "expected"), [(0.5, 4), (LOAN_S + 0.1, 0)])
def test_a_token_is_given_back_only_as_long_as_its_loan_counts(
    now_s: float, expected: int
) -> None:
    bucket = QuotaBucket(0.0)
    borrow(bucket, Loan(0.0, 4.0))
    assert bucket.try_spend(0.1)
    for _ in range(3):
        bucket.give_back(now_s)
    assert spend_all(bucket, now_s) == expected

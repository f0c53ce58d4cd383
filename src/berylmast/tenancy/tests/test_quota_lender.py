"""Guards against a lender that lends more than its part, or too little of it."""

import pytest

from ..quota_lender import (
    LOAN_MARGIN_S,
    LOAN_S,
    NO_LOAN,
    QUARANTINE_S,
    SUSPENSION_S,
    Borrower,
    Loan,
    LoanRequest,
    QuotaLender,
    divide_fairly,
)
from ..quota_shares import QuotaShare, get_group

SHARE = QuotaShare(10.0, 20.0)
A, B = Borrower("a", 1), Borrower("b", 1)
GROUP = get_group("t")


class Lender:
    """A lender with its clock, past its quarantine and with a full bucket."""

    def __init__(self) -> None:
        self.lender = QuotaLender()
        self.now_s = 0.0
        self.sequence = 0
        self.wait(QUARANTINE_S + 10.0)

    def wait(self, span_s: float) -> None:
        end_s = self.now_s + span_s
        while self.now_s < end_s:
            self.lender.update_groups({GROUP}, self.now_s)
            self.now_s = min(end_s, self.now_s + 0.1)
        self.lender.update_groups({GROUP}, self.now_s)

    def lend(
        self,
        borrower: Borrower = A,
        waiting: float = 0.0,
        prefetch: float = 0.0,
        held: float = 0.0,
        returned: float = 0.0,
        demand: float = 0.0,
        share: QuotaShare = SHARE,
    ) -> Loan | None:
        self.sequence += 1
        loan_request = LoanRequest("t", demand, waiting, prefetch, held, returned)
        return self.lender.lend(
            borrower, self.sequence, loan_request, share, self.now_s
        )


@pytest.mark.parametrize(
    ("waiting", "expected"), [(5.0, 5.0), (20.0, 20.0), (25.0, 20.0), (20.5, 19.5)]
)
def test_waiting_requests_get_whole_tokens(waiting: float, expected: float) -> None:
    """A fraction of a token that no request can spend would be lost."""
    assert Lender().lend(waiting=waiting) == Loan(expected, 0.0)


def test_an_empty_bucket_fills_at_the_rate() -> None:
    lender = Lender()
    lender.lend(waiting=20.0)
    assert lender.lend(waiting=1.0) == NO_LOAN
    lender.wait(0.5)
    assert lender.lend(waiting=20.0) == Loan(5.0, 0.0)


def test_kept_tokens_leave_room_in_the_bucket() -> None:
    """Tokens that are made while a borrower keeps others must not be lost."""
    assert Lender().lend(prefetch=15.0) == Loan(0.0, 10.0)


def test_kept_tokens_and_the_bucket_do_not_exceed_the_burst() -> None:
    lender = Lender()
    assert lender.lend(prefetch=10.0) == Loan(0.0, 10.0)
    lender.wait(1.0)
    assert lender.lend(B, waiting=20.0) == Loan(10.0, 0.0)


@pytest.mark.parametrize(
    ("wait_s", "expected"), [(LOAN_S, 10.0), (LOAN_S + LOAN_MARGIN_S + 1.0, 20.0)]
)
def test_a_loan_counts_until_it_has_expired(wait_s: float, expected: float) -> None:
    lender = Lender()
    lender.lend(prefetch=10.0)
    lender.wait(wait_s)
    assert lender.lend(B, waiting=20.0) == Loan(expected, 0.0)


def test_a_restarted_borrower_does_not_free_the_loan_of_its_earlier_run() -> None:
    lender = Lender()
    lender.lend(prefetch=10.0)
    assert lender.lend(Borrower("a", 2), waiting=20.0) == Loan(10.0, 0.0)


def test_spent_tokens_no_longer_count_once_the_borrower_states_it() -> None:
    lender = Lender()
    lender.lend(prefetch=10.0)
    lender.wait(0.5)
    lender.lend(held=0.0)
    lender.wait(1.0)
    assert lender.lend(B, waiting=20.0) == Loan(20.0, 0.0)


@pytest.mark.parametrize(("returned", "expected"), [(5.0, 15.0), (50.0, 20.0)])
def test_only_tokens_that_were_lent_can_be_returned(
    returned: float, expected: float
) -> None:
    lender = Lender()
    lender.lend(prefetch=10.0)
    lender.lend(returned=returned)
    assert lender.lend(B, waiting=20.0) == Loan(expected, 0.0)


def test_a_late_loan_request_gets_nothing() -> None:
    """Its reply would be ignored and its tokens lost."""
    lender = Lender()
    lender.lend(waiting=1.0)
    lender.sequence -= 1
    assert lender.lend(waiting=1.0) == NO_LOAN


def test_a_new_lender_lends_nothing_at_first() -> None:
    lender = QuotaLender()
    loan_request = LoanRequest("t", 1.0, 1.0, 0.0, 0.0, 0.0)
    now_s = 0.0
    while now_s < QUARANTINE_S + 0.5:
        lender.update_groups({GROUP}, now_s)
        loan = lender.lend(A, int(now_s * 10) + 1, loan_request, SHARE, now_s)
        assert (loan is None) == (now_s < QUARANTINE_S)
        now_s += 0.1


def test_a_lender_that_was_suspended_begins_again() -> None:
    """Another one may lend its part since."""
    lender = Lender()
    lender.now_s += SUSPENSION_S + 0.1
    assert lender.lend(waiting=1.0) is None
    lender.wait(1.0)
    assert lender.lend(waiting=1.0) is None
    lender.wait(QUARANTINE_S)
    assert lender.lend(waiting=20.0) is not None


def test_a_daemon_that_is_not_the_lender_refuses() -> None:
    lender = Lender()
    lender.lender.update_groups(set(), lender.now_s)
    assert lender.lend(waiting=1.0) is None


def test_a_lower_quota_binds_at_once() -> None:
    lender = Lender()
    assert lender.lend(waiting=20.0, share=QuotaShare(1.0, 2.0)) == Loan(2.0, 0.0)


def test_a_large_demand_leaves_a_share_to_others() -> None:
    lender = Lender()
    lender.lend(waiting=20.0, demand=100.0)
    lender.lend(B, waiting=1.0, demand=4.0)
    lender.wait(1.0)
    # 10 tokens were made, of which the other demand needs 4.
    assert lender.lend(waiting=20.0, demand=100.0) == Loan(6.0, 0.0)
    assert lender.lend(B, waiting=4.0, demand=4.0) == Loan(4.0, 0.0)


@pytest.mark.parametrize(
    ("total", "demands", "level"),
    [
        (10.0, [], float("inf")),
        (10.0, [4.0, 6.0], float("inf")),
        (10.0, [4.0, 8.0], 6.0),
        (10.0, [8.0, 8.0], 5.0),
        (9.0, [1.0, 9.0, 9.0], 4.0),
        (0.0, [1.0], 0.0),
    ],
)
def test_division_is_max_min_fair(
    total: float, demands: list[float], level: float
) -> None:
    assert divide_fairly(total, demands) == level

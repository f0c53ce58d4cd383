"""The tokens of one tenant at an entry: its part of the reserve, and what it was lent.

Faults: a process that is suspended while it holds loans, a reply that arrives late or
never, and a lender that is lost. Loans expire by a clock that goes on during a
suspension, counted from the time at which the loan request was sent. A reply counts
only if it belongs to the latest loan request to its lender. Without loans the reserve
remains.

Why the sum holds: the bucket begins empty, the reserve fills at this daemon's part of
its rate, and the tokens kept from a lender never exceed what this lender counts as
outstanding.
"""

from dataclasses import dataclass

from ..membership.peers import PeerAddress
from .quota_lender import LOAN_S, Loan
from .quota_shares import QuotaShare

NO_SHARE = QuotaShare(0.0, 0.0)

IMMEDIATE_LIFETIME_S = 0.3
"""Time after a loan request within which tokens for waiting requests may be spent. The
lender counts them as spent, so they must not be spent after a suspension."""

_ONE_TOKEN = 1.0 - 1e-9


@dataclass(slots=True)
class _HeldLoan:
    """Tokens from one lender.

    ``counted`` is the number of tokens that the lender counts as outstanding at least.
    ``sent_s`` is the time of the latest loan request, ``expires_s`` the end of the
    loan.
    """

    tokens: float = 0.0
    counted: float = 0.0
    sent_s: float = float("-inf")
    expires_s: float = float("-inf")


class QuotaBucket:
    """Tokens of one tenant that this daemon may spend; one token is one request.

    Times are in seconds on a clock that goes on while the process is suspended.
    """

    def __init__(self, now_s: float) -> None:
        self._reserve_share = NO_SHARE
        self._reserve = 0.0
        self._refilled_s = now_s
        self._held: dict[PeerAddress, _HeldLoan] = {}

    def set_reserve(self, share: QuotaShare, now_s: float) -> None:
        """Set this daemon's part of the reserve, in force from now on."""
        self._refill(now_s)
        self._reserve_share = share
        self._reserve = min(self._reserve, share.burst)

    def count(self, now_s: float) -> float:
        """Return the tokens that may be spent now."""
        self._refill(now_s)
        self._drop_expired(now_s)
        return self._reserve + sum(held.tokens for held in self._held.values())

    def count_held(self, lender: PeerAddress, now_s: float) -> float:
        """Return the tokens that are held from one lender."""
        self._drop_expired(now_s)
        held = self._held.get(lender)
        return 0.0 if held is None else held.tokens

    def get_loan_age_s(self, lender: PeerAddress, now_s: float) -> float | None:
        """Return the age of the last loan since its request, None without one."""
        held = self._held.get(lender)
        if held is None or held.expires_s == float("-inf"):
            return None
        return now_s - (held.expires_s - LOAN_S)

    def try_spend(self, now_s: float) -> bool:
        """Spend a token, the first to expire; return whether there was one."""
        if self.count(now_s) < _ONE_TOKEN:
            return False
        left = 1.0
        for held in sorted(self._held.values(), key=lambda held: held.expires_s):
            part = min(left, held.tokens)
            held.tokens -= part
            left -= part
        self._reserve = max(0.0, self._reserve - left)
        return True

    def give_back(self, now_s: float) -> None:
        """Return the token of a request that did not run, if it still counts."""
        self._refill(now_s)
        self._drop_expired(now_s)
        for held in self._held.values():
            if held.tokens + 1.0 <= held.counted:
                held.tokens += 1.0
                return
        self._reserve = min(self._reserve + 1.0, self._reserve_share.burst)

    def begin_loan_request(
        self, lender: PeerAddress, returned: float, now_s: float
    ) -> float:
        """Remove ``returned`` tokens; return how many are still held from the lender.

        No reply to an earlier loan request to this lender counts any longer.
        """
        self._drop_expired(now_s)
        held = self._held.setdefault(lender, _HeldLoan())
        held.tokens = max(0.0, held.tokens - returned)
        held.counted = held.tokens
        held.sent_s = now_s
        return held.tokens

    def add_loan(
        self, lender: PeerAddress, loan: Loan, sent_s: float, now_s: float
    ) -> bool:
        """Add the tokens of a reply; return whether it counts.

        Call ``drop_uncounted`` once the waiting requests have spent theirs.
        """
        held = self._held.get(lender)
        if held is None or held.sent_s != sent_s or now_s >= sent_s + LOAN_S:
            return False
        self._drop_expired(now_s)
        on_time = now_s < sent_s + IMMEDIATE_LIFETIME_S
        held.tokens += loan.kept + (loan.immediate if on_time else 0.0)
        held.counted += loan.kept
        held.expires_s = sent_s + LOAN_S
        return True

    def drop_uncounted(self) -> None:
        """Drop the tokens that were lent for waiting requests and were not spent."""
        for held in self._held.values():
            held.tokens = min(held.tokens, held.counted)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = max(self._refilled_s, now_s)
        self._reserve = min(
            self._reserve + elapsed_s * self._reserve_share.rate_per_s,
            self._reserve_share.burst,
        )

    def _drop_expired(self, now_s: float) -> None:
        for held in self._held.values():
            if now_s >= held.expires_s:
                held.tokens = 0.0
                held.counted = 0.0

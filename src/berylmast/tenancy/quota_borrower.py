"""Decides what an entry borrows for one tenant, from which lender and when.

Load patterns: a tenant that goes from idle to many times its usual rate within 100 ms;
a small tenant whose requests come to any of many daemons, so that no daemon may keep
tokens for it; a tenant far over its quota, which must not cost an exchange for each
request. If a request finds no token, a loan request is sent at once and covers all
requests that wait. Tokens are prefetched only at rates at which several requests are
due before the next loan request. A lender that lent less than was requested gets no
loan request for ``SHORTAGE_PAUSE_S`` or longer; the rest is requested from the other
one.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ..membership.peers import PeerAddress
from .quota_bucket import QuotaBucket
from .quota_lender import Loan, LoanRequest

DEMAND_TIME_CONSTANT_S = 0.3
"""Time constant of the estimate of the rate at which requests arrive."""

PREFETCH_S = 0.3
"""Tokens are prefetched for the requests expected within this time, less one."""

SHORTAGE_PAUSE_S = 0.1
MAX_SHORTAGE_PAUSE_S = 0.3
"""The pause after a loan that was too small doubles up to this while a lender has no
token for this daemon at all."""

FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 1.0

HEDGE_DELAY_S = 0.08
"""A lender that has not replied for this time may be dead; the loan request is then
sent to the other one."""

PENDING_LIMIT_S = 1.0
"""A loan request without a result for this time counts as lost."""

_MAX_COUNTED_FAILURES = 10
_ROUNDING = 1e-6


class DemandMeter:
    """The rate of a tenant's requests, an exponentially weighted average."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_s = float("-inf")

    def record(self, now_s: float) -> None:
        """Count a request."""
        self._rate_per_s = self.get_rate_per_s(now_s) + 1 / DEMAND_TIME_CONSTANT_S
        self._updated_s = now_s

    def get_rate_per_s(self, now_s: float) -> float:
        """Return the present rate."""
        if not self._rate_per_s:
            return 0.0
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._rate_per_s * math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)


@dataclass(slots=True)
class _LenderState:
    """When a lender may get loan requests, and whether a reply is due.

    Tokens for waiting requests may be requested from ``waiting_from_s`` on, tokens to
    prefetch from ``prefetch_from_s`` on. ``failures`` counts the failed loan requests
    since the last one that succeeded. ``pause_s`` is the pause after a reply with too
    few tokens.
    """

    waiting_from_s: float = float("-inf")
    prefetch_from_s: float = float("-inf")
    pending: bool = False
    requested_s: float = float("-inf")
    failures: int = 0
    pause_s: float = SHORTAGE_PAUSE_S

    def is_pending(self, now_s: float) -> bool:
        """Return whether a reply is due."""
        return self.pending and now_s < self.requested_s + PENDING_LIMIT_S


@dataclass(frozen=True, slots=True)
class SentLoanRequest:
    """A loan request that was sent to a lender at ``sent_s``."""

    lender: PeerAddress
    content: LoanRequest
    sent_s: float


class QuotaBorrower:
    """The state of one tenant with a quota at this entry.

    ``lenders`` are in the order in which they are preferred. ``waiting`` is the number
    of requests that wait for a token. Times are in seconds on a clock that goes on
    while the process is suspended.
    """

    def __init__(self, tenant: str, now_s: float) -> None:
        self.tenant = tenant
        self.bucket = QuotaBucket(now_s)
        self.lenders: Sequence[PeerAddress] = ()
        self.waiting = 0
        self._demand = DemandMeter()
        self._states: dict[PeerAddress, _LenderState] = {}

    def set_lenders(self, lenders: Sequence[PeerAddress]) -> None:
        """Set the lenders, the preferred one first."""
        self.lenders = lenders
        # The state of a loan request that is still pending is kept until its end.
        self._states = {
            lender: state
            for lender, state in self._states.items()
            if lender in lenders or state.pending
        }

    def is_pending(self, now_s: float) -> bool:
        """Return whether the reply of a lender is due."""
        return any(state.is_pending(now_s) for state in self._states.values())

    def record_request(self, now_s: float) -> None:
        """Count a request, whether it gets a token or not."""
        self._demand.record(now_s)

    def get_demand_per_s(self, now_s: float) -> float:
        """Return the rate at which requests arrive here."""
        return self._demand.get_rate_per_s(now_s)

    def get_loan_ages_s(self, now_s: float) -> dict[PeerAddress, float | None]:
        """Return the age of the last loan of each lender, None without one."""
        return {
            lender: self.bucket.get_loan_age_s(lender, now_s) for lender in self.lenders
        }

    def is_short(self, now_s: float) -> bool:
        """Return whether a request that has no token now would wait in vain.

        This is so if no reply is due and no lender may get a loan request yet.
        """
        return all(
            not state.is_pending(now_s) and now_s < state.waiting_from_s
            for state in map(self._get_state, self.lenders)
        )

    def choose_lender(self, now_s: float) -> PeerAddress | None:
        """Return the lender to send a loan request to now, None if there is none."""
        wants_now = self._get_waiting_need(now_s) > _ROUNDING
        wants_prefetch = self._get_prefetch_need(now_s) > self._get_target(now_s) / 2
        by_failures = sorted(
            self.lenders, key=lambda x: self._get_state(x).failures > 0
        )
        for lender in by_failures:
            state = self._get_state(lender)
            if state.is_pending(now_s):
                if not state.failures and now_s < state.requested_s + HEDGE_DELAY_S:
                    # Its reply may be enough.
                    return None
                continue
            if wants_now and now_s >= state.waiting_from_s:
                return lender
            if wants_prefetch and now_s >= state.prefetch_from_s:
                return lender
        return self._find_excess(now_s)

    def reserve_loan_request(self, lender: PeerAddress, now_s: float) -> None:
        """Mark a lender's reply as due; its loan request is sent when possible."""
        state = self._get_state(lender)
        state.pending = True
        state.requested_s = now_s

    def make_loan_request(self, lender: PeerAddress, now_s: float) -> SentLoanRequest:
        """Return a loan request to send at ``now_s``, with the current needs."""
        returned = self._get_excess(lender, now_s)
        waiting = self._get_waiting_need(now_s)
        prefetch = self._get_prefetch_need(now_s)
        held = self.bucket.begin_loan_request(lender, returned, now_s)
        demand = self._demand.get_rate_per_s(now_s)
        content = LoanRequest(self.tenant, demand, waiting, prefetch, held, returned)
        return SentLoanRequest(lender, content, now_s)

    def record_reply(
        self, loan_request: SentLoanRequest, loan: Loan, now_s: float
    ) -> None:
        """Add the tokens of a reply; ignore those of a reply that came too late."""
        state = self._get_state(loan_request.lender)
        state.pending = False
        state.failures = 0
        if not self.bucket.add_loan(
            loan_request.lender, loan, loan_request.sent_s, now_s
        ):
            return
        is_short = loan.immediate < loan_request.content.waiting - _ROUNDING
        state.pause_s = min(state.pause_s * 2, MAX_SHORTAGE_PAUSE_S)
        if loan.immediate or loan.kept:
            state.pause_s = SHORTAGE_PAUSE_S
        if is_short:
            state.waiting_from_s = now_s + state.pause_s
        if is_short or loan.kept < loan_request.content.prefetch - _ROUNDING:
            state.prefetch_from_s = now_s + state.pause_s

    def record_failure(self, lender: PeerAddress, now_s: float) -> None:
        """Record that a lender sent no reply or does not lend, and pause its use."""
        state = self._get_state(lender)
        state.pending = False
        pause_s = min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2**state.failures)
        state.failures = min(state.failures + 1, _MAX_COUNTED_FAILURES)
        state.waiting_from_s = state.prefetch_from_s = now_s + pause_s

    def _get_state(self, lender: PeerAddress) -> _LenderState:
        return self._states.setdefault(lender, _LenderState())

    def _get_waiting_need(self, now_s: float) -> float:
        return max(0.0, self.waiting - self.bucket.count(now_s))

    def _get_target(self, now_s: float) -> float:
        """Return the number of tokens to hold for the next requests."""
        return max(0.0, self._demand.get_rate_per_s(now_s) * PREFETCH_S - 1.0)

    def _get_prefetch_need(self, now_s: float) -> float:
        spare = max(0.0, self.bucket.count(now_s) - self.waiting)
        return max(0.0, self._get_target(now_s) - spare)

    def _find_excess(self, now_s: float) -> PeerAddress | None:
        for lender in self.lenders:
            state = self._get_state(lender)
            has_excess = self._get_excess(lender, now_s) > 0
            if (
                has_excess
                and not state.is_pending(now_s)
                and now_s >= state.prefetch_from_s
            ):
                return lender
        return None

    def _get_excess(self, lender: PeerAddress, now_s: float) -> float:
        """Return the tokens to give back to a lender after the demand has fallen."""
        excess = self.bucket.count_held(lender, now_s) - self._get_target(now_s)
        return excess if excess > max(1.0, self._get_target(now_s)) else 0.0

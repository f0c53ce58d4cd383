"""Lends tokens of the tenants' quotas to other daemons.

Load pattern: a tenant's requests arrive at a few of many daemons and move to others
within milliseconds. The lender keeps one token bucket for each tenant, with its own
part of the rate and burst, and lends tokens on request. Tokens that are not requested
stay available to all, so a daemon that gets a tenant's first request is
served at once, and nothing has to be called back when the load moves.

A loan has two parts. Tokens for requests that wait at the borrower are spent when the
reply arrives, or else dropped. Tokens that the borrower keeps for the next requests
expire ``LOAN_S`` after it sent its loan request. The lender counts them until
``LOAN_S`` and a margin after it received the loan request, or until the borrower states
in its next one what it still holds. A loan request is received after it was sent, so
the lender never forgets a token that can still be spent.

Why the sum holds: the tokens kept by borrowers and those in the bucket together never
exceed this lender's part of the burst, and new ones are made at its part of the rate.

Faults: a lender that restarts has forgotten its loans, and one that was suspended may
have been replaced by another one. Both lend nothing for ``QUARANTINE_S``. By then all
earlier loans have expired, and the daemons agree on the lenders.
"""

import math
from collections.abc import Collection, Container
from dataclasses import dataclass, field

from .quota_shares import QuotaShare, get_group

LOAN_S = 1.5
"""Time for which a borrower may keep tokens, by its own clock and counted from its loan
request."""

LOAN_MARGIN_S = 0.25
"""Time for which the lender counts a loan beyond that: the clocks of machines run at
slightly different rates."""

QUARANTINE_S = 3.0
"""Time from becoming the lender until the first loan. New records reach all daemons in
touch within two rounds of comparisons, and the loans of another lender expire."""

SUSPENSION_S = 2.5
"""A lender that did not run for this time may have missed that it was replaced. Another
one does not lend within ``QUARANTINE_S``, and stalls of a busy machine are shorter."""

KEPT_FRACTION = 0.5
"""Largest part of the burst that all borrowers together keep. The bucket needs room for
the tokens that are made until their next loan requests."""

FAIR_SPAN_S = 0.5
"""Longest time for which a borrower's fair rate accumulates while the quota is
short."""

_ROUNDING = 1e-9


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A borrower's request for tokens of one tenant.

    ``demand_per_s`` is the rate of requests that arrive at the borrower. All other
    numbers are tokens: ``waiting`` for requests that wait now, ``prefetch`` for the
    next ones. The borrower still holds ``held`` from this lender after it gave back
    ``returned``.
    """

    tenant: str
    demand_per_s: float
    waiting: float
    prefetch: float
    held: float
    returned: float


@dataclass(frozen=True, slots=True)
class Loan:
    """Tokens lent to a borrower.

    ``immediate`` must be spent on arrival; ``kept`` may be kept until the loan expires.
    """

    immediate: float
    kept: float


NO_LOAN = Loan(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class Borrower:
    """One run of a daemon that borrows. A restarted daemon does not hold its loans."""

    daemon: str
    incarnation: int


@dataclass(slots=True)
class _OutstandingLoan:
    """The tokens that one borrower may still hold, and its last loan request."""

    tokens: float
    expires_s: float
    demand_per_s: float
    requested_s: float
    sequence: int


@dataclass(slots=True)
class _Account:
    tokens: float
    refilled_s: float
    loans: dict[Borrower, _OutstandingLoan] = field(default_factory=dict)


class QuotaLender:
    """Keeps a token bucket for each tenant of the groups that this daemon lends to.

    Outstanding loans are counted per borrower until they expire.
    Times are in seconds on a clock that goes on while the process is suspended.
    """

    def __init__(self) -> None:
        self._since: dict[int, float] = {}
        self._accounts: dict[str, _Account] = {}
        self._updated_s = float("-inf")

    def update_groups(self, groups: Collection[int], now_s: float) -> None:
        """Set the groups that this daemon lends to; call it at least every 0.5 s."""
        if now_s - self._updated_s > SUSPENSION_S:
            self._since.clear()
        self._updated_s = now_s
        self._since = {group: self._since.get(group, now_s) for group in groups}
        self._accounts = {
            tenant: account
            for tenant, account in self._accounts.items()
            if get_group(tenant) in self._since
            and account.refilled_s >= self._since[get_group(tenant)]
        }

    def forget_tenants(self, kept: Container[str]) -> None:
        """Forget the tenants that no longer have a quota."""
        self._accounts = {
            tenant: account
            for tenant, account in self._accounts.items()
            if tenant in kept
        }

    def is_lending(self, group: int, now_s: float) -> bool:
        """Return whether this daemon lends to the tenants of a group."""
        since_s = self._since.get(group)
        suspended = now_s - self._updated_s > SUSPENSION_S
        return since_s is not None and now_s >= since_s + QUARANTINE_S and not suspended

    def lend(
        self,
        borrower: Borrower,
        sequence: int,
        loan_request: LoanRequest,
        share: QuotaShare,
        now_s: float,
    ) -> Loan | None:
        """Lend tokens of a tenant; return None if this daemon does not lend.

        ``share`` is this lender's part of the tenant's quota now. A loan request with a
        lower ``sequence`` than an earlier one of the borrower is late; its reply would
        be ignored, so nothing is lent.
        """
        if not self.is_lending(get_group(loan_request.tenant), now_s):
            return None
        account = self._get_account(loan_request.tenant)
        _refill(account, share, now_s)
        before = account.loans.get(borrower)
        if before is not None and sequence <= before.sequence:
            return NO_LOAN
        held = max(0.0, loan_request.held)
        counted = 0.0 if before is None else before.tokens
        account.tokens += min(max(0.0, loan_request.returned), max(0.0, counted - held))
        current = _OutstandingLoan(
            held,
            now_s + LOAN_S + LOAN_MARGIN_S,
            max(0.0, loan_request.demand_per_s),
            now_s,
            sequence,
        )
        account.loans[borrower] = current
        requested_s = now_s - FAIR_SPAN_S if before is None else before.requested_s
        limit = _get_entitlement(account, current, share, now_s - requested_s)
        return _take(account, current, loan_request, share, limit)

    def count_kept(self, tenant: str, now_s: float) -> float:
        """Return the tokens of a tenant that borrowers may hold."""
        account = self._accounts.get(tenant)
        if account is None:
            return 0.0
        return sum(
            loan.tokens for loan in account.loans.values() if loan.expires_s > now_s
        )

    def _get_account(self, tenant: str) -> _Account:
        account = self._accounts.get(tenant)
        if account is None:
            # Nothing was lent since the end of the quarantine, so the bucket is filled
            # from then on.
            start_s = self._since[get_group(tenant)] + QUARANTINE_S
            account = self._accounts[tenant] = _Account(0.0, start_s)
        return account


def divide_fairly(total: float, demands: Collection[float]) -> float:
    """Return the rate up to which each demand is met, so that all fit into ``total``.

    This is the max-min fair division: no demand below the returned rate is cut.
    Infinite if all demands fit.
    """
    left, count = total, len(demands)
    for demand in sorted(demands):
        if demand * count > left:
            return left / count
        left -= demand
        count -= 1
    return float("inf")


def _refill(account: _Account, share: QuotaShare, now_s: float) -> None:
    """Add the tokens made since the last call, as far as the bucket has room."""
    account.loans = {
        borrower: loan
        for borrower, loan in account.loans.items()
        if loan.expires_s > now_s
    }
    elapsed_s = max(0.0, now_s - account.refilled_s)
    account.refilled_s = max(account.refilled_s, now_s)
    account.tokens += elapsed_s * share.rate_per_s
    _clamp(account, share)


def _clamp(account: _Account, share: QuotaShare) -> None:
    room = share.burst - sum(loan.tokens for loan in account.loans.values())
    account.tokens = max(0.0, min(account.tokens, room))


def _get_entitlement(
    account: _Account, current: _OutstandingLoan, share: QuotaShare, elapsed_s: float
) -> float:
    """Return the most tokens that a borrower gets now, given the others' demands."""
    demands = [loan.demand_per_s for loan in account.loans.values()]
    fair_per_s = divide_fairly(share.rate_per_s, demands)
    if current.demand_per_s <= fair_per_s:
        return float("inf")
    saved = account.tokens * fair_per_s / share.rate_per_s
    return max(1.0, saved, fair_per_s * min(elapsed_s, FAIR_SPAN_S))


def _take(
    account: _Account,
    current: _OutstandingLoan,
    loan_request: LoanRequest,
    share: QuotaShare,
    limit: float,
) -> Loan:
    _clamp(account, share)
    available = min(account.tokens, limit)
    immediate = _cut_to_whole_requests(max(0.0, loan_request.waiting), available)
    kept_by_all = sum(loan.tokens for loan in account.loans.values())
    room = max(0.0, share.burst * KEPT_FRACTION - kept_by_all)
    kept = min(max(0.0, loan_request.prefetch), available - immediate, room)
    account.tokens -= immediate + kept
    current.tokens += kept
    return Loan(immediate, kept)


def _cut_to_whole_requests(waiting: float, available: float) -> float:
    """Return the part of the waiting requests' tokens that lets some of them run.

    A fraction of a token would be dropped by the borrower.
    """
    cut = math.ceil(max(0.0, waiting - available - _ROUNDING))
    return min(max(0.0, waiting - cut), available)

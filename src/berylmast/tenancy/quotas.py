"""Charges callers' requests to their tenants' quotas, and lends to other daemons.

Joins the decisions of ``quota_borrower``, ``quota_lender`` and ``quota_assignment``
with the links to the lenders and with the requests that wait for a token.
"""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial

import anyio

from ..daemons import Exchange, Identity
from ..daemons.frames import Borrow, End, Lend
from ..errors import ErrorKind, Refusal
from ..membership.peers import PeerAddress, get_address
from ..model import DaemonLocation, Endpoint
from ..routes import Configuration
from ..settings import QuotaSettings
from .quota_assignment import CLAIM_INTERVAL_S, LenderAssignment
from .quota_borrower import HEDGE_DELAY_S, QuotaBorrower, SentLoanRequest
from .quota_bucket import NO_SHARE
from .quota_lender import (
    QUARANTINE_S,
    Borrower,
    Loan,
    LoanRequest,
    QuotaLender,
)
from .quota_links import LenderLinks, LoanRequestHandlers, OpenPeerExchange
from .quota_metrics import QuotaCounts, QuotaRefusalReason, describe_refusal
from .quota_shares import QuotaTerms, get_group, make_terms

MAX_WAIT_S = 0.15
"""Longest time for which a request waits for a token."""

MAX_WAITING = 1_000
"""Requests of one tenant that wait for a token; more are refused at once."""

TICK_INTERVAL_S = 0.1
"""Interval at which tokens are prefetched and the groups to lend to are checked."""

ACTIVE_RETENTION_S = 3.0
"""Time after a tenant's last request for which its tokens are prefetched and
reported."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class QuotaFleet:
    """This daemon and how it reaches the others.

    ``is_announced`` returns whether the records name a backend server beside it.
    """

    own: DaemonLocation
    identity: Identity
    is_announced: Callable[[], bool]
    get_peers: Callable[[], Sequence[Endpoint]]
    open_exchange: OpenPeerExchange


@dataclass(eq=False, slots=True)
class _Waiter:
    """A request that waits for a token."""

    event: anyio.Event
    granted: bool = False


@dataclass(slots=True)
class _TenantState:
    """A tenant with a quota; ``terms`` are those of the active configuration."""

    borrower: QuotaBorrower
    terms: QuotaTerms
    waiters: deque[_Waiter] = field(default_factory=deque)
    last_request_s: float = float("-inf")


class Quotas:
    """The quotas of all tenants at one daemon, as entry and as lender.

    ``get_bound`` returns the settings of the quotas, None if they are off.
    ``clock`` returns seconds; it goes on while the process is suspended.
    """

    def __init__(
        self,
        fleet: QuotaFleet,
        get_bound: Callable[[], QuotaSettings | None],
        get_configuration: Callable[[], Configuration | None],
        clock: Callable[[], float],
    ) -> None:
        self.counts = QuotaCounts()
        self._fleet = fleet
        self._get_bound = get_bound
        self._get_configuration = get_configuration
        self._clock = clock
        self._started_s = clock()
        self._assignment = LenderAssignment(fleet.own)
        self._lender = QuotaLender()
        self._lending: set[int] = set()
        self._tenants: dict[str, _TenantState] = {}
        self._adopted_inputs: tuple[object, ...] = ()
        self._links = LenderLinks(
            fleet.identity,
            fleet.open_exchange,
            LoanRequestHandlers(self._make_loan_requests, self._settle, self._fail),
            self.counts,
        )
        self._active: dict[str, None] = {}
        self._claimed_s = float("-inf")

    def has_quota(self, tenant: str) -> bool:
        """Return whether a tenant's requests are limited here."""
        if not tenant or self._get_bound() is None:
            return False
        self._refresh()
        return tenant in self._tenants

    async def charge(self, tenant: str) -> Refusal | None:
        """Take a token for one request; return why it is refused, None if it is not.

        Waits at most ``MAX_WAIT_S`` for lenders.
        """
        self._refresh()
        state = self._tenants.get(tenant)
        if state is None:
            return None
        now_s = self._clock()
        state.last_request_s = now_s
        self._active[tenant] = None
        state.borrower.record_request(now_s)
        if not state.waiters and state.borrower.bucket.try_spend(now_s):
            self.counts.charged += 1
            return None
        timed_out = False
        if len(state.waiters) < MAX_WAITING and not state.borrower.is_short(now_s):
            waiter = _Waiter(anyio.Event())
            timed_out = await self._wait_for_token(state, waiter)
            if waiter.granted:
                self.counts.charged += 1
                return None
        return self._refuse(state, timed_out=timed_out)

    def give_back(self, tenant: str) -> None:
        """Return the token of a request that did not run."""
        state = self._tenants.get(tenant)
        if state is not None:
            state.borrower.bucket.give_back(self._clock())
            self.counts.given_back += 1

    async def run(self) -> None:
        """Prefetch tokens and keep up the claims as a lender until cancelled."""
        await self._links.run(self._tick, TICK_INTERVAL_S)

    async def serve(self, exchange: Exchange, frame: Borrow) -> None:
        """Serve the exchange that another daemon opened with a ``Borrow`` frame."""
        self._refresh()
        self._update_groups()
        self.counts.exchanges_served += 1
        borrower = Borrower(frame.daemon, frame.incarnation)
        loans = []
        for encoded in frame.requests:
            loan = self._lend(borrower, frame.sequence, LoanRequest(*encoded))
            if loan is not None:
                loans.append((encoded[0], loan.immediate, loan.kept))
        disputed = self._assignment.find_disputed(frame.claims)
        await exchange.send(Lend(exchange.id, tuple(loans), disputed))
        await exchange.send(End(exchange.id))

    def report(self) -> dict[str, object] | None:
        """Return the state of each tenant that has had requests lately.

        None if no tenant has a quota.
        """
        if not self._tenants:
            return None
        now_s = self._clock()
        return {
            "lending": sorted(self._lending),
            "tenants": {
                name: self._report_tenant(self._tenants[name], now_s)
                for name in self._active
                if name in self._tenants
            },
        }

    def _report_tenant(self, state: _TenantState, now_s: float) -> dict[str, object]:
        borrower = state.borrower
        return {
            "rate_per_s": state.terms.rate_per_s,
            "demand_per_s": round(borrower.get_demand_per_s(now_s), 3),
            "tokens": round(borrower.bucket.count(now_s), 3),
            "waiting": len(state.waiters),
            "lenders": {
                f"{lender[0]}:{lender[1]}": {
                    "held": round(borrower.bucket.count_held(lender, now_s), 3),
                    "loan_age_s": age_s,
                }
                for lender, age_s in borrower.get_loan_ages_s(now_s).items()
            },
            "lent_from_here": round(self._lender.count_kept(borrower.tenant, now_s), 3),
        }

    def _refresh(self) -> None:
        """Adopt the present configuration, settings and daemons."""
        bound, cfg = self._get_bound(), self._get_configuration()
        peers = self._fleet.get_peers()
        now_s = self._clock()
        settled = now_s >= self._started_s + QUARANTINE_S
        is_announced = self._fleet.is_announced()
        inputs = (bound, cfg, peers, settled, is_announced)
        if len(inputs) == len(self._adopted_inputs) and all(
            new is old for new, old in zip(inputs, self._adopted_inputs, strict=True)
        ):
            return
        self._adopted_inputs = inputs
        self._links.endpoints = {get_address(peer): peer for peer in peers}
        others = [
            DaemonLocation(p.host, p.port, p.region, p.failure_domain) for p in peers
        ]
        self._assignment.set_daemons(others, now_s, is_announced=is_announced)
        tenants = {} if cfg is None or bound is None else cfg.tenants
        states: dict[str, _TenantState] = {}
        for name, tenant in tenants.items():
            if tenant.rate_per_s is None or bound is None:
                continue
            terms = make_terms(tenant.rate_per_s, tenant.burst, bound)
            state = self._tenants.get(name)
            if state is None:
                state = _TenantState(QuotaBorrower(name, now_s), terms)
            state.terms = terms
            lenders = self._assignment.order_for_borrowing(get_group(name))
            state.borrower.set_lenders(lenders)
            # Until the daemon is settled, the number of daemons may not be known.
            reserve = terms.get_reserve_share(len(peers) + 1) if settled else NO_SHARE
            state.borrower.bucket.set_reserve(reserve, now_s)
            states[name] = state
        for name in self._tenants.keys() - states.keys():
            self._admit_all(self._tenants[name])
        self._tenants = states
        self._lender.forget_tenants(states)

    def _admit_all(self, state: _TenantState) -> None:
        """Admit the waiting requests of a tenant that no longer has a quota."""
        for waiter in state.waiters:
            waiter.granted = True
            waiter.event.set()
        state.waiters.clear()

    def _tick(self) -> None:
        now_s = self._clock()
        self._refresh()
        if not self._tenants:
            return
        self._update_groups()
        if now_s >= self._claimed_s + CLAIM_INTERVAL_S:
            self._claimed_s = now_s
            for address, groups in self._assignment.list_open_claims(now_s).items():
                self._links.start(partial(self._claim, address, tuple(groups)))
        for name in list(self._active):
            state = self._tenants.get(name)
            if state is None or now_s > state.last_request_s + ACTIVE_RETENTION_S:
                del self._active[name]
            else:
                self._request_loans(state)

    def _update_groups(self) -> None:
        now_s = self._clock()
        groups = self._assignment.list_groups(now_s)
        self._lender.update_groups(groups, now_s)
        lending = {group for group in groups if self._lender.is_lending(group, now_s)}
        for group in sorted(lending ^ self._lending):
            self.counts.log_lending(group, lending=group in lending)
        self._lending = lending

    async def _wait_for_token(self, state: _TenantState, waiter: _Waiter) -> bool:
        """Wait until a token arrives or none is expected.

        Returns whether a lender's reply was still due at the end.
        """
        state.waiters.append(waiter)
        state.borrower.waiting = len(state.waiters)
        finished = False
        try:
            with anyio.move_on_after(MAX_WAIT_S):
                while not waiter.event.is_set() and self._request_loans(state):
                    with anyio.move_on_after(HEDGE_DELAY_S):
                        await waiter.event.wait()
            finished = True
        finally:
            if waiter in state.waiters:
                state.waiters.remove(waiter)
            state.borrower.waiting = len(state.waiters)
            if waiter.granted and not finished:
                state.borrower.bucket.give_back(self._clock())
        return not waiter.event.is_set() and state.borrower.is_pending(self._clock())

    def _refuse(self, state: _TenantState, *, timed_out: bool) -> Refusal:
        borrower, rate_per_s = state.borrower, state.terms.rate_per_s
        ages = borrower.get_loan_ages_s(self._clock())
        reason = QuotaRefusalReason.SHORT
        if timed_out:
            reason = QuotaRefusalReason.TIMEOUT
        elif all(age is None for age in ages.values()):
            reason = QuotaRefusalReason.NO_LENDER
        demand_per_s = borrower.get_demand_per_s(self._clock())
        detail = describe_refusal(
            borrower.tenant, rate_per_s, reason, demand_per_s, ages
        )
        self.counts.record_refusal(borrower.tenant, reason, detail)
        retry_after_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, 1 / rate_per_s))
        return Refusal(ErrorKind.TENANT_LIMIT, detail, retry_after_s)

    def _request_loans(self, state: _TenantState) -> bool:
        """Send the loan requests that are due; return whether a reply is expected."""
        borrower = state.borrower
        for _ in borrower.lenders:
            now_s = self._clock()
            lender = borrower.choose_lender(now_s)
            if lender is None:
                break
            borrower.reserve_loan_request(lender, now_s)
            if lender == self._fleet.own.address:
                self._borrow_locally(state)
            else:
                self._links.request_soon(lender, borrower.tenant)
        return borrower.is_pending(self._clock())

    def _borrow_locally(self, state: _TenantState) -> None:
        own = self._fleet.own.address
        identity = self._fleet.identity
        sequence = self._links.take_sequence(own)
        now_s = self._clock()
        loan_request = state.borrower.make_loan_request(own, now_s)
        borrower = Borrower(identity.daemon, identity.incarnation)
        loan = self._lend(borrower, sequence, loan_request.content)
        if loan is None:
            state.borrower.record_failure(own, now_s)
        else:
            state.borrower.record_reply(loan_request, loan, now_s)
        self._serve_waiters(state)

    def _make_loan_requests(
        self, lender: PeerAddress, names: Iterable[str]
    ) -> dict[str, SentLoanRequest]:
        now_s = self._clock()
        return {
            name: self._tenants[name].borrower.make_loan_request(lender, now_s)
            for name in names
            if name in self._tenants
        }

    def _settle(
        self, loan_requests: dict[str, SentLoanRequest], loans: dict[str, Loan]
    ) -> None:
        """Record a reply, and serve the requests that wait for its tokens."""
        now_s = self._clock()
        for name, loan_request in loan_requests.items():
            state = self._tenants.get(name)
            if state is None:
                continue
            loan = loans.get(name)
            if loan is None:
                state.borrower.record_failure(loan_request.lender, now_s)
            else:
                state.borrower.record_reply(loan_request, loan, now_s)
            self._serve_waiters(state)
            self._request_loans(state)
            self._refuse_waiters_if_short(state)

    def _fail(self, lender: PeerAddress, names: Iterable[str]) -> None:
        """Record that loan requests can't be sent to a lender; use the other one."""
        for name in names:
            state = self._tenants.get(name)
            if state is not None:
                state.borrower.record_failure(lender, self._clock())
                self._request_loans(state)
                self._refuse_waiters_if_short(state)

    def _serve_waiters(self, state: _TenantState) -> None:
        now_s, bucket = self._clock(), state.borrower.bucket
        while state.waiters and bucket.try_spend(now_s):
            waiter = state.waiters.popleft()
            waiter.granted = True
            waiter.event.set()
        state.borrower.waiting = len(state.waiters)
        bucket.drop_uncounted()

    def _refuse_waiters_if_short(self, state: _TenantState) -> None:
        """Wake the waiting requests without a token if no reply is expected."""
        if state.borrower.is_pending(self._clock()):
            return
        for waiter in state.waiters:
            waiter.event.set()
        state.waiters.clear()
        state.borrower.waiting = 0

    def _lend(
        self, borrower: Borrower, sequence: int, loan_request: LoanRequest
    ) -> Loan | None:
        state = self._tenants.get(loan_request.tenant)
        if state is None:
            return None
        lenders = max(1, len(self._assignment.lenders[get_group(loan_request.tenant)]))
        share = state.terms.get_lender_share(lenders)
        return self._lender.lend(borrower, sequence, loan_request, share, self._clock())

    async def _claim(self, address: PeerAddress, groups: tuple[int, ...]) -> None:
        disputed = await self._links.claim(address, groups)
        if disputed is not None:
            self._assignment.record_confirmation(address, groups, disputed)

"""Charges callers' requests to their tenants' quotas, and lends to other daemons."""

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import astuple, dataclass, field
from functools import partial

import anyio
from anyio.abc import TaskGroup

from ..daemons import ConnectionLost, Exchange, ExchangeLost, Identity
from ..daemons.frames import Borrow, End, Lend
from ..errors import ErrorKind, Refusal
from ..membership.peers import PeerAddress, get_address
from ..model import DaemonLocation, Endpoint
from ..routes import Configuration
from ..settings import QuotaSettings
from ..supervision import run_logged
from .quota_borrower import HEDGE_S, Question, QuotaBorrower
from .quota_bucket import NO_SHARE
from .quota_duties import CLAIM_INTERVAL_S, QuotaDuties
from .quota_lender import (
    QUARANTINE_S,
    Ask,
    Borrower,
    Loan,
    QuotaLender,
)
from .quota_metrics import QuotaCounts, QuotaRefusalReason
from .quota_shares import QuotaTerms, get_group, make_terms

MAX_WAIT_S = 0.15
"""Longest time for which a request waits for a token."""

MAX_WAITING = 1_000
"""Requests of one tenant that wait for a token; more are refused at once."""

TICK_S = 0.1
REPLY_TIMEOUT_S = 0.3

ACTIVE_S = 3.0
"""Time after a tenant's last request for which its tokens are looked after."""

MAX_ASKS = 500
"""Tenants in one question; the others follow in the next one."""

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
    open_exchange: Callable[[Endpoint], AbstractAsyncContextManager[Exchange]]


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


@dataclass(slots=True)
class _Link:
    """The questions to one lender; one exchange at a time carries all tenants."""

    due: dict[str, None] = field(default_factory=dict)
    running: bool = False
    sequence: int = 0


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
        self._duties = QuotaDuties(fleet.own)
        self._lender = QuotaLender()
        self._lending: set[int] = set()
        self._tenants: dict[str, _TenantState] = {}
        self._endpoints: dict[PeerAddress, Endpoint] = {}
        self._basis: tuple[object, ...] = ()
        self._links: dict[PeerAddress, _Link] = {}
        self._active: dict[str, None] = {}
        self._claimed_s = float("-inf")
        self._tg: TaskGroup | None = None

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
        """Borrow ahead, claim and renew duties until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tg = tg
            try:
                while True:
                    self._tick()
                    await anyio.sleep(TICK_S)
            finally:
                self._tg = None

    async def serve(self, exchange: Exchange, frame: Borrow) -> None:
        """Serve the exchange that another daemon opened with a ``Borrow`` frame."""
        self._refresh()
        self._update_groups()
        self.counts.served += 1
        borrower = Borrower(frame.daemon, frame.incarnation)
        loans = []
        for ask in frame.asks:
            loan = self._lend(borrower, frame.sequence, Ask(*ask))
            if loan is not None:
                loans.append((ask[0], loan.immediate, loan.kept))
        disputed = self._duties.find_disputed(frame.claims)
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
                    "loan_age_s": borrower.bucket.get_loan_age_s(lender, now_s),
                }
                for lender in borrower.lenders
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
        basis = (bound, cfg, peers, settled, is_announced)
        if len(basis) == len(self._basis) and all(
            new is old for new, old in zip(basis, self._basis, strict=True)
        ):
            return
        self._basis = basis
        self._endpoints = {get_address(peer): peer for peer in peers}
        others = [
            DaemonLocation(p.host, p.port, p.region, p.failure_domain) for p in peers
        ]
        self._duties.set_daemons(others, now_s, is_announced=is_announced)
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
            lenders = self._duties.order_for_borrowing(get_group(name))
            state.borrower.set_lenders(lenders)
            # Before that the number of daemons may not be known.
            reserve = terms.get_reserve_share(len(peers) + 1) if settled else NO_SHARE
            state.borrower.bucket.set_reserve(reserve, now_s)
            states[name] = state
        for name in self._tenants.keys() - states.keys():
            self._admit_all(self._tenants[name])
        self._tenants = states

    def _admit_all(self, state: _TenantState) -> None:
        """Let the waiting requests of a tenant run that has no quota any longer."""
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
            for address, groups in self._duties.list_open_claims(now_s).items():
                self._start(partial(self._claim, address, tuple(groups)))
        for name in list(self._active):
            state = self._tenants.get(name)
            if state is None or now_s > state.last_request_s + ACTIVE_S:
                del self._active[name]
            else:
                self._ask_lenders(state)

    def _update_groups(self) -> None:
        now_s = self._clock()
        groups = self._duties.list_groups(now_s)
        self._lender.update_groups(groups, now_s)
        lending = {group for group in groups if self._lender.is_lending(group, now_s)}
        for group in sorted(lending ^ self._lending):
            self.counts.log_lending(group, lending=group in lending)
        self._lending = lending

    async def _wait_for_token(self, state: _TenantState, waiter: _Waiter) -> bool:
        """Wait until a token arrives or none is to be expected.

        Returns whether a lender's reply was still due at the end.
        """
        state.waiters.append(waiter)
        state.borrower.waiting = len(state.waiters)
        finished = False
        try:
            with anyio.move_on_after(MAX_WAIT_S):
                while not waiter.event.is_set() and self._ask_lenders(state):
                    with anyio.move_on_after(HEDGE_S):
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
        now_s = self._clock()
        borrower, rate_per_s = state.borrower, state.terms.rate_per_s
        ages = {
            lender: borrower.bucket.get_loan_age_s(lender, now_s)
            for lender in borrower.lenders
        }
        reason = QuotaRefusalReason.SHORT
        if timed_out:
            reason = QuotaRefusalReason.TIMEOUT
        elif all(age is None for age in ages.values()):
            reason = QuotaRefusalReason.NO_LENDER
        loans = ", ".join(
            f"{host}:{port} {'never' if age is None else f'{age:.2f} s ago'}"
            for (host, port), age in ages.items()
        )
        detail = (
            f"tenant {borrower.tenant} is over its quota of {rate_per_s:g}/s ({reason};"
            f" {borrower.get_demand_per_s(now_s):.1f}/s arrive here; last loans: "
            f"{loans or 'none'})"
        )
        self.counts.record_refusal(borrower.tenant, reason, detail)
        retry_after_s = min(
            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, 1 / max(rate_per_s, 1e-9))
        )
        return Refusal(ErrorKind.TENANT_LIMIT, detail, retry_after_s)

    def _ask_lenders(self, state: _TenantState) -> bool:
        """Send the questions that are due; return whether a reply is to be expected."""
        borrower = state.borrower
        for _ in borrower.lenders:
            now_s = self._clock()
            lender = borrower.choose_lender(now_s)
            if lender is None:
                break
            borrower.reserve_question(lender, now_s)
            if lender == self._fleet.own.address:
                self._ask_own_lender(state)
            else:
                self._send_later(lender, borrower.tenant)
        return borrower.is_pending(self._clock())

    def _ask_own_lender(self, state: _TenantState) -> None:
        own = self._fleet.own.address
        identity = self._fleet.identity
        link = self._links.setdefault(own, _Link())
        link.sequence += 1
        now_s = self._clock()
        question = state.borrower.make_question(own, now_s)
        borrower = Borrower(identity.daemon, identity.incarnation)
        loan = self._lend(borrower, link.sequence, question.ask)
        if loan is None:
            state.borrower.record_failure(own, now_s)
        else:
            state.borrower.record_reply(question, loan, now_s)
        self._serve_waiters(state)

    def _send_later(self, lender: PeerAddress, tenant: str) -> None:
        link = self._links.setdefault(lender, _Link())
        link.due[tenant] = None
        if not link.running:
            link.running = True
            if not self._start(partial(self._send_questions, lender, link)):
                link.running = False
                self._fail(lender, link)

    async def _send_questions(self, lender: PeerAddress, link: _Link) -> None:
        """Ask a lender until no question to it is due."""
        try:
            while link.due:
                names = [name for name in link.due if name in self._tenants][:MAX_ASKS]
                link.due = {n: None for n in link.due if n not in names}
                if not names:
                    link.due.clear()
                    return
                now_s = self._clock()
                questions = {
                    name: self._tenants[name].borrower.make_question(lender, now_s)
                    for name in names
                }
                link.sequence += 1
                loans = await self._exchange(lender, link.sequence, questions)
                if loans is None:
                    # The others would wait for the same lender.
                    self._fail(lender, link)
                self._settle(questions, loans or {})
        finally:
            link.running = False

    async def _exchange(
        self, lender: PeerAddress, sequence: int, questions: dict[str, Question]
    ) -> dict[str, Loan] | None:
        """Return the loans in a lender's reply, None if it does not reply."""
        asks = tuple(astuple(question.ask) for question in questions.values())
        reply = await self._ask_peer(lender, sequence, asks, ())
        if reply is None:
            return None
        return {tenant: Loan(now, kept) for tenant, now, kept in reply.loans}

    async def _ask_peer(
        self,
        address: PeerAddress,
        sequence: int,
        asks: tuple[tuple[str, float, float, float, float, float], ...],
        claims: tuple[int, ...],
    ) -> Lend | None:
        endpoint, identity = self._endpoints.get(address), self._fleet.identity
        if endpoint is None:
            return None
        self.counts.questions += 1
        with anyio.move_on_after(REPLY_TIMEOUT_S):
            try:
                async with self._fleet.open_exchange(endpoint) as exchange:
                    await exchange.send(
                        Borrow(
                            exchange.id,
                            identity.daemon,
                            identity.incarnation,
                            sequence,
                            asks,
                            claims,
                        )
                    )
                    frame = await exchange.receive()
                    if isinstance(frame, Lend):
                        return frame
            except (ConnectionLost, ExchangeLost):
                return None
        return None

    def _settle(self, questions: dict[str, Question], loans: dict[str, Loan]) -> None:
        """Hand out the tokens of a reply."""
        now_s = self._clock()
        for name, question in questions.items():
            state = self._tenants.get(name)
            if state is None:
                continue
            loan = loans.get(name)
            if loan is None:
                state.borrower.record_failure(question.lender, now_s)
            else:
                state.borrower.record_reply(question, loan, now_s)
            self._serve_waiters(state)
            self._ask_lenders(state)
            self._refuse_waiters_if_short(state)

    def _fail(self, lender: PeerAddress, link: _Link) -> None:
        """End the questions that are due to a lender that can't be reached."""
        names = list(link.due)
        link.due.clear()
        for name in names:
            state = self._tenants.get(name)
            if state is not None:
                state.borrower.record_failure(lender, self._clock())
                self._ask_lenders(state)
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
        """Let the waiting requests be refused if no reply is to be expected."""
        if state.borrower.is_pending(self._clock()):
            return
        for waiter in state.waiters:
            waiter.event.set()
        state.waiters.clear()
        state.borrower.waiting = 0

    def _lend(self, borrower: Borrower, sequence: int, ask: Ask) -> Loan | None:
        state = self._tenants.get(ask.tenant)
        if state is None:
            return None
        lenders = max(1, len(self._duties.lenders[get_group(ask.tenant)]))
        share = state.terms.get_lender_share(lenders)
        return self._lender.lend(borrower, sequence, ask, share, self._clock())

    async def _claim(self, address: PeerAddress, groups: tuple[int, ...]) -> None:
        link = self._links.setdefault(address, _Link())
        link.sequence += 1
        reply = await self._ask_peer(address, link.sequence, (), groups)
        if reply is not None:
            self._duties.record_confirmation(address, groups, reply.disputed)

    def _start(self, run: Callable[[], Awaitable[None]]) -> bool:
        if self._tg is None:
            return False
        self._tg.start_soon(run_logged, "quotas", run)
        return True

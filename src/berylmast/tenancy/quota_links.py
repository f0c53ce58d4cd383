"""Sends loan requests to lenders.

Load pattern: dozens of tenants whose tokens run out at the same time. One exchange at a
time to each lender carries the loan requests of all tenants that it lends to. Those
that become due meanwhile follow in the next exchange.
"""

from collections.abc import Awaitable, Callable, Iterable
from contextlib import AbstractAsyncContextManager
from dataclasses import astuple, dataclass, field

import anyio
from anyio.abc import TaskGroup

from ..daemons import ConnectionLost, Exchange, ExchangeLost, Identity
from ..daemons.frames import Borrow, Lend, TokenRequest
from ..membership.peers import PeerAddress
from ..model import Endpoint
from ..supervision import run_logged
from .quota_borrower import SentLoanRequest
from .quota_lender import Loan
from .quota_metrics import QuotaCounts

REPLY_TIMEOUT_S = 0.3

MAX_TENANTS_PER_EXCHANGE = 500
"""Loan requests in one exchange; the others follow in the next one."""

OpenPeerExchange = Callable[[Endpoint], AbstractAsyncContextManager[Exchange]]


@dataclass(frozen=True, slots=True)
class LoanRequestHandlers:
    """Callbacks that make loan requests and take their results.

    ``make`` is called just before sending and returns the loan requests to a lender by
    tenant, for those of the given tenants that still have a quota. ``settle`` takes
    them and the loans of the reply by tenant; a tenant without a loan is missing there.
    ``fail`` takes a lender and the tenants whose loan requests can't be sent.
    """

    make: Callable[[PeerAddress, Iterable[str]], dict[str, SentLoanRequest]]
    settle: Callable[[dict[str, SentLoanRequest], dict[str, Loan]], None]
    fail: Callable[[PeerAddress, Iterable[str]], None]


@dataclass(slots=True)
class _Link:
    """The exchanges with one lender.

    ``due`` are the tenants of the next exchange, in the order of their requests.
    ``running`` is set while a task sends. ``sequence`` numbers the exchanges.
    """

    due: dict[str, None] = field(default_factory=dict)
    running: bool = False
    sequence: int = 0


class LenderLinks:
    """The links from this daemon to the lenders.

    ``endpoints`` are the records of the other daemons by their addresses.
    """

    def __init__(
        self,
        identity: Identity,
        open_exchange: OpenPeerExchange,
        handlers: LoanRequestHandlers,
        counts: QuotaCounts,
    ) -> None:
        self.endpoints: dict[PeerAddress, Endpoint] = {}
        self._identity = identity
        self._open_exchange = open_exchange
        self._handlers = handlers
        self._counts = counts
        self._links: dict[PeerAddress, _Link] = {}
        self._tg: TaskGroup | None = None

    async def run(self, tick: Callable[[], None], interval_s: float) -> None:
        """Send what is due, and call ``tick`` at intervals, until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tg = tg
            try:
                while True:
                    tick()
                    await anyio.sleep(interval_s)
            finally:
                # Nothing can be sent in a task group that has ended.
                self._tg = None

    def start(self, run: Callable[[], Awaitable[None]]) -> bool:
        """Run a task in the background; return False if that is not possible."""
        if self._tg is None:
            return False
        self._tg.start_soon(run_logged, "quotas", run)
        return True

    def take_sequence(self, lender: PeerAddress) -> int:
        """Return the number of the next exchange with a lender."""
        link = self._links.setdefault(lender, _Link())
        link.sequence += 1
        return link.sequence

    def request_soon(self, lender: PeerAddress, tenant: str) -> None:
        """Send a lender a loan request for a tenant as soon as its link is free."""
        link = self._links.setdefault(lender, _Link())
        link.due[tenant] = None
        if link.running:
            return
        link.running = True
        if not self.start(lambda: self._send_due(lender, link)):
            link.running = False
            self._fail_due(lender, link)

    async def claim(
        self, address: PeerAddress, groups: tuple[int, ...]
    ) -> tuple[int, ...] | None:
        """Return the claimed groups that a daemon disputes, None without a reply."""
        reply = await self._exchange(address, (), groups)
        return None if reply is None else reply.disputed

    async def _send_due(self, lender: PeerAddress, link: _Link) -> None:
        """Send loan requests to a lender until none is due."""
        try:
            while link.due:
                names = list(link.due)[:MAX_TENANTS_PER_EXCHANGE]
                for name in names:
                    del link.due[name]
                loan_requests = self._handlers.make(lender, names)
                if loan_requests:
                    await self._request(lender, link, loan_requests)
        finally:
            link.running = False

    async def _request(
        self,
        lender: PeerAddress,
        link: _Link,
        loan_requests: dict[str, SentLoanRequest],
    ) -> None:
        encoded = tuple(
            astuple(loan_request.content) for loan_request in loan_requests.values()
        )
        reply = await self._exchange(lender, encoded, ())
        loans: dict[str, Loan] = {}
        if reply is None:
            # The others would wait for the same lender.
            self._fail_due(lender, link)
        else:
            loans = {tenant: Loan(now, kept) for tenant, now, kept in reply.loans}
        self._handlers.settle(loan_requests, loans)

    def _fail_due(self, lender: PeerAddress, link: _Link) -> None:
        names = list(link.due)
        link.due.clear()
        self._handlers.fail(lender, names)

    async def _exchange(
        self,
        address: PeerAddress,
        requests: tuple[TokenRequest, ...],
        claims: tuple[int, ...],
    ) -> Lend | None:
        """Return a daemon's reply, None if there is none in time."""
        endpoint, identity = self.endpoints.get(address), self._identity
        if endpoint is None:
            return None
        self._counts.exchanges_opened += 1
        sequence = self.take_sequence(address)
        with anyio.move_on_after(REPLY_TIMEOUT_S):
            try:
                async with self._open_exchange(endpoint) as exchange:
                    await exchange.send(
                        Borrow(
                            exchange.id,
                            identity.daemon,
                            identity.incarnation,
                            sequence,
                            requests,
                            claims,
                        )
                    )
                    frame = await exchange.receive()
                    if isinstance(frame, Lend):
                        return frame
            except (ConnectionLost, ExchangeLost):
                return None
        return None

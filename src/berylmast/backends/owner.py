"""Runs the requests that entries send to the local backend server."""

import anyio

from ..daemons import Exchange
from ..daemons.frames import (
    Fail,
    Load,
    OpeningFrame,
    Probe,
    Query,
    Refuse,
    Request,
)
from ..errors import ErrorKind
from ..limits import AdmissionController
from ..model import AttemptResult, RequestHead
from .client import BackendClient
from .dispatch import dispatch_request
from .ledger import AttemptLedger


class Owner:
    """The only sender of work to the local backend server."""

    def __init__(
        self,
        admission: AdmissionController,
        ledger: AttemptLedger,
        client: BackendClient,
    ) -> None:
        self._admission = admission
        self._ledger = ledger
        self._client = client

    async def accept(self, exchange: Exchange, frame: OpeningFrame) -> None:
        """Serve one exchange that an entry opened."""
        match frame:
            case Request():
                await self._serve_request(exchange, frame.head)
            case Probe():
                await exchange.send(Load(exchange.id, self._admission.report()))
            case Query():
                self._ledger.query(frame.attempt)

    async def _serve_request(self, exchange: Exchange, head: RequestHead) -> None:
        if not self._ledger.begin(head.attempt):
            await self._refuse(
                exchange, ErrorKind.ATTEMPT_REVOKED, "attempt id already used"
            )
            return
        permit = await self._admission.acquire(head)
        if permit.is_err():
            refusal = permit.unwrap_err()
            self._ledger.finish(head.attempt)
            await self._refuse(exchange, refusal.kind, refusal.detail)
            return
        started_s = anyio.current_time()
        ok = False
        try:
            with anyio.move_on_after(head.deadline_ms / 1000) as scope:
                ok = await dispatch_request(
                    exchange, head, self._client, self._admission.report
                )
            if scope.cancelled_caught:
                await self._fail(
                    exchange, ErrorKind.DEADLINE_UNKNOWN, "deadline passed"
                )
        finally:
            latency_s = anyio.current_time() - started_s
            permit.unwrap().release(AttemptResult(ok, False, latency_s))
            self._ledger.finish(head.attempt)

    async def _refuse(self, exchange: Exchange, kind: ErrorKind, detail: str) -> None:
        report = self._admission.report()
        await exchange.send(Refuse(exchange.id, kind, detail, report))

    async def _fail(self, exchange: Exchange, kind: ErrorKind, detail: str) -> None:
        report = self._admission.report()
        await exchange.send(Fail(exchange.id, kind, detail, report))

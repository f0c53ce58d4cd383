"""Runs the requests that entries send to the local backend server."""

import anyio
from result import Result

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
from ..errors import ErrorKind, Refusal
from ..limits import AdmissionController, Permit
from ..model import AttemptResult, RequestHead
from .client import BackendClient
from .dispatch import DispatchEnd, dispatch_request
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
        arrived_s = anyio.current_time()
        admitted = await self._admit(exchange, head)
        if admitted is None:
            self._ledger.finish(head.attempt)
            return
        if admitted.is_err():
            refusal = admitted.unwrap_err()
            self._ledger.finish(head.attempt)
            await self._refuse(exchange, refusal.kind, refusal.detail)
            return
        await self._run(
            exchange, head, admitted.unwrap(), arrived_s + head.deadline_ms / 1000
        )

    async def _admit(
        self, exchange: Exchange, head: RequestHead
    ) -> Result[Permit, Refusal] | None:
        """Wait for admission; None if the entry gave up meanwhile."""
        admitted: Result[Permit, Refusal] | None = None

        async def stop_when_abandoned() -> None:
            await exchange.abandoned.wait()
            tg.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(stop_when_abandoned)
                admitted = await self._admission.acquire(head)
                tg.cancel_scope.cancel()
        except anyio.get_cancelled_exc_class():
            # Cancelled from outside after the grant: nobody else holds the permit.
            if admitted is not None and admitted.is_ok():
                admitted.unwrap().release(None)
            raise
        return admitted

    async def _run(
        self, exchange: Exchange, head: RequestHead, permit: Permit, deadline_s: float
    ) -> None:
        started_s = anyio.current_time()
        end = DispatchEnd()
        try:
            with anyio.move_on_after(deadline_s - started_s) as scope:
                await dispatch_request(
                    exchange, head, self._client, self._admission.report, end
                )
            if scope.cancelled_caught:
                await self._fail(
                    exchange, ErrorKind.DEADLINE_UNKNOWN, "deadline passed"
                )
        finally:
            latency_s = anyio.current_time() - started_s
            permit.release(
                AttemptResult(
                    end.ok, False, latency_s, end.answer_s, cut_short=not end.done
                )
            )
            self._ledger.finish(head.attempt)

    async def _refuse(self, exchange: Exchange, kind: ErrorKind, detail: str) -> None:
        report = self._admission.report()
        await exchange.send(Refuse(exchange.id, kind, detail, report))

    async def _fail(self, exchange: Exchange, kind: ErrorKind, detail: str) -> None:
        report = self._admission.report()
        await exchange.send(Fail(exchange.id, kind, detail, report))

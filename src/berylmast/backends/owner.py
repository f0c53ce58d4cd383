"""Runs the requests that entries send for the local backend server."""

import logging
import math
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import anyio
from anyio.abc import TaskGroup, TaskStatus
from result import Result

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import (
    Fail,
    KeyBegin,
    KeyFinish,
    KeyState,
    Load,
    OpeningFrame,
    Outcome,
    Probe,
    Query,
    Refuse,
    Request,
    Reset,
)
from ..errors import ErrorKind, Refusal
from ..http_client import HttpClient
from ..limits import Admission, Permit
from ..model import (
    AttemptResult,
    AttemptState,
    BackendLoad,
    BackendNotice,
    LoadReport,
    RequestHead,
)
from ..telemetry import log_event
from .attempt_log import AttemptCounts, AttemptLog, AttemptTiming
from .dispatch import DispatchResult, dispatch_request
from .idempotency_keys import IdempotencyKeyLedger
from .interface import OWN_INTERFACE, BackendInterface
from .ledger import AttemptLedger, AttemptRecord
from .recording_exchange import RecordingExchange

_CANCELLED_BY_ENTRY = AttemptRecord(
    AttemptState.FAILED, ErrorKind.CANCELLED, "cancelled by the entry"
)
_CANCELLED_BEFORE_DISPATCH = AttemptRecord(
    AttemptState.REFUSED,
    ErrorKind.ATTEMPT_REVOKED,
    "cancelled by the entry before dispatch",
)


class Owner:
    """Runs callers' requests on the local backend server; only the owner sends them.

    While ``run`` is active, non-idempotent requests keep running after their connection
    is lost, so that a query over a new connection can return their response.
    ``get_backend`` returns the id of the current backend server. ``on_load`` is called
    with the load stated in a response, ``on_notice`` with the id of the backend server
    that was asked and what its response states about it. ``on_known_rate_limit`` is
    called with the rate limit that the entry of a request knows.
    """

    def __init__(
        self,
        admission: Admission,
        ledger: AttemptLedger,
        client: HttpClient,
        keys: IdempotencyKeyLedger | None = None,
        interface: BackendInterface = OWN_INTERFACE,
        get_backend: Callable[[], str] = lambda: "",
        on_load: Callable[[BackendLoad], None] = lambda _load: None,
        on_notice: Callable[[str, BackendNotice], None] = lambda _backend, _notice: (
            None
        ),
        on_known_rate_limit: Callable[[float], None] = lambda _rate_limit: None,
    ) -> None:
        self._admission = admission
        self._ledger = ledger
        self._client = client
        self._keys = keys or IdempotencyKeyLedger()
        self._interface = interface
        self._get_backend = get_backend
        self._on_load = on_load
        self._on_notice = on_notice
        self._on_known_rate_limit = on_known_rate_limit
        self._log = AttemptLog(admission.report, get_backend)
        self._tg: TaskGroup | None = None

    @property
    def counts(self) -> AttemptCounts:
        """Return the counts of ended attempts by result."""
        return self._log.counts

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the requests that may outlive their connection, until cancelled."""
        async with anyio.create_task_group() as tg:
            self._tg = tg
            try:
                task_status.started()
                await anyio.sleep_forever()
            finally:
                self._tg = None

    async def accept(self, exchange: Exchange, frame: OpeningFrame) -> None:
        """Serve one exchange that an entry opened."""
        try:
            await self._serve(exchange, frame)
        except ExchangeLost:
            pass

    async def _serve(self, exchange: Exchange, frame: OpeningFrame) -> None:
        match frame:
            case Request():
                await self._handle_request(exchange, frame.head)
            case Probe():
                await exchange.send(Load(exchange.id, self._admission.report()))
            case Query():
                await self._respond_to_query(exchange, frame)
            case KeyBegin():
                status, response = self._keys.begin(frame)
                reply = KeyState(exchange.id, status)
                if response is not None:
                    reply = replace(
                        reply,
                        answer_status=response.status,
                        headers=response.headers,
                        body=response.body,
                    )
                await exchange.send(reply)
            case KeyFinish():
                self._keys.finish(frame)
                await exchange.send(KeyState(exchange.id, frame.status))

    async def _respond_to_query(self, exchange: Exchange, frame: Query) -> None:
        attempt_record = self._ledger.query_or_revoke(frame.attempt)
        if attempt_record.state is AttemptState.RUNNING:
            await exchange.send(Outcome(exchange.id, attempt_record.state))
            attempt_record = await self._ledger.wait_until_ended(frame.attempt)
        reply = Outcome(
            exchange.id,
            attempt_record.state,
            attempt_record.kind,
            attempt_record.detail,
        )
        if attempt_record.response is not None:
            reply = replace(
                reply,
                answer_status=attempt_record.response.status,
                headers=attempt_record.response.headers,
                body=attempt_record.response.body,
            )
        await exchange.send(reply)

    async def _handle_request(self, exchange: Exchange, head: RequestHead) -> None:
        if self._tg is None or head.idempotent:
            await self._serve_request(exchange, head)
            return
        done = anyio.Event()

        async def serve() -> None:
            try:
                await self._serve_request(exchange, head)
            except ExchangeLost:
                pass
            except Exception as exc:
                # The task group of all requests must not end with one of them.
                _log_fault(head, exc)
                await _send_if_connected(
                    exchange, Reset(exchange.id, ErrorKind.INTERNAL)
                )
            finally:
                done.set()

        self._tg.start_soon(serve)
        await done.wait()

    async def _serve_request(self, exchange: Exchange, head: RequestHead) -> None:
        if not self._ledger.begin(head.attempt):
            await self._reject_duplicate(exchange, head)
            return
        if head.known_rate_limit is not None:
            self._on_known_rate_limit(head.known_rate_limit)
        recorder = RecordingExchange(exchange, head)
        dispatched = False

        def mark_dispatched() -> None:
            nonlocal dispatched
            dispatched = True

        try:
            await self._admit_and_dispatch(recorder, exchange, head, mark_dispatched)
        except ExchangeLost:
            raise
        except Exception as exc:
            _log_fault(head, exc)
            await self._reply_to_fault(recorder, dispatched=dispatched)
        finally:
            attempt_record = recorder.attempt_record or (
                _CANCELLED_BY_ENTRY if dispatched else _CANCELLED_BEFORE_DISPATCH
            )
            self._ledger.finish(head.attempt, attempt_record)

    async def _reply_to_fault(
        self, recorder: RecordingExchange, *, dispatched: bool
    ) -> None:
        """Reply to a request that an unexpected error ended, unless it has a reply."""
        if recorder.attempt_record is not None:
            return
        detail = "internal error at the owner"
        if dispatched:
            await self._fail(recorder, ErrorKind.INTERNAL, detail)
            return
        kind = ErrorKind.BACKEND_UNREACHABLE
        await recorder.send(Refuse(recorder.id, kind, detail, self._report()))

    async def _reject_duplicate(self, exchange: Exchange, head: RequestHead) -> None:
        """Reject a used attempt id.

        The reply is ``Refuse``, which states that the attempt did not run, only if the
        earlier use was refused. Otherwise it is ``Fail`` with an unknown outcome.
        """
        state = self._ledger.look_up(head.attempt).state
        detail = "attempt id already used"
        report = self._admission.report()
        if state is AttemptState.REFUSED:
            await exchange.send(
                Refuse(exchange.id, ErrorKind.ATTEMPT_REVOKED, detail, report)
            )
        else:
            await exchange.send(
                Fail(exchange.id, ErrorKind.DUPLICATE_UNKNOWN, detail, report)
            )

    async def _admit_and_dispatch(
        self,
        recorder: RecordingExchange,
        exchange: Exchange,
        head: RequestHead,
        mark_dispatched: Callable[[], None],
    ) -> None:
        arrived_s = anyio.current_time()
        admitted = await self._wait_admission(exchange, head)
        if admitted is None:
            return
        if admitted.is_err():
            refusal = admitted.unwrap_err()
            self._log.log_refused(head, refusal, anyio.current_time() - arrived_s)
            await recorder.send(
                Refuse(
                    exchange.id,
                    refusal.kind,
                    refusal.detail,
                    self._report(),
                    math.ceil(refusal.retry_delay_s * 1000),
                )
            )
            return
        started_s = anyio.current_time()
        in_flight = self._admission.in_flight
        remaining_ms = head.deadline_ms - int((started_s - arrived_s) * 1000)
        result = DispatchResult()
        attempt_result: AttemptResult | None = None
        try:
            if exchange.lost or exchange.was_reset:
                return
            if remaining_ms <= 0:
                detail = "deadline passed in the queue"
                await recorder.send(
                    Refuse(
                        exchange.id,
                        ErrorKind.DEADLINE_NOT_RUN,
                        detail,
                        self._report(),
                    )
                )
                return
            backend = self._get_backend()
            backend_head = self._interface.make_head(head, remaining_ms, backend)
            on_notice = partial(self._on_notice, backend)
            mark_dispatched()
            try:
                await self._dispatch(recorder, backend_head, result, on_notice)
            finally:
                attempt_result = AttemptResult(
                    ok=result.ok,
                    refused=result.refused,
                    latency_s=anyio.current_time() - started_s,
                    time_to_response_s=result.time_to_response_s,
                    cut_short=not result.completed,
                )
        finally:
            timing = AttemptTiming(
                waited_s=started_s - arrived_s,
                ran_s=anyio.current_time() - started_s,
                in_flight=in_flight,
            )
            try:
                self._log.log_ended(
                    head, recorder.attempt_record or _CANCELLED_BY_ENTRY, result, timing
                )
                if result.load is not None:
                    self._on_load(result.load)
            finally:
                admitted.unwrap().release(attempt_result)

    async def _wait_admission(
        self, exchange: Exchange, head: RequestHead
    ) -> Result[Permit, Refusal] | None:
        """Wait for admission; return None if the entry cancelled the request."""
        with exchange.cancel_on_reset():
            return await self._admission.acquire(head)
        return None

    async def _dispatch(
        self,
        recorder: RecordingExchange,
        head: RequestHead,
        result: DispatchResult,
        on_notice: Callable[[BackendNotice], None],
    ) -> None:
        fault: BaseException | None = None
        scope = anyio.move_on_after(head.deadline_ms / 1000)
        try:
            with scope:
                await dispatch_request(
                    recorder,
                    head,
                    self._client,
                    self._report,
                    result,
                    self._interface,
                    on_notice,
                )
        except* ExchangeLost:
            # No reply can be sent. The attempt is recorded as cancelled.
            pass
        except* Exception as group:
            # An error in one request must not end the other exchanges of its
            # connection.
            fault = group
        if recorder.attempt_record is not None:
            return
        if fault is not None:
            log_event("dispatch_fault", attempt=str(head.attempt), error=repr(fault))
            await self._fail(
                recorder, ErrorKind.INTERNAL, "internal error at the owner"
            )
        elif scope.cancelled_caught:
            await self._fail(recorder, ErrorKind.DEADLINE_UNKNOWN, "deadline passed")

    def _report(self) -> LoadReport:
        return self._admission.report()

    async def _fail(self, exchange: Exchange, kind: ErrorKind, detail: str) -> None:
        await exchange.send(Fail(exchange.id, kind, detail, self._report()))


def _log_fault(head: RequestHead, exc: Exception) -> None:
    log_event(
        "request_fault",
        level=logging.ERROR,
        request=head.request_id,
        attempt=str(head.attempt),
        error=repr(exc),
    )


async def _send_if_connected(exchange: Exchange, frame: Reset) -> None:
    try:
        await exchange.send(frame)
    except ExchangeLost:
        pass

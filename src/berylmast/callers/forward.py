"""The attempts of one request: choose, send, retry where that is safe."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, replace

import anyio
from result import Err, Ok, Result

from ..daemons import ConnectionLost, Exchange, ExchangeLost
from ..daemons.frames import Body, Continue, End, Fail, Refuse, Request, Reset, Response
from ..errors import ErrorKind, Refusal
from ..limits import EntryShedder, RetryBudget
from ..model import AttemptId, AttemptResult, Endpoint
from ..routing import Router
from .answer import CallerAnswer
from .body import CallerBody
from .classify import Classified

MAX_ATTEMPTS = 3

OpenExchange = Callable[[Endpoint], AbstractAsyncContextManager[Exchange]]


@dataclass(frozen=True, slots=True)
class Forwarder:
    """What the attempts of every request need."""

    router: Router
    retries: RetryBudget
    shedder: EntryShedder
    open_exchange: OpenExchange
    next_attempt: Callable[[], AttemptId]


@dataclass(slots=True)
class Trace:
    """What happened to one request, for its log line."""

    backend: str = ""
    attempts: int = 0


async def forward_request(
    forwarder: Forwarder,
    req: Classified,
    body: CallerBody,
    answer: CallerAnswer,
    trace: Trace,
) -> Result[None, Refusal]:
    """Run attempts until one answers; an error before the answer's head is returned."""
    tried: set[str] = set()
    deadline_s = anyio.current_time() + req.head.deadline_ms / 1000
    service, priority = req.service.service, req.head.priority
    forwarder.retries.record_first_try(
        service, priority, req.service.budgets.retry_ratio
    )
    last: Result[None, Refusal] | None = None
    while trace.attempts < MAX_ATTEMPTS:
        choice = forwarder.router.choose(
            req.service, exclude=tried, body_bytes=body.length or 0
        )
        if choice.is_err():
            return last or Err(choice.unwrap_err())
        if tried and not forwarder.retries.try_spend(service, priority):
            break
        endpoint = choice.unwrap()
        tried.add(endpoint.backend)
        trace.attempts += 1
        trace.backend = endpoint.backend
        remaining_ms = int((deadline_s - anyio.current_time()) * 1000)
        if remaining_ms <= 0:
            return Err(Refusal(ErrorKind.DEADLINE_NOT_RUN, "deadline passed"))
        head = replace(req.head, deadline_ms=remaining_ms)
        if trace.attempts > 1:
            head = replace(head, attempt=forwarder.next_attempt())
        last = await _run_attempt(
            forwarder, endpoint, replace(req, head=head), body, answer
        )
        if last.is_ok() or answer.started or not _may_retry(req, last.unwrap_err()):
            return last
    return last or Err(Refusal(ErrorKind.NO_BACKEND, "no attempt was possible"))


def _may_retry(req: Classified, refusal: Refusal) -> bool:
    if req.head.retry:
        return False
    return refusal.not_run or req.head.idempotent


async def _run_attempt(
    forwarder: Forwarder,
    endpoint: Endpoint,
    req: Classified,
    body: CallerBody,
    answer: CallerAnswer,
) -> Result[None, Refusal]:
    router = forwarder.router
    started_s = anyio.current_time()
    router.record_start(endpoint.backend)
    result: Result[None, Refusal] = Err(Refusal(ErrorKind.CANCELLED, "cancelled"))
    try:
        async with forwarder.open_exchange(endpoint) as exchange:
            result = await _talk(router, exchange, req, body, answer)
    except ConnectionLost as exc:
        result = Err(Refusal(ErrorKind.PEER_UNREACHABLE, str(exc)))
    except ExchangeLost:
        result = Err(Refusal(ErrorKind.PEER_LOST, "the stream to the owner ended"))
    finally:
        refused = result.is_err() and result.unwrap_err().not_run
        latency_s = anyio.current_time() - started_s
        router.record_result(
            endpoint.backend, AttemptResult(result.is_ok(), refused, latency_s)
        )
    return result


async def _talk(
    router: Router,
    exchange: Exchange,
    req: Classified,
    body: CallerBody,
    answer: CallerAnswer,
) -> Result[None, Refusal]:
    await exchange.send(Request(exchange.id, req.head))
    result: Result[None, Refusal] = Ok(None)
    async with anyio.create_task_group() as tg:
        if req.head.has_body and body.eager:
            tg.start_soon(body.send_to, exchange)
        result = await _receive_answer(router, exchange, req, body, answer, tg)
        tg.cancel_scope.cancel()
    return result


async def _receive_answer(
    router: Router,
    exchange: Exchange,
    req: Classified,
    body: CallerBody,
    answer: CallerAnswer,
    tg: anyio.abc.TaskGroup,
) -> Result[None, Refusal]:
    while True:
        frame = await exchange.receive()
        match frame:
            case Continue():
                if req.head.has_body and not body.eager:
                    tg.start_soon(body.send_to, exchange)
            case Response():
                router.record_load(frame.load)
                await answer.start(frame.status, frame.headers)
            case Body():
                await answer.send_part(frame.data)
            case End():
                await answer.finish()
                return Ok(None)
            case Refuse() | Fail():
                router.record_load(frame.load)
                return Err(Refusal(frame.kind, frame.detail))
            case Reset():
                return Err(Refusal(frame.kind, "the owner gave up the request"))
            case _:
                return Err(Refusal(ErrorKind.INTERNAL, "unexpected frame"))

"""Makes one attempt to run a request through the owner of one backend server."""

from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from ..daemons import ConnectionLost, Exchange, ExchangeLost
from ..daemons.frames import Body, Continue, End, Fail, Refuse, Request, Reset, Response
from ..errors import ErrorKind, Refusal
from ..model import AttemptResult, Endpoint, Headers
from ..routing import Router
from .body import CallerBody
from .classify import Classified
from .context import AnswerSink, Forwarder, Trace
from .outcome import query_outcome, refuse_after_dispatch

OWN_ANSWER_HEADERS = frozenset(
    {b"berylmast-outcome", b"berylmast-error", b"berylmast-replayed"}
)
"""Response headers that only this system sets. They are removed from responses of
backend servers, which may copy them from a nested call."""


async def run_attempt(
    forwarder: Forwarder,
    endpoint: Endpoint,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    trace: Trace,
) -> Result[None, Refusal]:
    """Send a request to one owner and relay the response to the caller.

    If the stream is lost after a non-idempotent request was sent, the owner is queried
    for the outcome. A refusal with outcome not-run guarantees that this attempt did not
    run and never will.
    """
    router = forwarder.router
    started_s = anyio.current_time()
    before = trace.may_have_run
    router.record_start(endpoint.backend, body.length or 0)
    result: Result[None, Refusal] = Err(Refusal(ErrorKind.CANCELLED, "cancelled"))
    try:
        result = await _send_and_settle(forwarder, endpoint, req, body, answer, trace)
        refusal = result.unwrap_err() if result.is_err() else None
        if refusal is not None and refusal.not_run:
            trace.may_have_run = before
        if refusal is None or is_arrival(refusal):
            trace.sent += 1
    finally:
        error = result.unwrap_err() if result.is_err() else None
        latency_s = anyio.current_time() - started_s
        kind = None if error is None else error.kind
        # An expired deadline cancels the attempt just as a disconnect of the caller
        # does, but it counts as an error of the backend server.
        if kind is ErrorKind.CANCELLED and latency_s * 1000 >= req.head.deadline_ms:
            kind = ErrorKind.DEADLINE_UNKNOWN
        router.record_result(
            endpoint.backend,
            AttemptResult(
                ok=error is None,
                refused=error is not None and error.not_run,
                latency_s=latency_s,
                status=answer.status if answer.started else None,
                kind=kind,
                sent_bytes=body.read_bytes,
                answer_bytes=answer.body_bytes,
            ),
        )
    return result


async def _send_and_settle(
    forwarder: Forwarder,
    endpoint: Endpoint,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    trace: Trace,
) -> Result[None, Refusal]:
    try:
        async with forwarder.open_exchange(endpoint) as exchange:
            incarnation = exchange.peer_incarnation
            result = await _talk(forwarder.router, exchange, req, body, answer, trace)
    except ConnectionLost as exc:
        return Err(Refusal(ErrorKind.PEER_UNREACHABLE, str(exc)))
    if result is not None:
        return result
    if answer.started:
        return Err(Refusal(ErrorKind.ANSWER_CUT, "lost the stream to the owner"))
    if req.head.idempotent or incarnation is None:
        return Err(Refusal(ErrorKind.PEER_LOST, "lost the stream to the owner"))
    settled = await query_outcome(
        forwarder.open_exchange, endpoint, req.head.attempt, incarnation, answer
    )
    trace.answered = settled.is_ok()
    return settled


async def _talk(
    router: Router,
    exchange: Exchange,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    trace: Trace,
) -> Result[None, Refusal] | None:
    """Send the request and relay the response.

    Returns None if the stream was lost after the Request frame was sent.
    """
    try:
        await exchange.send(Request(exchange.id, req.head))
    except ExchangeLost:
        return Err(Refusal(ErrorKind.PEER_UNREACHABLE, "lost the stream to the owner"))
    trace.may_have_run = True
    if not req.head.has_body:
        result = await _take_answer(router, exchange, req, body, answer, _send_nothing)
        trace.answered = result is not None and result.is_ok()
        return result
    result = None
    async with anyio.create_task_group() as tg:

        def start_body() -> None:
            tg.start_soon(body.send_to, exchange)

        if body.eager:
            start_body()
        result = await _take_answer(router, exchange, req, body, answer, start_body)
        trace.answered = result is not None and result.is_ok()
        tg.cancel_scope.cancel()
    return result


def is_arrival(refusal: Refusal) -> bool:
    """Tell whether a refused attempt may have reached a backend server."""
    return not refusal.not_run or refusal.kind is ErrorKind.BACKEND_REFUSED


def make_refusal(frame: Refuse) -> Refusal:
    """Return the refusal in an owner's frame, with its Retry-After estimate if any."""
    wait_s = frame.retry_after_ms / 1000 if frame.retry_after_ms else None
    return Refusal(frame.kind, frame.detail, wait_s)


def _send_nothing() -> None:
    """Do nothing: the request has no body."""


async def _take_answer(
    router: Router,
    exchange: Exchange,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    start_body: Callable[[], None],
) -> Result[None, Refusal] | None:
    try:
        return await _receive_answer(router, exchange, req, body, answer, start_body)
    except ExchangeLost:
        return None


async def _receive_answer(
    router: Router,
    exchange: Exchange,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    start_body: Callable[[], None],
) -> Result[None, Refusal]:
    while True:
        frame = await exchange.receive()
        match frame:
            case Continue():
                if req.head.has_body and not body.eager:
                    start_body()
            case Response():
                router.record_load(frame.load)
                await answer.start(frame.status, drop_own_headers(frame.headers))
            case Body():
                await answer.send_part(frame.data)
            case End():
                if frame.load is not None:
                    router.record_load(frame.load)
                await answer.finish()
                return Ok(None)
            case Refuse():
                router.record_load(frame.load)
                return Err(make_refusal(frame))
            case Fail():
                router.record_load(frame.load)
                return Err(refuse_after_dispatch(frame.kind, frame.detail))
            case Reset():
                return Err(
                    refuse_after_dispatch(frame.kind, "the owner reset the exchange")
                )
            case _:
                return Err(
                    Refusal(ErrorKind.INTERNAL, "unexpected frame from the owner")
                )


def drop_own_headers(headers: Headers) -> Headers:
    """Return a backend server's headers without those reserved for this system."""
    return [(k, v) for k, v in headers if k.lower() not in OWN_ANSWER_HEADERS]

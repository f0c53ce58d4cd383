"""Makes one attempt to run a request through the owner of one backend server."""

from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from ..daemons import ConnectionLost, Exchange, ExchangeLost
from ..daemons.frames import Body, Continue, End, Fail, Refuse, Request, Reset, Response
from ..errors import ErrorKind, Refusal
from ..model import AttemptResult, Endpoint, Headers, LoadReport
from ..routing import Router
from .classify import ClassifiedRequest
from .context import ForwardingContext, RequestProgress, ResponseSink
from .outcome_query import make_refusal_after_dispatch, query_outcome
from .request_body import RequestBody
from .withdrawal import WaitingAttempt

_WITHDRAWN = Refusal(
    ErrorKind.DRAINING, "this daemon stops, and no server was free before"
)

RESERVED_RESPONSE_HEADERS = frozenset(
    {b"berylmast-outcome", b"berylmast-error", b"berylmast-replayed"}
)
"""Response headers that only this system sets. They are removed from responses of
backend servers, which may copy them from a nested call."""


async def run_attempt(
    context: ForwardingContext,
    endpoint: Endpoint,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
) -> Result[None, Refusal]:
    """Send a request to one owner and relay the response to the caller.

    If the stream is lost after a non-idempotent request was sent, the owner is queried
    for the outcome. A refusal with outcome not-run guarantees that this attempt did not
    run and never will.
    """
    router = context.router
    started_s = anyio.current_time()
    may_have_run_before = progress.may_have_run
    router.record_start(endpoint.backend, body.length or 0)
    result: Result[None, Refusal] = Err(Refusal(ErrorKind.CANCELLED, "cancelled"))
    try:
        result = await _run_and_resolve_outcome(
            context, endpoint, req, body, response, progress
        )
        refusal = result.unwrap_err() if result.is_err() else None
        if refusal is not None and refusal.not_run:
            progress.may_have_run = may_have_run_before
        if refusal is None or may_have_reached_backend(refusal):
            progress.sent += 1
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
                status=response.status if response.started else None,
                kind=kind,
                sent_bytes=body.read_bytes,
                answer_bytes=response.body_bytes,
            ),
        )
    return result


async def _run_and_resolve_outcome(
    context: ForwardingContext,
    endpoint: Endpoint,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
) -> Result[None, Refusal]:
    waiting = context.withdrawals.start_waiting()
    result: Result[None, Refusal] | None = None
    incarnation: int | None = None
    opened = False
    try:
        with waiting.scope:
            async with context.open_exchange(endpoint) as exchange:
                opened = True
                incarnation = exchange.peer_incarnation
                result = await _run_exchange(
                    context.router, exchange, req, body, response, progress, waiting
                )
    except ConnectionLost as exc:
        return Err(Refusal(ErrorKind.PEER_UNREACHABLE, str(exc)))
    finally:
        waiting.end()
    if waiting.withdrawn:
        if not opened:
            return Err(_WITHDRAWN)
        return await _resolve_withdrawn(context, endpoint, req, incarnation, response)
    if result is not None:
        return result
    if response.started:
        return Err(Refusal(ErrorKind.ANSWER_CUT, "lost the stream to the owner"))
    if req.head.idempotent or incarnation is None:
        return Err(Refusal(ErrorKind.PEER_LOST, "lost the stream to the owner"))
    queried = await query_outcome(
        context.open_exchange, endpoint, req.head.attempt, incarnation, response
    )
    progress.answered = queried.is_ok()
    return queried


async def _resolve_withdrawn(
    context: ForwardingContext,
    endpoint: Endpoint,
    req: ClassifiedRequest,
    incarnation: int | None,
    response: ResponseSink,
) -> Result[None, Refusal]:
    """Return what the owner says of an attempt that was reset while it waited."""
    queried = await query_outcome(
        context.open_exchange, endpoint, req.head.attempt, incarnation, response
    )
    if queried.is_err() and queried.unwrap_err().not_run:
        return Err(_WITHDRAWN)
    return queried


async def _run_exchange(
    router: Router,
    exchange: Exchange,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
    waiting: WaitingAttempt,
) -> Result[None, Refusal] | None:
    """Send the request and relay the response.

    Returns None if the stream was lost after the Request frame was sent.
    """
    try:
        await exchange.send(Request(exchange.id, req.head))
    except ExchangeLost:
        return Err(Refusal(ErrorKind.PEER_UNREACHABLE, "lost the stream to the owner"))
    progress.may_have_run = True
    if not req.head.has_body:
        result = await _relay_response(
            router, exchange, req, body, response, _skip_body, waiting
        )
        progress.answered = result is not None and result.is_ok()
        return result
    result = None
    async with anyio.create_task_group() as tg:

        def start_body() -> None:
            tg.start_soon(body.send_to, exchange)

        if body.eager:
            start_body()
        result = await _relay_response(
            router, exchange, req, body, response, start_body, waiting
        )
        progress.answered = result is not None and result.is_ok()
        tg.cancel_scope.cancel()
    return result


def may_have_reached_backend(refusal: Refusal) -> bool:
    """Return whether a refused attempt may have reached a backend server."""
    return not refusal.not_run or refusal.kind is ErrorKind.BACKEND_REFUSED


def make_refusal_from_frame(frame: Refuse) -> Refusal:
    """Return the refusal in an owner's frame, with its Retry-After estimate if any."""
    wait_s = frame.retry_after_ms / 1000 if frame.retry_after_ms else None
    return Refusal(frame.kind, frame.detail, wait_s)


def _skip_body() -> None:
    """Do nothing: the request has no body."""


async def _relay_response(
    router: Router,
    exchange: Exchange,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    start_body: Callable[[], None],
    waiting: WaitingAttempt,
) -> Result[None, Refusal] | None:
    try:
        return await _relay_response_frames(
            router, exchange, req, body, response, start_body, waiting
        )
    except ExchangeLost:
        return None


async def _relay_response_frames(
    router: Router,
    exchange: Exchange,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    start_body: Callable[[], None],
    waiting: WaitingAttempt,
) -> Result[None, Refusal]:
    def record_load(report: LoadReport) -> None:
        router.record_load(report, exchange.peer_incarnation)

    while True:
        frame = await exchange.receive()
        waiting.end()
        match frame:
            case Continue():
                if req.head.has_body and not body.eager:
                    start_body()
            case Response():
                record_load(frame.load)
                await response.start(frame.status, drop_reserved_headers(frame.headers))
            case Body():
                await response.send_part(frame.data)
            case End():
                if frame.load is not None:
                    record_load(frame.load)
                await response.finish()
                return Ok(None)
            case Refuse():
                record_load(frame.load)
                return Err(make_refusal_from_frame(frame))
            case Fail():
                record_load(frame.load)
                return Err(make_refusal_after_dispatch(frame.kind, frame.detail))
            case Reset():
                return Err(
                    make_refusal_after_dispatch(
                        frame.kind, "the owner reset the exchange"
                    )
                )
            case _:
                return Err(
                    Refusal(ErrorKind.INTERNAL, "unexpected frame from the owner")
                )


def drop_reserved_headers(headers: Headers) -> Headers:
    """Return a backend server's headers without those reserved for this system."""
    return [(k, v) for k, v in headers if k.lower() not in RESERVED_RESPONSE_HEADERS]

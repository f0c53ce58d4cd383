"""The ASGI app that receives requests from callers."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from result import Err, Result

from ..errors import ErrorKind, Refusal
from ..settings import LimitSettings
from ..telemetry import RequestLog, Sight, log_event
from .answer import CallerAnswer, MakeErrorAnswer, make_error_answer
from .body import CallerBody
from .classify import Classified, Classify, read_request_id
from .context import AnswerSink
from .forward import Forwarder, Trace, forward_request

App = Callable[[dict[str, Any], Any, Any], Awaitable[None]]

TRAILERS_KEY = "berylmast.trailers"
"""ASGI scope key of the list to which the HTTP server appends request trailers."""

UNCLASSIFIED = "(none)"
"""Logged as service and priority if a request is refused before classification."""


class AnswerCut(Exception):
    """The response ended early; the HTTP server then closes the caller's connection."""


def make_app(
    classify: Classify,
    limits: LimitSettings,
    forwarder: Forwarder,
    sight: Sight,
    make_error: MakeErrorAnswer = make_error_answer,
) -> App:
    """Return the ASGI app that classifies and forwards the requests of callers."""
    running = 0

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        nonlocal running
        if scope["type"] != "http":
            return
        if running >= limits.max_requests:
            detail = f"{running} requests from callers are already running"
            refusal = Refusal(ErrorKind.TOO_MANY_REQUESTS, detail)
            await _refuse(scope, send, refusal, sight, make_error)
            return
        running += 1
        try:
            classified = await classify(scope)
            if classified.is_err():
                refusal = classified.unwrap_err()
                await _refuse(scope, send, refusal, sight, make_error)
            else:
                req = classified.unwrap()
                await _serve(scope, receive, send, req, forwarder, sight, make_error)
        finally:
            running -= 1

    return app


async def _refuse(
    scope: dict[str, Any],
    send: Any,
    refusal: Refusal,
    sight: Sight,
    make_error: MakeErrorAnswer,
) -> None:
    """Refuse a request that was not classified, and record it in log and metrics."""
    headers = dict(scope["headers"])
    request_id = read_request_id(headers)
    # A caller that waits for 100 Continue does not send its body after an error. If the
    # connection stayed open, its next request would be read as that body.
    close = b"expect" in headers
    answer = CallerAnswer(send, request_id, make_error, close_on_error=close)
    await answer.send_error(refusal)
    sight.record_request(
        RequestLog(
            request=request_id,
            service=UNCLASSIFIED,
            priority=UNCLASSIFIED,
            tenant="",
            backend="",
            attempts=0,
            outcome=refusal.answer.outcome,
            reason=refusal.kind,
            status=answer.status,
            duration_ms=0.0,
        )
    )


async def _serve(
    scope: dict[str, Any],
    receive: Any,
    send: Any,
    req: Classified,
    forwarder: Forwarder,
    sight: Sight,
    make_error: MakeErrorAnswer,
) -> None:
    started_s = anyio.current_time()
    answer = CallerAnswer(
        send,
        req.head.request_id,
        make_error,
        close_on_error=req.expects_continue,
    )
    body = CallerBody(
        receive,
        req.body_bytes,
        limit=req.service.max_body_bytes,
        expects_continue=req.expects_continue,
        trailers=scope.get(TRAILERS_KEY, ()),
    )
    trace = Trace()
    result = await forward_watched(forwarder, req, body, answer, trace)
    refusal = result.unwrap_err() if result.is_err() else None
    cut = refusal is not None and answer.started
    if refusal is not None and not cut:
        await answer.send_error(refusal)
    _record(sight, req, answer, trace, refusal, started_s)
    if refusal is not None and cut:
        raise AnswerCut(refusal.detail)


async def forward_watched(
    forwarder: Forwarder,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    trace: Trace,
) -> Result[None, Refusal]:
    """Forward a request; cancel it on disconnect or if its body is too large."""
    result: Result[None, Refusal] = Err(Refusal(ErrorKind.CANCELLED, "cancelled"))

    async def watch() -> None:
        nonlocal result
        fault = await body.read()
        # The HTTP server also reports a disconnect once the response is complete.
        if not answer.finished:
            result = Err(fault)
            tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(watch)
        try:
            result = await _shed_or_forward(forwarder, req, body, answer, trace)
        except Exception as exc:
            log_event("fault", request=req.head.request_id, reason=repr(exc))
            result = Err(Refusal(ErrorKind.INTERNAL, "internal error"))
        tg.cancel_scope.cancel()
    return result


async def _shed_or_forward(
    forwarder: Forwarder,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    trace: Trace,
) -> Result[None, Refusal]:
    """Refuse a request that the owners would probably refuse; forward it otherwise."""
    head = req.head
    if not forwarder.shedder.admit(head.service, head.priority, head.tenant):
        return Err(
            Refusal(
                ErrorKind.SHED, "the service is overloaded and this request was shed"
            )
        )
    result = await forward_request(forwarder, req, body, answer, trace)
    kind = result.unwrap_err().kind if result.is_err() else None
    forwarder.shedder.record(head.service, head.priority, head.tenant, kind)
    return result


def _record(
    sight: Sight,
    req: Classified,
    answer: CallerAnswer,
    trace: Trace,
    refusal: Refusal | None,
    started_s: float,
) -> None:
    sight.record_request(
        RequestLog(
            request=req.head.request_id,
            service=req.head.service,
            priority=req.head.priority,
            tenant=req.head.tenant,
            backend=trace.backend,
            attempts=trace.attempts,
            outcome="answered" if refusal is None else refusal.answer.outcome,
            reason="" if refusal is None else refusal.kind,
            status=answer.status,
            duration_ms=(anyio.current_time() - started_s) * 1000,
            version=req.service.version,
            deadline_ms=req.head.deadline_ms,
            sent=max(trace.sent, int(trace.may_have_run)),
            load_age_ms=trace.load_age_ms,
        )
    )

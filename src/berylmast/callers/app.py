"""The ASGI app that callers talk to."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from ..errors import Refusal
from ..membership import Directory
from ..settings import LimitSettings
from ..telemetry import RequestLog, Sight
from .answer import CallerAnswer
from .body import CallerBody
from .classify import (
    REQUEST_ID_HEADER,
    Classified,
    classify_request,
    read_host,
    read_wait_s,
)
from .forward import Forwarder, Trace, forward_request

App = Callable[[dict[str, Any], Any, Any], Awaitable[None]]


class AnswerCut(Exception):
    """The answer ended early; the server closes the caller's connection."""


def make_app(
    directory: Directory, limits: LimitSettings, forwarder: Forwarder, sight: Sight
) -> App:
    """Return the ASGI app of the entry."""

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        started_s = anyio.current_time()
        await directory.wait_service(read_host(scope), read_wait_s(scope))
        classified = classify_request(scope, directory, limits, forwarder.next_attempt)
        if classified.is_err():
            request_id = dict(scope["headers"]).get(REQUEST_ID_HEADER, b"")
            answer = CallerAnswer(send, request_id.decode("latin-1"))
            await answer.send_error(classified.unwrap_err())
            return
        req = classified.unwrap()
        answer = CallerAnswer(send, req.head.request_id)
        body = CallerBody(receive, req.body_bytes)
        trace = Trace()
        result = await forward_request(forwarder, req, body, answer, trace)
        refusal = result.unwrap_err() if result.is_err() else None
        _record(sight, req, answer, trace, refusal, started_s)
        if refusal is not None:
            if answer.started:
                raise AnswerCut(refusal.detail)
            await answer.send_error(refusal)

    return app


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
            status=answer.status if refusal is None else refusal.answer.status,
            duration_ms=(anyio.current_time() - started_s) * 1000,
        )
    )

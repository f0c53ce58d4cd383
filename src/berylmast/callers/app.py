"""The ASGI app that receives requests from callers."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
from result import Err, Result

from ..errors import ErrorKind, Refusal
from ..settings import LimitSettings
from ..telemetry import RequestLogEntry, RequestRecorder, log_event
from .classify import ClassifiedRequest, RequestClassifier, read_request_id
from .context import ResponseSink
from .forward import ForwardingContext, RequestProgress, forward_request
from .read_ahead import ReadAheadPool
from .request_body import RequestBody
from .response import CallerResponse, MakeErrorResponse, make_error_response

ASGIApp = Callable[[dict[str, Any], Any, Any], Awaitable[None]]

TRAILERS_KEY = "berylmast.trailers"
"""ASGI scope key of the list to which the HTTP server appends request trailers."""

DISCONNECT_LISTENERS_KEY = "berylmast.disconnect_listeners"
"""ASGI scope key of the list of functions that the HTTP server calls when the
connection of the caller ends."""

UNCLASSIFIED = "(none)"
"""Logged as service and priority if a request is refused before classification."""


class ResponseAborted(Exception):
    """The response ended early; the HTTP server then closes the caller's connection."""


def make_app(
    classify: RequestClassifier,
    limits: LimitSettings,
    context: ForwardingContext,
    recorder: RequestRecorder,
    make_error: MakeErrorResponse = make_error_response,
) -> ASGIApp:
    """Return the ASGI app that classifies and forwards the requests of callers."""
    running = 0
    pool = ReadAheadPool()

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        nonlocal running
        if scope["type"] != "http":
            return
        if running >= limits.max_requests:
            detail = f"{running} requests from callers are already running"
            refusal = Refusal(ErrorKind.TOO_MANY_REQUESTS, detail)
            await _send_refusal(scope, send, refusal, recorder, make_error)
            return
        running += 1
        try:
            classified = await classify(scope)
            if classified.is_err():
                refusal = classified.unwrap_err()
                await _send_refusal(scope, send, refusal, recorder, make_error)
            else:
                req = classified.unwrap()
                await _forward_and_log(
                    scope, receive, send, req, context, recorder, make_error, pool
                )
        finally:
            running -= 1

    return app


async def _send_refusal(
    scope: dict[str, Any],
    send: Any,
    refusal: Refusal,
    recorder: RequestRecorder,
    make_error: MakeErrorResponse,
) -> None:
    """Refuse a request that was not classified, and record it in log and metrics."""
    headers = dict(scope["headers"])
    request_id = read_request_id(headers)
    # A caller that waits for 100 Continue does not send its body after an error. If the
    # connection stayed open, its next request would be read as that body.
    close_on_error = b"expect" in headers
    response = CallerResponse(
        send, request_id, make_error, close_on_error=close_on_error
    )
    await response.send_error(refusal)
    recorder.record_request(
        RequestLogEntry(
            request=request_id,
            service=UNCLASSIFIED,
            priority=UNCLASSIFIED,
            tenant=refusal.tenant,
            backend="",
            attempts=0,
            outcome=refusal.response_spec.outcome,
            reason=refusal.kind,
            status=response.status,
            duration_ms=0.0,
        )
    )


async def _forward_and_log(
    scope: dict[str, Any],
    receive: Any,
    send: Any,
    req: ClassifiedRequest,
    context: ForwardingContext,
    recorder: RequestRecorder,
    make_error: MakeErrorResponse,
    pool: ReadAheadPool,
) -> None:
    started_s = anyio.current_time()
    response = CallerResponse(
        send,
        req.head.request_id,
        make_error,
        close_on_error=req.expects_continue,
    )
    body = RequestBody(
        receive,
        req.body_bytes,
        limit=req.service.max_body_bytes,
        expects_continue=req.expects_continue,
        trailers=scope.get(TRAILERS_KEY, ()),
        pool=pool,
        filter_trailers=req.filter_trailers,
        disconnect_listeners=scope.get(DISCONNECT_LISTENERS_KEY),
    )
    progress = RequestProgress()
    try:
        result = await forward_until_disconnect(context, req, body, response, progress)
    finally:
        body.close()
    refusal = result.unwrap_err() if result.is_err() else None
    cut_off = refusal is not None and response.started
    if refusal is not None and not cut_off:
        await response.send_error(refusal)
    _log_request(recorder, req, response, progress, refusal, started_s)
    if refusal is not None and cut_off:
        raise ResponseAborted(refusal.detail)


async def forward_until_disconnect(
    context: ForwardingContext,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
) -> Result[None, Refusal]:
    """Forward a request; cancel it on disconnect or if its body is too large."""
    result: Result[None, Refusal] = Err(Refusal(ErrorKind.CANCELLED, "cancelled"))

    async def watch() -> None:
        nonlocal result
        refusal = await body.read_until_refusal()
        # The HTTP server also reports a disconnect once the response is complete.
        if not response.finished:
            result = Err(refusal)
            tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(watch)
        try:
            result = await _charge_and_forward(context, req, body, response, progress)
        except Exception as exc:
            log_event("fault", request=req.head.request_id, reason=repr(exc))
            result = Err(Refusal(ErrorKind.INTERNAL, "internal error"))
        tg.cancel_scope.cancel()
    return result


async def _charge_and_forward(
    context: ForwardingContext,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
) -> Result[None, Refusal]:
    """Charge a request to its tenant's quota once, whatever is tried afterwards."""
    tenant, quotas = req.head.tenant, context.quotas
    if quotas is None or not quotas.has_quota(tenant):
        return await _shed_or_forward(context, req, body, response, progress)
    started_s = anyio.current_time()
    refusal = await quotas.charge(tenant)
    if refusal is not None:
        return Err(refusal)
    waited_ms = int((anyio.current_time() - started_s) * 1000)
    if waited_ms:
        req = _shorten_deadline(req, waited_ms)
    result = await _shed_or_forward(context, req, body, response, progress)
    if result.is_err() and result.unwrap_err().not_run:
        quotas.give_back(tenant)
    return result


def _shorten_deadline(req: ClassifiedRequest, waited_ms: int) -> ClassifiedRequest:
    """Return the request with the time left after it waited for a token."""
    head = req.head
    target_ms = None if head.target_ms is None else head.target_ms - waited_ms
    return replace(
        req,
        head=replace(
            head, deadline_ms=max(0, head.deadline_ms - waited_ms), target_ms=target_ms
        ),
    )


async def _shed_or_forward(
    context: ForwardingContext,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
) -> Result[None, Refusal]:
    """Refuse a request that the owners would probably refuse; forward it otherwise."""
    head = req.head
    if not context.shedder.admit(head.service, head.priority, head.tenant):
        return Err(
            Refusal(
                ErrorKind.SHED, "the service is overloaded and this request was shed"
            )
        )
    result = await forward_request(context, req, body, response, progress)
    kind = result.unwrap_err().kind if result.is_err() else None
    context.shedder.record(head.service, head.priority, head.tenant, kind)
    return result


def _log_request(
    recorder: RequestRecorder,
    req: ClassifiedRequest,
    response: CallerResponse,
    progress: RequestProgress,
    refusal: Refusal | None,
    started_s: float,
) -> None:
    recorder.record_request(
        RequestLogEntry(
            request=req.head.request_id,
            service=req.head.service,
            priority=req.head.priority,
            tenant=req.head.tenant,
            backend=progress.backend,
            attempts=progress.attempts,
            outcome="answered" if refusal is None else refusal.response_spec.outcome,
            reason="" if refusal is None else refusal.kind,
            status=response.status,
            duration_ms=(anyio.current_time() - started_s) * 1000,
            version=req.service.version,
            deadline_ms=req.head.deadline_ms,
            sent=max(progress.sent, int(progress.may_have_run)),
            load_age_ms=progress.load_age_ms,
            copies=progress.copies,
            copy_attempt=progress.copy_attempt,
            copy_result=progress.copy_result,
        )
    )

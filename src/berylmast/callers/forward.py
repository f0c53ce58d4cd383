"""Forwards a request: chooses backend servers and retries where that is safe."""

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from .attempt import run_attempt
from .attempt_request import RequestTimes, make_attempt_request
from .backend_selector import BackendSelector
from .classify import ClassifiedRequest
from .context import ForwardingContext, OpenExchange, RequestProgress, ResponseSink
from .hedge import HedgedRequest, run_and_record
from .idempotency import run_with_key
from .request_body import RequestBody

__all__ = ["ForwardingContext", "OpenExchange", "RequestProgress", "forward_request"]


async def forward_request(
    context: ForwardingContext,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
) -> Result[None, Refusal]:
    """Make attempts until one gets a response, within the deadline of the request.

    A returned refusal with outcome not-run guarantees that the request did not run.
    If ``response.started`` is set with a refusal, the response was cut off after its
    head. The connection to the caller must then be closed, so that the caller notices.
    """
    deadline_s = anyio.current_time() + req.head.deadline_ms / 1000

    async def run(sink: ResponseSink) -> Result[None, Refusal]:
        return await _run_with_deadline(context, req, body, sink, progress, deadline_s)

    if req.head.idempotency_key is None or req.head.idempotent:
        return await run(response)
    return await run_with_key(context, req, response, progress, deadline_s, run)


async def _run_with_deadline(
    context: ForwardingContext,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
    deadline_s: float,
) -> Result[None, Refusal]:
    result: Result[None, Refusal] = Err(Refusal(ErrorKind.CANCELLED, "cancelled"))
    with anyio.CancelScope(deadline=deadline_s) as scope:
        result = await _run_attempts(context, req, body, response, progress, deadline_s)
    if not scope.cancelled_caught:
        return result
    if progress.answered:
        return Ok(None)
    return Err(_make_deadline_refusal(progress))


def _make_deadline_refusal(progress: RequestProgress) -> Refusal:
    if progress.may_have_run:
        return Refusal(ErrorKind.DEADLINE_UNKNOWN, "deadline passed during an attempt")
    return Refusal(ErrorKind.DEADLINE_NOT_RUN, "deadline passed before dispatch")


async def _run_attempts(
    context: ForwardingContext,
    req: ClassifiedRequest,
    body: RequestBody,
    response: ResponseSink,
    progress: RequestProgress,
    deadline_s: float,
) -> Result[None, Refusal]:
    """Try one backend server after another.

    Returns the first refusal after which the request may have run, otherwise the last
    refusal. A later refusal with outcome not-run must not hide that an earlier attempt
    may have run.
    """
    service, priority = req.service.service, req.head.priority
    context.retries.record_first_attempt(
        service, priority, req.service.budgets.retry_ratio
    )
    times = RequestTimes(anyio.current_time(), deadline_s)
    selector = BackendSelector(context.router, req, body.length or 0)
    hedged: HedgedRequest | None = None
    if context.hedging is not None:
        context.hedging.record_request(service)
        hedged = HedgedRequest(
            context, context.hedging, req, body, selector, times, progress
        )
    final_refusal: Refusal | None = None
    while progress.attempts < selector.max_owners and progress.sent < req.max_attempts:
        choice = selector.choose()
        if choice.is_err():
            return Err(final_refusal or choice.unwrap_err())
        if selector.uses_retry_budget and not context.retries.try_spend(
            service, priority
        ):
            break
        placement = choice.unwrap()
        attempt = make_attempt_request(
            context, req, placement, times, retry=selector.uses_retry_budget
        )
        if attempt is None:
            return Err(final_refusal or _make_deadline_refusal(progress))
        progress.attempts += 1
        progress.backend = placement.endpoint.backend
        progress.load_age_ms = context.router.get_load_age_ms(progress.backend)
        if hedged is None:
            result = await run_attempt(
                context, placement.endpoint, attempt, body, response, progress
            )
        else:
            result = await run_and_record(hedged, placement, attempt, response)
        if result.is_ok():
            return result
        refusal = result.unwrap_err()
        if final_refusal is None or final_refusal.not_run:
            final_refusal = refusal
        selector.record(placement.endpoint, refusal)
        if response.started or not _may_retry(req, refusal, body):
            break
        if context.withdrawals.began:
            break
    return Err(
        final_refusal or Refusal(ErrorKind.NO_BACKEND, "no attempt could be made")
    )


def _may_retry(req: ClassifiedRequest, refusal: Refusal, body: RequestBody) -> bool:
    """Return whether another attempt is safe.

    A request that is marked as a retry is not retried here, so that retries do not
    multiply along a chain of calls.
    """
    if req.head.retry or not body.resendable:
        return False
    return refusal.not_run or req.head.idempotent

"""Forwards a request: chooses backend servers and retries where that is safe."""

from dataclasses import replace

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from .attempt import run_attempt
from .backend_selector import BackendSelector
from .classify import ClassifiedRequest
from .context import ForwardingContext, OpenExchange, RequestProgress, ResponseSink
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
    started_s = anyio.current_time()
    selector = BackendSelector(context.router, req, body.length or 0)
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
        now_s = anyio.current_time()
        remaining_ms = int((deadline_s - now_s) * 1000)
        if remaining_ms <= 0:
            return Err(final_refusal or _make_deadline_refusal(progress))
        progress.attempts += 1
        progress.backend = placement.endpoint.backend
        progress.load_age_ms = context.router.get_load_age_ms(progress.backend)
        head = replace(
            req.head,
            # A new id for each attempt, taken just before sending: the owner's ledger
            # relies on counters that are recent.
            attempt=context.next_attempt(),
            deadline_ms=remaining_ms,
            target_ms=_compute_remaining_target_ms(
                req.head.target_ms, now_s - started_s
            ),
            retry=req.head.retry or selector.uses_retry_budget,
            may_spill=placement.may_spill,
            known_rate_limit=context.router.get_rate_limit(placement.endpoint),
        )
        attempt = replace(req, head=head)
        result = await run_attempt(
            context, placement.endpoint, attempt, body, response, progress
        )
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


def _compute_remaining_target_ms(target_ms: int | None, elapsed_s: float) -> int | None:
    return None if target_ms is None else target_ms - int(elapsed_s * 1000)


def _may_retry(req: ClassifiedRequest, refusal: Refusal, body: RequestBody) -> bool:
    """Return whether another attempt is safe.

    A request that is marked as a retry is not retried here, so that retries do not
    multiply along a chain of calls.
    """
    if req.head.retry or not body.resendable:
        return False
    return refusal.not_run or req.head.idempotent

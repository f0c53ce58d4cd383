"""Forwards a request: chooses backend servers and retries where that is safe."""

from dataclasses import replace

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from .attempt import run_attempt
from .body import CallerBody
from .classify import Classified
from .context import AnswerSink, Forwarder, OpenExchange, Trace
from .keyed import run_keyed
from .search import Search

__all__ = ["Forwarder", "OpenExchange", "Trace", "forward_request"]


async def forward_request(
    forwarder: Forwarder,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    trace: Trace,
) -> Result[None, Refusal]:
    """Make attempts until one gets a response, within the deadline of the request.

    A returned refusal with outcome not-run guarantees that the request did not run.
    If ``answer.started`` is set with a refusal, the response was cut off after its
    head. The connection to the caller must then be closed, so that the caller notices.
    """
    deadline_s = anyio.current_time() + req.head.deadline_ms / 1000

    async def run(sink: AnswerSink) -> Result[None, Refusal]:
        return await _run_in_time(forwarder, req, body, sink, trace, deadline_s)

    if req.head.idempotency_key is None or req.head.idempotent:
        return await run(answer)
    return await run_keyed(forwarder, req, answer, trace, deadline_s, run)


async def _run_in_time(
    forwarder: Forwarder,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    trace: Trace,
    deadline_s: float,
) -> Result[None, Refusal]:
    result: Result[None, Refusal] = Err(Refusal(ErrorKind.CANCELLED, "cancelled"))
    with anyio.CancelScope(deadline=deadline_s) as scope:
        result = await _run_attempts(forwarder, req, body, answer, trace, deadline_s)
    if not scope.cancelled_caught:
        return result
    if trace.answered:
        return Ok(None)
    return Err(_make_deadline_refusal(trace))


def _make_deadline_refusal(trace: Trace) -> Refusal:
    if trace.may_have_run:
        return Refusal(ErrorKind.DEADLINE_UNKNOWN, "deadline passed during an attempt")
    return Refusal(ErrorKind.DEADLINE_NOT_RUN, "deadline passed before dispatch")


async def _run_attempts(
    forwarder: Forwarder,
    req: Classified,
    body: CallerBody,
    answer: AnswerSink,
    trace: Trace,
    deadline_s: float,
) -> Result[None, Refusal]:
    """Try one backend server after another.

    Returns the first refusal after which the request may have run, otherwise the last
    refusal. A later refusal with outcome not-run must not hide that an earlier attempt
    may have run.
    """
    service, priority = req.service.service, req.head.priority
    forwarder.retries.record_first_try(
        service, priority, req.service.budgets.retry_ratio
    )
    started_s = anyio.current_time()
    search = Search(forwarder.router, req, body.length or 0)
    verdict: Refusal | None = None
    while trace.attempts < search.most_asked and trace.sent < req.max_attempts:
        choice = search.choose()
        if choice.is_err():
            return Err(verdict or choice.unwrap_err())
        if search.costs_retry and not forwarder.retries.try_spend(service, priority):
            break
        placement = choice.unwrap()
        now_s = anyio.current_time()
        remaining_ms = int((deadline_s - now_s) * 1000)
        if remaining_ms <= 0:
            return Err(verdict or _make_deadline_refusal(trace))
        trace.attempts += 1
        trace.backend = placement.endpoint.backend
        trace.load_age_ms = forwarder.router.get_load_age_ms(trace.backend)
        head = replace(
            req.head,
            # A new id for each attempt, taken just before sending: the owner's ledger
            # relies on counters that are recent.
            attempt=forwarder.next_attempt(),
            deadline_ms=remaining_ms,
            target_ms=_get_target_left(req.head.target_ms, now_s - started_s),
            retry=req.head.retry or search.costs_retry,
            may_spill=placement.may_spill,
        )
        attempt = replace(req, head=head)
        result = await run_attempt(
            forwarder, placement.endpoint, attempt, body, answer, trace
        )
        if result.is_ok():
            return result
        refusal = result.unwrap_err()
        if verdict is None or verdict.not_run:
            verdict = refusal
        search.record(placement.endpoint, refusal)
        if answer.started or not _may_retry(req, refusal, body):
            break
    return Err(verdict or Refusal(ErrorKind.NO_BACKEND, "no attempt could be made"))


def _get_target_left(target_ms: int | None, passed_s: float) -> int | None:
    return None if target_ms is None else target_ms - int(passed_s * 1000)


def _may_retry(req: Classified, refusal: Refusal, body: CallerBody) -> bool:
    """Tell whether another attempt is safe.

    A request that is marked as a retry is not retried here, so that retries do not
    multiply along a chain of calls.
    """
    if req.head.retry or not body.resendable:
        return False
    return refusal.not_run or req.head.idempotent

"""Runs an attempt, and a second copy of it on another server if the first is late.

A copy is a request that may be repeated, sent again while its first attempt still runs.
Whether it is sent is decided by ``limits.hedging``. Its owner refuses it at once if it
would have to wait there; a refusal of the copy changes nothing for the request.
"""

from dataclasses import dataclass, field

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..limits.hedging import CopyResult, Hedging, LateRequest, UnsentReason
from ..model import Endpoint
from .attempt import may_have_reached_backend, run_attempt
from .attempt_request import RequestTimes, make_attempt_request
from .backend_selector import BackendSelector, Placement
from .classify import ClassifiedRequest
from .context import ForwardingContext, RequestProgress, ResponseSink
from .race import FIRST_ERROR_STATUS, Race, RacingSink
from .request_body import RequestBody

_CANCELLED = Refusal(ErrorKind.CANCELLED, "cancelled")


@dataclass(slots=True)
class _Attempt:
    """One of the attempts that run at the same time, with its own progress.

    ``endpoint`` is None until the attempt is sent, ``result`` until it has ended by
    itself.
    """

    sink: RacingSink
    progress: RequestProgress = field(default_factory=RequestProgress)
    endpoint: Endpoint | None = None
    result: Result[None, Refusal] | None = None


@dataclass(frozen=True, slots=True)
class HedgedRequest:
    """A request whose current attempt may get a copy, with what both attempts share."""

    context: ForwardingContext
    hedging: Hedging
    req: ClassifiedRequest
    body: RequestBody
    selector: BackendSelector
    times: RequestTimes
    progress: RequestProgress

    @property
    def route(self) -> str:
        """Return the name under which the times of the request are kept."""
        return f"{self.req.head.service} {self.req.route}"


async def run_and_record(
    hedged: HedgedRequest,
    placement: Placement,
    attempt_req: ClassifiedRequest,
    response: ResponseSink,
) -> Result[None, Refusal]:
    """Run an attempt, with a copy if it is late and may run twice.

    Its result is recorded for decisions on further copies.
    """
    head = attempt_req.head
    if head.idempotent and head.idempotency_key is None and not head.retry:
        result = await _run_with_copy(hedged, placement, attempt_req, response)
    else:
        result = await run_attempt(
            hedged.context,
            placement.endpoint,
            attempt_req,
            hedged.body,
            response,
            hedged.progress,
        )
    kind = result.unwrap_err().kind if result.is_err() else None
    hedged.hedging.record_attempt(head.service, kind, anyio.current_time())
    return result


async def _run_with_copy(
    hedged: HedgedRequest,
    placement: Placement,
    attempt_req: ClassifiedRequest,
    response: ResponseSink,
) -> Result[None, Refusal]:
    """Run an attempt and at most one copy of it.

    The result is that of the attempt that sent its response. If none did, it is the
    refusal after which the request may have run, or that of the first attempt.
    """
    started_s = anyio.current_time()
    delay_s = hedged.hedging.get_delay_s(hedged.route, started_s)
    race = Race(response)
    first, copy = _Attempt(race.add()), _Attempt(race.add())
    try:
        if delay_s is None:
            await _run_first(hedged, race, first, placement.endpoint, attempt_req)
        else:
            async with anyio.create_task_group() as tg:
                tg.start_soon(
                    _send_copy_if_late, hedged, race, copy, placement, delay_s
                )
                await _run_first(hedged, race, first, placement.endpoint, attempt_req)
                if not copy.sink.running:
                    copy.sink.scope.cancel()
    finally:
        _record_time(hedged, race, first, started_s, delay_s)
        _merge_progress(hedged.progress, race, first, copy)
        _record_copy(hedged, race, copy)
    return _get_result(race, first, copy)


async def _run_first(
    hedged: HedgedRequest,
    race: Race,
    first: _Attempt,
    endpoint: Endpoint,
    attempt_req: ClassifiedRequest,
) -> None:
    with first.sink.scope:
        await _run(hedged, race, first, endpoint, attempt_req)


async def _run(
    hedged: HedgedRequest,
    race: Race,
    attempt: _Attempt,
    endpoint: Endpoint,
    attempt_req: ClassifiedRequest,
) -> None:
    attempt.endpoint = endpoint
    attempt.sink.running = True
    attempt.result = await run_attempt(
        hedged.context,
        endpoint,
        attempt_req,
        hedged.body,
        attempt.sink,
        attempt.progress,
    )
    if attempt.result.is_err():
        race.withdraw(attempt.sink)


async def _send_copy_if_late(
    hedged: HedgedRequest,
    race: Race,
    copy: _Attempt,
    first: Placement,
    delay_s: float,
) -> None:
    with copy.sink.scope:
        await anyio.sleep(delay_s)
        placed = _place_copy(hedged, first)
        if placed.is_err():
            hedged.hedging.unsent[placed.unwrap_err()] += 1
            return
        endpoint, attempt_req = placed.unwrap()
        progress = hedged.progress
        progress.attempts += 1
        progress.copies += 1
        progress.copy_attempt = str(attempt_req.head.attempt)
        copy.progress.load_age_ms = hedged.context.router.get_load_age_ms(
            endpoint.backend
        )
        await _run(hedged, race, copy, endpoint, attempt_req)


def _place_copy(
    hedged: HedgedRequest, first: Placement
) -> Result[tuple[Endpoint, ClassifiedRequest], UnsentReason]:
    """Choose the server of a copy and charge the budgets, if a copy may be sent."""
    unsent_reason = _find_unsent_reason(hedged)
    if unsent_reason is not None:
        return Err(unsent_reason)
    placement = hedged.selector.choose_copy(first.endpoint)
    if placement is None:
        return Err(UnsentReason.NO_SERVER)
    attempt_req = make_attempt_request(
        hedged.context, hedged.req, placement, hedged.times, retry=True
    )
    if attempt_req is None:
        return Err(UnsentReason.DEADLINE)
    head = hedged.req.head
    if not hedged.context.retries.try_spend(head.service, head.priority):
        return Err(UnsentReason.RETRY_BUDGET)
    hedged.hedging.spend(head.service)
    return Ok((placement.endpoint, attempt_req))


def _find_unsent_reason(hedged: HedgedRequest) -> UnsentReason | None:
    """Return why no copy may be sent now, None if one may."""
    if hedged.context.withdrawals.began:
        return UnsentReason.STOPPING
    if not hedged.body.can_send_twice:
        return UnsentReason.BODY
    progress, req = hedged.progress, hedged.req
    sent_with_copy = progress.sent + 2
    if (
        sent_with_copy > req.max_attempts
        or progress.attempts >= hedged.selector.max_owners
    ):
        return UnsentReason.ATTEMPTS
    target_left_ms = hedged.times.get_target_left_ms(req.head.target_ms)
    late = LateRequest(
        service=req.head.service,
        route=hedged.route,
        deadline_left_s=hedged.times.left_s,
        target_left_s=None if target_left_ms is None else target_left_ms / 1000,
        use=hedged.context.router.estimate_use(req.head.service),
    )
    return hedged.hedging.find_unsent_reason(late, anyio.current_time())


def _record_time(
    hedged: HedgedRequest,
    race: Race,
    first: _Attempt,
    started_s: float,
    delay_s: float | None,
) -> None:
    """Record the time to the head of the first attempt, as far as it is known."""
    now_s = anyio.current_time()
    sink = first.sink
    if sink.received_status:
        if sink.received_status < FIRST_ERROR_STATUS:
            hedged.hedging.record_time(hedged.route, sink.received_s - started_s, now_s)
        return
    cancelled = first.result is None
    elapsed_s = (race.decided_s or now_s) - started_s
    if cancelled and delay_s is not None and elapsed_s >= delay_s:
        hedged.hedging.record_time(hedged.route, elapsed_s, now_s)


def _merge_progress(
    progress: RequestProgress, race: Race, first: _Attempt, copy: _Attempt
) -> None:
    for attempt in (first, copy):
        own = attempt.progress
        # An attempt that was cancelled isn't counted in its own ``sent``.
        progress.sent += max(own.sent, int(own.may_have_run))
        progress.may_have_run = progress.may_have_run or own.may_have_run
        progress.answered = progress.answered or own.answered
    if race.winner is copy.sink and copy.endpoint is not None:
        progress.backend = copy.endpoint.backend
        progress.load_age_ms = copy.progress.load_age_ms


def _record_copy(hedged: HedgedRequest, race: Race, copy: _Attempt) -> None:
    """Count how a copy ended; exclude its server if it may have run there."""
    if copy.endpoint is None:
        return
    result = CopyResult.LOST
    if race.winner is copy.sink:
        result = CopyResult.WON
    elif copy.result is not None and copy.result.is_err():
        refusal = copy.result.unwrap_err()
        result = CopyResult.REFUSED if refusal.not_run else CopyResult.FAILED
        if may_have_reached_backend(refusal):
            hedged.selector.record(copy.endpoint, refusal)
    hedged.hedging.results[result] += 1
    hedged.progress.copy_result = result


def _get_result(race: Race, first: _Attempt, copy: _Attempt) -> Result[None, Refusal]:
    if race.winner is not None:
        winner = copy if race.winner is copy.sink else first
        return Err(_CANCELLED) if winner.result is None else winner.result
    results = [a.result for a in (first, copy) if a.result is not None]
    for result in results:
        if result.is_err() and not result.unwrap_err().not_run:
            return result
    return results[0] if results else Err(_CANCELLED)

"""Queries an owner for the outcome of an attempt whose stream was lost."""

import anyio
from result import Err, Ok, Result

from ..daemons import ConnectionLost, Exchange, ExchangeLost
from ..daemons.frames import Outcome, Query
from ..errors import ErrorKind, Refusal
from ..model import AttemptId, AttemptState, Endpoint
from .context import OpenExchange, ResponseSink

QUERY_TRIES = 3
QUERY_RETRY_DELAY_S = 0.1
"""Lets a short network fault pass that also breaks the first new stream, in seconds."""


def make_refusal_after_dispatch(kind: ErrorKind, detail: str) -> Refusal:
    """Return a refusal; a kind that wrongly claims not-run becomes INTERNAL."""
    refusal = Refusal(kind, detail)
    if refusal.not_run:
        return Refusal(ErrorKind.INTERNAL, f"{kind} after dispatch: {detail}")
    return refusal


async def query_outcome(
    open_exchange: OpenExchange,
    endpoint: Endpoint,
    attempt: AttemptId,
    incarnation: int | None,
    response: ResponseSink,
) -> Result[None, Refusal]:
    """Query the owner over new streams and relay the response that it stored.

    If the attempt is still running, waits for its end; the caller of this function sets
    the time limit. The outcome is unknown if the owner is unreachable, or has restarted
    (another incarnation) and so has no record of the attempt.
    """
    for number in range(QUERY_TRIES):
        if number:
            await anyio.sleep(QUERY_RETRY_DELAY_S)
        try:
            async with open_exchange(endpoint) as exchange:
                if exchange.peer_incarnation != incarnation:
                    return _refuse_unknown("the owner restarted")
                outcome = await _query_attempt(exchange, attempt)
        except (ConnectionLost, ExchangeLost):
            continue
        return await _resolve_outcome(outcome, response)
    return _refuse_unknown("the owner is unreachable")


async def _query_attempt(exchange: Exchange, attempt: AttemptId) -> Outcome:
    await exchange.send(Query(exchange.id, attempt))
    while True:
        frame = await exchange.receive()
        if not isinstance(frame, Outcome):
            raise ExchangeLost
        if frame.state is not AttemptState.RUNNING:
            return frame


async def _resolve_outcome(
    outcome: Outcome, response: ResponseSink
) -> Result[None, Refusal]:
    match outcome.state:
        case AttemptState.NOT_SEEN:
            kind = ErrorKind.ATTEMPT_REVOKED
            return Err(Refusal(kind, "the request never reached the owner"))
        case AttemptState.REFUSED:
            kind = outcome.kind or ErrorKind.ATTEMPT_REVOKED
            return Err(Refusal(kind, outcome.detail))
        case AttemptState.FAILED:
            kind = outcome.kind or ErrorKind.INTERNAL
            return Err(make_refusal_after_dispatch(kind, outcome.detail))
        case AttemptState.FINISHED if outcome.answer_status:
            await response.start(outcome.answer_status, outcome.headers)
            await response.send_part(outcome.body)
            await response.finish()
            return Ok(None)
        case AttemptState.FINISHED:
            kind = ErrorKind.ANSWER_CUT
            return Err(Refusal(kind, "the request ran, but its response was lost"))
        case _:
            return _refuse_unknown("the owner no longer has a record of the attempt")


def _refuse_unknown(detail: str) -> Result[None, Refusal]:
    return Err(Refusal(ErrorKind.PEER_LOST, detail))

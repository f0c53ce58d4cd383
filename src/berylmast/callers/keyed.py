"""Requests with an ``Idempotency-Key``: a repeated key does not run twice.

The two endpoints that rank highest for a key (rendezvous hash over the service's ready
endpoints) hold its record. A request runs only after both, or the only one there is,
have given it the key, asked in the order of their rank so that two repeats can't block
each other. Any one that knows the key is enough to recognise a repeat.

How far this holds, within the window of ``backends.idempotency_keys``:

- The loss or restart of one holder, or one endpoint that joins above them, keeps the
  record. If both holders are lost, or two endpoints join above them, before the window
  ends, the key is taken as a first use: nothing records that it was ever used.
- Entries whose views of the endpoints differ still recognise a repeat as long as their
  two holders overlap in one.
- While a holder can't be reached, new requests with its keys are refused as not run,
  until its endpoint leaves the directory. A repeat that the other holder knows is still
  answered.
- If the end of a request is not reported (its entry died), its key counts as unknown
  from its deadline until the window ends.

The outcome of a refused repeat speaks of the repeat where it is not-run (a holder can't
be reached, too many keys, a key reused for another request), and of the earlier request
where it is unknown.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace
from hashlib import blake2b

import anyio
from result import Err, Ok, Result

from ..daemons import ConnectionLost, ExchangeLost
from ..daemons.frames import KeyBegin, KeyFinish, KeyState
from ..errors import ErrorKind, Refusal
from ..model import Endpoint, KeptAnswer, KeyStatus
from .classify import Classified
from .context import AnswerSink, Forwarder, Trace
from .kept import KeepingSink

REPLAYED_HEADER = b"berylmast-replayed"
KEY_HOLDERS = 2
MAX_KEY_CHARS = 255
REPORT_TIMEOUT_S = 1.0
"""Longest wait to report an end to both holders, in seconds."""

_ASK_TRIES = 2

Run = Callable[[AnswerSink], Awaitable[Result[None, Refusal]]]

_REFUSALS = {
    KeyStatus.RUNNING: Refusal(
        ErrorKind.DUPLICATE_RUNNING, "a request with this key is running"
    ),
    KeyStatus.FINISHED: Refusal(
        ErrorKind.DUPLICATE_UNKNOWN,
        "the request with this key has ended; its answer was not kept",
    ),
    KeyStatus.UNKNOWN: Refusal(
        ErrorKind.DUPLICATE_UNKNOWN, "the outcome of the request with this key is open"
    ),
    KeyStatus.MISMATCH: Refusal(
        ErrorKind.BAD_REQUEST, "this idempotency key belongs to another request"
    ),
    KeyStatus.FULL: Refusal(ErrorKind.OVERLOADED, "too many idempotency keys in use"),
}


@dataclass(slots=True)
class _Claim:
    """What the holders said; ``owed`` may hold the key for this request.

    ``known`` is the answer of a holder that refused it.
    """

    owed: list[Endpoint] = field(default_factory=list)
    missing: bool = False
    known: KeyState | None = None


def rank_holders(
    endpoints: Sequence[Endpoint], service: str, tenant: str, key: str
) -> list[Endpoint]:
    """Return the endpoints that hold a key, the highest rank first."""

    def weigh(endpoint: Endpoint) -> bytes:
        parts = (endpoint.backend, service, tenant, key)
        text = "\0".join(parts).encode("utf-8", "surrogateescape")
        return blake2b(text, digest_size=8).digest()

    return sorted(endpoints, key=weigh, reverse=True)[:KEY_HOLDERS]


async def run_keyed(
    forwarder: Forwarder,
    req: Classified,
    answer: AnswerSink,
    trace: Trace,
    deadline_s: float,
    run: Run,
) -> Result[None, Refusal]:
    """Run a request unless its key was used; report its end to the key's holders."""
    head = req.head
    key = head.idempotency_key or ""
    if not 0 < len(key) <= MAX_KEY_CHARS:
        detail = f"an idempotency key has 1 to {MAX_KEY_CHARS} characters"
        return Err(Refusal(ErrorKind.BAD_REQUEST, detail))
    endpoints = forwarder.endpoints(head.service)
    holders = rank_holders(endpoints, head.service, head.tenant, key)
    if not holders:
        return Err(
            Refusal(ErrorKind.NO_BACKEND, f"no backend server of {head.service}")
        )
    status = KeyStatus.NOT_RUN
    sink = KeepingSink(answer)
    claim = _Claim()
    try:
        with anyio.CancelScope(deadline=deadline_s) as scope:
            await _fill_claim(claim, forwarder, holders, req, key, deadline_s)
        if scope.cancelled_caught:
            detail = "deadline passed while the key was checked"
            return Err(Refusal(ErrorKind.DEADLINE_NOT_RUN, detail))
        if claim.known is not None:
            return await _answer_repeat(claim.known, answer, trace)
        if claim.missing:
            detail = "a holder of the idempotency key can't be reached"
            return Err(Refusal(ErrorKind.PEER_UNREACHABLE, detail))
        # Until the end is known: an exception must not free the key.
        status = KeyStatus.UNKNOWN
        result = await run(sink)
        status = _judge_end(result)
        return result
    finally:
        if status is KeyStatus.UNKNOWN and not trace.may_have_run:
            status = KeyStatus.NOT_RUN
        kept = sink.kept if status is KeyStatus.FINISHED else None
        await _report_end(forwarder, claim.owed, req, key, status, kept)


def _judge_end(result: Result[None, Refusal]) -> KeyStatus:
    if result.is_ok():
        return KeyStatus.FINISHED
    return KeyStatus.NOT_RUN if result.unwrap_err().not_run else KeyStatus.UNKNOWN


async def _fill_claim(
    claim: _Claim,
    forwarder: Forwarder,
    holders: Sequence[Endpoint],
    req: Classified,
    key: str,
    deadline_s: float,
) -> None:
    remaining_ms = max(0, int((deadline_s - anyio.current_time()) * 1000))
    head = req.head
    frame = KeyBegin(
        0,
        head.service,
        head.tenant,
        key,
        f"{head.method} {head.target} {req.body_bytes}",
        head.attempt,
        remaining_ms,
    )
    for holder in holders:
        claim.owed.append(holder)
        state = await _ask(forwarder, holder, frame)
        if state is None:
            claim.missing = True
        elif state.status is not KeyStatus.NEW:
            claim.owed.remove(holder)
            claim.known = state
            return


async def _ask(
    forwarder: Forwarder, holder: Endpoint, frame: KeyBegin | KeyFinish
) -> KeyState | None:
    """Return a holder's answer, None if it can't be reached.

    Asking twice is harmless: the holder knows the request by its token.
    """
    for _ in range(_ASK_TRIES):
        try:
            async with forwarder.open_exchange(holder) as exchange:
                await exchange.send(replace(frame, exchange=exchange.id))
                reply = await exchange.receive()
                return reply if isinstance(reply, KeyState) else None
        except ConnectionLost:
            return None
        except ExchangeLost:
            continue
    return None


async def _answer_repeat(
    state: KeyState, answer: AnswerSink, trace: Trace
) -> Result[None, Refusal]:
    if state.status is not KeyStatus.FINISHED or not state.answer_status:
        refusal = _REFUSALS.get(state.status)
        return Err(refusal or Refusal(ErrorKind.INTERNAL, "unexpected key state"))
    headers = [*state.headers, (REPLAYED_HEADER, b"true")]
    await answer.start(state.answer_status, headers)
    await answer.send_part(state.body)
    await answer.finish()
    trace.answered = True
    return Ok(None)


async def _report_end(
    forwarder: Forwarder,
    holders: Sequence[Endpoint],
    req: Classified,
    key: str,
    status: KeyStatus,
    kept: KeptAnswer | None,
) -> None:
    head = req.head
    frame = KeyFinish(0, head.service, head.tenant, key, head.attempt, status)
    if kept is not None:
        frame = replace(
            frame,
            answer_status=kept.status,
            headers=kept.headers,
            body=kept.body,
        )
    if not holders:
        return
    with anyio.move_on_after(REPORT_TIMEOUT_S, shield=True):
        async with anyio.create_task_group() as tg:
            for holder in holders:
                tg.start_soon(_ask, forwarder, holder, frame)

"""Deduplicates requests by their ``Idempotency-Key``.

The record of a key is stored by two endpoints of the service, its holders. They are the
two highest-ranked ready endpoints in rendezvous hashing, among those in the request's
home regions if it has any. A request runs only after both
holders (or the only one, if the service has one endpoint) have reserved the key for it.
Holders are contacted in the order of their rank, so that two duplicates can't block
each other. A duplicate is recognized if any one holder has a record of the key.

Guarantees and limits, within the retention time of ``backends.idempotency_keys``:

- The record survives the loss or restart of one holder, and one new endpoint that ranks
  above a holder. If both holders are lost, or two new endpoints rank above both, the
  record is lost and the next request with the key counts as its first.
- Entries with different views of the endpoints recognize a duplicate as long as the
  holders that they select have one endpoint in common.
- While a holder is unreachable, new requests with its keys are refused as not run,
  until its endpoint leaves the directory. A duplicate that the other holder knows is
  still recognized.
- If the completion of a request is never reported, because its entry stopped, its key
  counts as unknown from the deadline of the request to the end of that time.

The outcome of a refusal concerns the duplicate if it is not-run (a holder is
unreachable, there are too many keys, the key was used for another request), and the
original request if it is unknown.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace
from hashlib import blake2b

import anyio
from result import Err, Ok, Result

from ..daemons import ConnectionLost, ExchangeLost
from ..daemons.frames import KeyBegin, KeyFinish, KeyState
from ..errors import ErrorKind, Refusal
from ..model import Endpoint, KeyStatus, StoredResponse
from ..routing import Eligibility
from .classify import ClassifiedRequest
from .context import ForwardingContext, RequestProgress, ResponseSink
from .recording_sink import RecordingSink

REPLAYED_HEADER = b"berylmast-replayed"
HOLDERS_PER_KEY = 2
MAX_KEY_CHARS = 255
REPORT_TIMEOUT_S = 1.0
"""Longest time to report the completion of a request to the holders, in seconds."""

_SEND_TRIES = 2

RunRequest = Callable[[ResponseSink], Awaitable[Result[None, Refusal]]]

_DUPLICATE_REFUSALS = {
    KeyStatus.RUNNING: Refusal(
        ErrorKind.DUPLICATE_RUNNING, "a request with this key is still running"
    ),
    KeyStatus.FINISHED: Refusal(
        ErrorKind.DUPLICATE_UNKNOWN,
        "the request with this key has ended; its response was not stored",
    ),
    KeyStatus.UNKNOWN: Refusal(
        ErrorKind.DUPLICATE_UNKNOWN,
        "the outcome of the request with this key is unknown",
    ),
    KeyStatus.MISMATCH: Refusal(
        ErrorKind.BAD_REQUEST, "this idempotency key was used for another request"
    ),
    KeyStatus.FULL: Refusal(ErrorKind.OVERLOADED, "too many idempotency keys in use"),
}


@dataclass(slots=True)
class _Reservation:
    """The result of reserving a key at its holders.

    ``reserved_at`` lists the holders that may have reserved the key for this request
    and must be told when it ends. ``holder_unreachable`` is set if a holder could not
    be reached. ``known`` is the reply of a holder that did not reserve the key.
    """

    reserved_at: list[Endpoint] = field(default_factory=list)
    holder_unreachable: bool = False
    known: KeyState | None = None


def select_holders(
    endpoints: Sequence[Endpoint], service: str, tenant: str, key: str
) -> list[Endpoint]:
    """Return the endpoints that store the record of a key, the highest rank first."""

    def compute_weight(endpoint: Endpoint) -> bytes:
        parts = (endpoint.backend, service, tenant, key)
        text = "\0".join(parts).encode("utf-8", "surrogateescape")
        return blake2b(text, digest_size=8).digest()

    return sorted(endpoints, key=compute_weight, reverse=True)[:HOLDERS_PER_KEY]


async def run_with_key(
    context: ForwardingContext,
    req: ClassifiedRequest,
    response: ResponseSink,
    progress: RequestProgress,
    deadline_s: float,
    run: RunRequest,
) -> Result[None, Refusal]:
    """Run a request unless its key was used; report its completion to the holders."""
    head = req.head
    key = head.idempotency_key or ""
    if not 0 < len(key) <= MAX_KEY_CHARS:
        detail = f"an idempotency key must have 1 to {MAX_KEY_CHARS} characters"
        return Err(Refusal(ErrorKind.BAD_REQUEST, detail))
    # Holders store the response, so they must be in the home regions too.
    allowed = Eligibility(req.home_regions)
    endpoints = context.endpoints(head.service)
    holders = select_holders(allowed.select(endpoints), head.service, head.tenant, key)
    if not holders:
        detail = allowed.describe_no_endpoint(head.service, endpoints)
        return Err(Refusal(ErrorKind.NO_BACKEND, detail))
    status = KeyStatus.NOT_RUN
    sink = RecordingSink(response)
    reservation = _Reservation()
    try:
        with anyio.CancelScope(deadline=deadline_s) as scope:
            await _reserve_key(reservation, context, holders, req, key, deadline_s)
        if scope.cancelled_caught:
            detail = "deadline passed while the idempotency key was checked"
            return Err(Refusal(ErrorKind.DEADLINE_NOT_RUN, detail))
        if reservation.known is not None:
            return await _respond_to_duplicate(reservation.known, response, progress)
        if reservation.holder_unreachable:
            detail = "a daemon that stores the idempotency key is unreachable"
            return Err(Refusal(ErrorKind.PEER_UNREACHABLE, detail))
        # Holds if ``run`` raises: the request may have run, so the key is not released.
        status = KeyStatus.UNKNOWN
        result = await run(sink)
        status = _get_key_status(result)
        return result
    finally:
        if status is KeyStatus.UNKNOWN and not progress.may_have_run:
            status = KeyStatus.NOT_RUN
        recorded = sink.recorded if status is KeyStatus.FINISHED else None
        await _report_completion(
            context, reservation.reserved_at, req, key, status, recorded
        )


def _get_key_status(result: Result[None, Refusal]) -> KeyStatus:
    if result.is_ok():
        return KeyStatus.FINISHED
    return KeyStatus.NOT_RUN if result.unwrap_err().not_run else KeyStatus.UNKNOWN


async def _reserve_key(
    reservation: _Reservation,
    context: ForwardingContext,
    holders: Sequence[Endpoint],
    req: ClassifiedRequest,
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
        reservation.reserved_at.append(holder)
        state = await _send_to_holder(context, holder, frame)
        if state is None:
            reservation.holder_unreachable = True
        elif state.status is not KeyStatus.NEW:
            reservation.reserved_at.remove(holder)
            reservation.known = state
            return


async def _send_to_holder(
    context: ForwardingContext, holder: Endpoint, frame: KeyBegin | KeyFinish
) -> KeyState | None:
    """Send a frame to a holder; return its reply, None if it is unreachable.

    Sending the frame again is safe, because the holder recognizes the request by its
    token.
    """
    for _ in range(_SEND_TRIES):
        try:
            async with context.open_exchange(holder) as exchange:
                await exchange.send(replace(frame, exchange=exchange.id))
                reply = await exchange.receive()
                return reply if isinstance(reply, KeyState) else None
        except ConnectionLost:
            return None
        except ExchangeLost:
            continue
    return None


async def _respond_to_duplicate(
    state: KeyState, response: ResponseSink, progress: RequestProgress
) -> Result[None, Refusal]:
    if state.status is not KeyStatus.FINISHED or not state.answer_status:
        refusal = _DUPLICATE_REFUSALS.get(state.status)
        return Err(
            refusal
            or Refusal(ErrorKind.INTERNAL, "unexpected state of the idempotency key")
        )
    headers = [*state.headers, (REPLAYED_HEADER, b"true")]
    await response.start(state.answer_status, headers)
    await response.send_part(state.body)
    await response.finish()
    progress.answered = True
    return Ok(None)


async def _report_completion(
    context: ForwardingContext,
    holders: Sequence[Endpoint],
    req: ClassifiedRequest,
    key: str,
    status: KeyStatus,
    recorded: StoredResponse | None,
) -> None:
    head = req.head
    frame = KeyFinish(0, head.service, head.tenant, key, head.attempt, status)
    if recorded is not None:
        frame = replace(
            frame,
            answer_status=recorded.status,
            headers=recorded.headers,
            body=recorded.body,
        )
    if not holders:
        return
    with anyio.move_on_after(REPORT_TIMEOUT_S, shield=True):
        async with anyio.create_task_group() as tg:
            for holder in holders:
                tg.start_soon(_send_to_holder, context, holder, frame)

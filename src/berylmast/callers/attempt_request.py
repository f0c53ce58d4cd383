"""Makes the request of one attempt, with the time that remains for it."""

from dataclasses import dataclass, replace

import anyio

from .backend_selector import Placement
from .classify import ClassifiedRequest
from .context import ForwardingContext


@dataclass(frozen=True, slots=True)
class RequestTimes:
    """Start and deadline of a request on the event loop's clock, in seconds."""

    started_s: float
    deadline_s: float

    @property
    def left_s(self) -> float:
        """Return the time that remains until the deadline."""
        return self.deadline_s - anyio.current_time()

    def get_target_left_ms(self, target_ms: int | None) -> int | None:
        """Return what remains of a latency target that counts from the start."""
        if target_ms is None:
            return None
        return target_ms - int((anyio.current_time() - self.started_s) * 1000)


def make_attempt_request(
    context: ForwardingContext,
    req: ClassifiedRequest,
    placement: Placement,
    times: RequestTimes,
    *,
    retry: bool,
) -> ClassifiedRequest | None:
    """Return the request to send to an owner now, None after its deadline."""
    remaining_ms = int(times.left_s * 1000)
    if remaining_ms <= 0:
        return None
    head = replace(
        req.head,
        # A new id for each attempt, taken just before sending: the owner's ledger
        # relies on counters that are recent.
        attempt=context.next_attempt(),
        deadline_ms=remaining_ms,
        target_ms=times.get_target_left_ms(req.head.target_ms),
        retry=req.head.retry or retry,
        may_spill=placement.may_spill,
        known_rate_limit=context.router.get_rate_limit(placement.endpoint),
    )
    return replace(req, head=head)

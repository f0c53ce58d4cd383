"""Logs and counts the attempts that an owner receives."""

from collections.abc import Callable
from dataclasses import dataclass

from ..errors import ErrorKind, Refusal
from ..model import LoadReport, RequestHead
from ..telemetry import EventRateLimiter
from .dispatch import DispatchResult
from .ledger import AttemptRecord

MAX_LOG_LINES_PER_S = 20.0
"""Log lines per second for each kind of refusal and failure, and for responses."""

_ANSWERED = "answered"


@dataclass(slots=True)
class AttemptCounts:
    """Counts the attempts that ended at this owner since it started.

    ``on_time`` and ``late`` count responses that met or missed what remained of the
    request's latency target on arrival; those without a target are on time. ``refused``
    counts attempts that admission control or the backend server refused, except those
    refused as busy, which the entry may retry at another owner. ``failed`` counts all
    other admitted attempts: server errors, lost responses, unreachable backend servers,
    and attempts that were cancelled or ran out of time. Attempts that the entry
    cancelled while they waited for admission are not counted.
    """

    on_time: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class AttemptTiming:
    """Queueing and execution time of an admitted attempt, in seconds.

    ``in_flight`` is the number of requests at the backend server when the attempt was
    admitted, including the attempt itself.
    """

    waited_s: float
    ran_s: float
    in_flight: int


class AttemptLog:
    """Logs how each attempt ended, with the load at that time, and counts attempts.

    ``get_backend`` returns the id of the current backend server.
    """

    def __init__(
        self, get_load: Callable[[], LoadReport], get_backend: Callable[[], str]
    ) -> None:
        self.counts = AttemptCounts()
        self._get_load = get_load
        self._get_backend = get_backend
        self._rates = EventRateLimiter(MAX_LOG_LINES_PER_S)

    def log_refused(self, head: RequestHead, refusal: Refusal, waited_s: float) -> None:
        """Log an attempt that was refused before dispatch."""
        if refusal.kind is ErrorKind.BUSY:
            # The entry retries at another owner within milliseconds and logs the
            # outcome of that attempt.
            return
        self.counts.refused += 1
        load = self._get_load()
        self._rates.write(
            refusal.kind,
            "refused",
            request=head.request_id,
            attempt=head.attempt,
            backend=load.backend,
            reason=refusal.kind,
            detail=refusal.detail,
            waited_ms=waited_s * 1000,
            target_ms=head.target_ms,
            deadline_ms=head.deadline_ms,
            in_flight=load.in_flight,
            queued=load.queued,
            slots=load.limit,
            slowdown=load.slowdown,
        )

    def log_ended(
        self,
        head: RequestHead,
        record: AttemptRecord,
        result: DispatchResult,
        timing: AttemptTiming,
    ) -> None:
        """Log an admitted attempt: its response, or why it has none."""
        self._count(head, result, timing)
        load = self._get_load()
        failed = record.kind is not None
        self._rates.write(
            record.kind or _ANSWERED,
            "attempt_failed" if failed else "attempt_answered",
            request=head.request_id,
            attempt=head.attempt,
            backend=self._get_backend(),
            reason=record.kind or "",
            detail=record.detail,
            status=result.status or 0,
            rank=head.rank,
            waited_ms=timing.waited_s * 1000,
            ran_ms=timing.ran_s * 1000,
            target_ms=head.target_ms,
            deadline_ms=head.deadline_ms,
            in_flight=timing.in_flight,
            slowdown=load.slowdown,
        )

    def _count(
        self, head: RequestHead, result: DispatchResult, timing: AttemptTiming
    ) -> None:
        took_ms = (timing.waited_s + timing.ran_s) * 1000
        if result.refused:
            self.counts.refused += 1
        elif not result.ok:
            self.counts.failed += 1
        elif head.target_ms is None or took_ms <= head.target_ms:
            self.counts.on_time += 1
        else:
            self.counts.late += 1

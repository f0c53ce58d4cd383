"""Log lines and counters of the attempts that reach an owner."""

from collections.abc import Callable
from dataclasses import dataclass

from ..errors import ErrorKind, Refusal
from ..model import LoadReport, RequestHead
from ..telemetry import EventRates
from .dispatch import DispatchEnd
from .ledger import Ending

LINES_PER_S = 20.0
"""Lines a second of each kind of refusal and of failure, and of answers."""

_ANSWERED = "answered"


@dataclass(slots=True)
class AttemptCounts:
    """Attempts that ended at this owner since it started.

    ``on_time`` and ``late`` count answers by what the request's objective left when it
    arrived; ``failed`` counts server errors, lost answers and attempts that the entry
    gave up; ``refused`` counts those that were not dispatched, but for the ones that
    another owner may serve at once.
    """

    on_time: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """An attempt at the backend server: its waiting and running time in seconds.

    ``in_flight`` counts the requests at the backend server when it began, itself
    included.
    """

    waited_s: float
    ran_s: float
    in_flight: int


class AttemptLog:
    """Writes how attempts ended, with the load that decided it, and counts them.

    ``get_backend`` gives the id of the backend server that runs now.
    """

    def __init__(
        self, report: Callable[[], LoadReport], get_backend: Callable[[], str]
    ) -> None:
        self.counts = AttemptCounts()
        self._report = report
        self._get_backend = get_backend
        self._rates = EventRates(LINES_PER_S)

    def refused(self, head: RequestHead, refusal: Refusal, waited_s: float) -> None:
        """Log an attempt that was refused before dispatch."""
        if refusal.kind is ErrorKind.BUSY:
            # The entry asks another owner within milliseconds and logs how that ends.
            return
        self.counts.refused += 1
        load = self._report()
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

    def ended(
        self, head: RequestHead, ending: Ending, end: DispatchEnd, run: Run
    ) -> None:
        """Log an attempt that was dispatched: its answer, or why there is none."""
        self._count(head, end, run)
        load = self._report()
        failed = ending.kind is not None
        self._rates.write(
            ending.kind or _ANSWERED,
            "attempt_failed" if failed else "attempt_answered",
            request=head.request_id,
            attempt=head.attempt,
            backend=self._get_backend(),
            reason=ending.kind or "",
            detail=ending.detail,
            status=end.status or 0,
            rank=head.rank,
            waited_ms=run.waited_s * 1000,
            ran_ms=run.ran_s * 1000,
            target_ms=head.target_ms,
            deadline_ms=head.deadline_ms,
            in_flight=run.in_flight,
            slowdown=load.slowdown,
        )

    def _count(self, head: RequestHead, end: DispatchEnd, run: Run) -> None:
        took_ms = (run.waited_s + run.ran_s) * 1000
        if end.refused:
            self.counts.refused += 1
        elif not end.ok:
            self.counts.failed += 1
        elif head.target_ms is None or took_ms <= head.target_ms:
            self.counts.on_time += 1
        else:
            self.counts.late += 1

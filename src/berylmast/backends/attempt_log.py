"""Log lines of the attempts that an owner refuses or that fail."""

from collections.abc import Callable

from ..errors import ErrorKind, Refusal
from ..model import LoadReport, RequestHead
from ..telemetry import EventRates
from .ledger import Ending

LINES_PER_S = 20.0
"""Lines a second of each kind of refusal and of failure."""


class AttemptLog:
    """Writes why an attempt did not come to an answer, with the load that decided it.

    ``get_backend`` gives the id of the backend server that runs now.
    """

    def __init__(
        self, report: Callable[[], LoadReport], get_backend: Callable[[], str]
    ) -> None:
        self._report = report
        self._get_backend = get_backend
        self._rates = EventRates(LINES_PER_S)

    def refused(self, head: RequestHead, refusal: Refusal, waited_s: float) -> None:
        """Log an attempt that was refused before dispatch."""
        if refusal.kind is ErrorKind.BUSY:
            # The entry asks another owner within milliseconds and logs how that ends.
            return
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
            deadline_ms=head.deadline_ms,
            in_flight=load.in_flight,
            queued=load.queued,
            slots=load.limit,
            slowdown=load.slowdown,
        )

    def ended(self, head: RequestHead, ending: Ending, ran_s: float) -> None:
        """Log an attempt that failed, or that its entry gave up."""
        if ending.kind is None:
            return
        load = self._report()
        self._rates.write(
            ending.kind,
            "attempt_failed",
            request=head.request_id,
            attempt=head.attempt,
            backend=self._get_backend(),
            reason=ending.kind,
            detail=ending.detail,
            ran_ms=ran_s * 1000,
            deadline_ms=head.deadline_ms,
            in_flight=load.in_flight,
            slowdown=load.slowdown,
        )

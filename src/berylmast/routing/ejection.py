"""Ejection of backend servers that return errors, and their readmission."""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

MAX_CONSECUTIVE_ERRORS = 5
ERROR_WINDOW_RESULTS = 20
MIN_WINDOW_RESULTS = 10
MAX_ERROR_RATIO = 0.5
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
TRIALS_TO_READMIT = 3
TRIAL_TIMEOUT_S = 30.0
"""After this time a further trial may start although the last one has no result yet.

Otherwise a trial whose result is lost would block readmission forever.
"""

IDEMPOTENT_TRIAL_WAIT_S = 30.0
"""Time for which a due trial is reserved for idempotent requests.

Afterwards any request may be the trial. Otherwise a service without idempotent
requests, such as one that only receives switching commands, would never readmit a
backend server.
"""

MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of a set of backend servers that is treated as ejected.

If more of them return errors, the backend servers themselves are unlikely to be the
cause, and ejecting them would overload the remaining ones.
"""


@dataclass(slots=True)
class _BackendResults:
    consecutive_errors: int = 0
    results: deque[bool] = field(
        default_factory=lambda: deque(maxlen=ERROR_WINDOW_RESULTS)
    )
    ejected_at_s: float | None = None
    backoff_s: float = FIRST_BACKOFF_S
    next_trial_at_s: float = 0.0
    trials_passed: int = 0
    trial_running: bool = False

    def reaches_error_limit(self) -> bool:
        """Return whether consecutive errors or the error ratio reach their limit."""
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            return True
        count = len(self.results)
        return (
            count >= MIN_WINDOW_RESULTS and sum(self.results) >= MAX_ERROR_RATIO * count
        )


class EjectionTracker:
    """Tracks results per backend server and which ones get only trial requests."""

    def __init__(self) -> None:
        self._records: dict[str, _BackendResults] = {}
        self._ejected: dict[str, _BackendResults] = {}

    def record(self, backend: str, error: bool, now_s: float) -> bool:
        """Record a result; return True if it readmits an ejected backend server."""
        record = self._records.setdefault(backend, _BackendResults())
        record.consecutive_errors = record.consecutive_errors + 1 if error else 0
        record.results.append(error)
        if record.ejected_at_s is not None:
            return self._record_trial_result(backend, record, error, now_s)
        if record.reaches_error_limit():
            record.ejected_at_s = now_s
            self._ejected[backend] = record
            record.next_trial_at_s = now_s + record.backoff_s
            record.trials_passed = 0
        return False

    def _record_trial_result(
        self, backend: str, record: _BackendResults, error: bool, now_s: float
    ) -> bool:
        # Requests that were sent before the ejection may fail after it. They are not
        # trials and do not extend the backoff.
        if error and record.trial_running:
            record.backoff_s = min(2 * record.backoff_s, MAX_BACKOFF_S)
            record.next_trial_at_s = now_s + record.backoff_s
            record.trials_passed = 0
        record.trial_running = False
        if error:
            return False
        record.trials_passed += 1
        record.next_trial_at_s = now_s
        if record.trials_passed < TRIALS_TO_READMIT:
            return False
        record.ejected_at_s = None
        del self._ejected[backend]
        record.results.clear()
        # Halved rather than reset: a backend server that soon fails again then stays
        # ejected for longer than the first time.
        record.backoff_s = max(record.backoff_s / 2, FIRST_BACKOFF_S)
        return True

    def list_ejected_within_limit(self, backends: Collection[str]) -> list[str]:
        """Return the ejected backend servers of a set, longest ejected first.

        At most MAX_EJECTED_FRACTION of the set is returned.
        """
        if not self._ejected:
            return []
        # The dict keeps insertion order, which is the order of ejection.
        ejected = [backend for backend in self._ejected if backend in backends]
        count = int(len(backends) * MAX_EJECTED_FRACTION)
        return ejected[:count]

    def list_all_ejected(self) -> list[str]:
        """Return all ejected backend servers, longest ejected first.

        MAX_EJECTED_FRACTION does not apply.
        """
        return list(self._ejected)

    def is_trial_due(
        self, backend: str, now_s: float, *, idempotent: bool = True
    ) -> bool:
        """Return whether a request may be the trial of an ejected backend server."""
        record = self._ejected.get(backend)
        if record is None:
            return False
        wait_s = 0.0 if idempotent else IDEMPOTENT_TRIAL_WAIT_S
        return now_s >= record.next_trial_at_s + wait_s

    def start_trial(self, backend: str, now_s: float) -> None:
        """Mark a trial as running.

        No further trial is due until it has a result or TRIAL_TIMEOUT_S has passed.
        """
        record = self._records[backend]
        record.trial_running = True
        record.next_trial_at_s = now_s + TRIAL_TIMEOUT_S

    def start_due_trial(
        self, backends: Iterable[str], idempotent: bool, now_s: float
    ) -> str | None:
        """Start a trial of the first backend server for which one is due.

        Returns that backend server, or None if no trial is due.
        """
        for backend in backends:
            if self.is_trial_due(backend, now_s, idempotent=idempotent):
                self.start_trial(backend, now_s)
                return backend
        return None

    def copy_subset(self, backends: Collection[str]) -> "EjectionTracker":
        """Return an independent copy that covers only the given backend servers."""
        other = EjectionTracker()
        other._records = {
            backend: replace(record, results=record.results.copy())
            for backend, record in self._records.items()
            if backend in backends
        }
        other._ejected = {
            backend: other._records[backend]
            for backend in self._ejected
            if backend in backends
        }
        return other

    def forget(self, backend: str) -> None:
        """Delete the record of a backend server that restarted or was removed."""
        self._records.pop(backend, None)
        self._ejected.pop(backend, None)

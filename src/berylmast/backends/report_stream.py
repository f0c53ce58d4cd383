"""Decides whether a backend server still sends reports after this daemon has started.

Load pattern: all daemons restart at once while the store is down. A server that left
before has its departure in no memory, and one of its reports may arrive seconds late.
Only a server that goes on reporting is in service.
"""

from .backend_state import BackendReport

CONFIRMING_REPORTS = 3
"""Number of reports, at any distance, that only a running server is taken to send. A
server that reports less often than expected must not stay out for ever."""


class ReportStream:
    """Tracks the first reports that a daemon gets after its start.

    ``started_s`` is the time of the start. The server of the first report is used at
    once, because a running one must not wait, and no longer than ``max_gap_s``, the
    longest time between two reports of a running server, if no second one follows. A
    server that this daemon may have known before its restart, and whose first report
    comes later than a running server sends it, is used from the second report on. A
    server that starts later than the first one is used at once: this daemon has heard
    all departures since. Times are in seconds on the event loop's clock.
    """

    def __init__(self, started_s: float, max_gap_s: float) -> None:
        self._started_s = started_s
        self._max_gap_s = max_gap_s
        self._first: BackendReport | None = None
        self._count = 0
        self._last_s = 0.0
        self._confirmed = False
        self._silent = False

    @property
    def is_empty(self) -> bool:
        """Return whether no report has been recorded yet."""
        return self._first is None

    @property
    def silent(self) -> bool:
        """Return whether the reports so far may be late ones of a server that left."""
        return self._silent

    def record(self, report: BackendReport, now_s: float, *, known: bool) -> None:
        """Record a report that is newer than all before.

        ``known`` is set if the server may have reported before this daemon's start.
        """
        first = self._first
        self._count += 1
        if first is None:
            self._first = report
            age_s = now_s - self._started_s
            self._silent = known and age_s > self._max_gap_s
        elif (
            _is_other_start(first, report)
            or now_s - self._last_s <= self._max_gap_s
            or self._count >= CONFIRMING_REPORTS
        ):
            self._confirmed = True
            self._silent = False
        self._last_s = now_s

    def check(self, now_s: float) -> bool:
        """Take the server for silent if its second report is overdue.

        Returns whether that is new.
        """
        overdue = now_s - self._last_s >= self._max_gap_s
        if self._first is None or self._confirmed or self._silent or not overdue:
            return False
        self._silent = True
        return True


def _is_other_start(first: BackendReport, report: BackendReport) -> bool:
    return (first.backend, first.born_ms) != (report.backend, report.born_ms)

"""Decides whether a backend server still sends reports after this daemon has started.

Load pattern: all daemons restart at once while the store is down. A server that left
before has its departure in no memory, and one of its reports may arrive seconds late.
Only a server that goes on reporting is in service.
"""

from .backend_state import BackendReport

MAX_REPORT_GAP_S = 1.9
"""Longest time in seconds between two reports of a running backend server, which sends
them about every 1.5 s."""


class ReportStream:
    """Tracks the first reports that a daemon gets after its start.

    ``started_s`` is the time of the start. The server of the first report is used at
    once, because a running one must not wait, and no longer than ``MAX_REPORT_GAP_S``
    if no second report follows. A server that this daemon may have known before its
    restart, and whose first report comes later than a running server sends it, is used
    from the second report on. A server that starts later than the first one is used at
    once: this daemon has heard all departures since. Times are in seconds on the event
    loop's clock.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._first: BackendReport | None = None
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
        if first is None:
            self._first = report
            age_s = now_s - self._started_s
            self._silent = known and age_s > MAX_REPORT_GAP_S
        elif _is_other_start(first, report) or now_s - self._last_s <= MAX_REPORT_GAP_S:
            self._confirmed = True
            self._silent = False
        self._last_s = now_s

    def check(self, now_s: float) -> bool:
        """Take the server for silent if its second report is overdue.

        Returns whether that is new.
        """
        overdue = now_s - self._last_s >= MAX_REPORT_GAP_S
        if self._first is None or self._confirmed or self._silent or not overdue:
            return False
        self._silent = True
        return True


def _is_other_start(first: BackendReport, report: BackendReport) -> bool:
    return (first.backend, first.born_ms) != (report.backend, report.born_ms)

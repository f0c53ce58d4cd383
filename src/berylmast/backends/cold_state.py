"""Decides whether the local backend server is cold, and until when.

Fault: a server becomes cold between two of its reports, and crashes if it gets more
than a few requests a second meanwhile. A restarted owner knows nothing of its server.
"""

from dataclasses import dataclass

from .backend_state import BackendReport

UNKNOWN_UNTIL_S = float("inf")
"""End of the cold state of a server that nothing is known about."""


@dataclass(frozen=True, slots=True)
class ColdStatement:
    """What a health response states about the warm-up of its server.

    ``cold_left_s`` is the remaining time in seconds, 0 if the server is warm, None if
    the response says nothing usable. ``invalid`` is set if it states a time that can't
    be used. ``implied`` is set if the server counts as warm because the response states
    no time.
    """

    cold_left_s: float | None = None
    invalid: bool = False
    implied: bool = False


class ColdStateTracker:
    """Keeps what the reports and health responses of the current server state.

    Times are seconds on the event loop's clock. A server counts as cold until a report
    or a health response has said otherwise, then until the later of the ends that the
    latest report and the latest health response stated. The time of a report counts
    from its arrival, because it is unknown when it was sent. So it never shortens what
    a health response stated, which may be newer. A health response replaces the reports
    that arrived before its query was sent. One that only implies that the server is
    warm ends no cold time, stated or unknown.
    """

    def __init__(self) -> None:
        self._server: tuple[str, int] | None = None
        self._sequence = -1
        self._reported_s = float("-inf")
        self._report_until_s: float | None = None
        self._health_sent_s = float("-inf")
        self._health_until_s: float | None = None
        self._warm_s = float("-inf")

    @property
    def confirmed_s(self) -> float:
        """Return when the last query was sent whose response stated "warm"."""
        return self._warm_s

    @property
    def health_sent_s(self) -> float:
        """Return when the last query was sent whose response stated cold or warm."""
        return self._health_sent_s

    @property
    def cold_until_s(self) -> float:
        """Return the end of the cold state, infinity if nothing is known."""
        known = [
            until_s
            for until_s in (self._report_until_s, self._health_until_s)
            if until_s is not None
        ]
        return max(known, default=UNKNOWN_UNTIL_S)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is cold, also if nothing is known about it."""
        return now_s < self.cold_until_s

    def record_report(self, report: BackendReport, now_s: float) -> None:
        """Apply a report of the current server that arrived at ``now_s``.

        A report that is older than the last one of the same server changes nothing.
        """
        server = (report.backend, report.born_ms)
        if server != self._server:
            self._forget(server)
        elif report.sequence <= self._sequence:
            return
        self._sequence = report.sequence
        self._reported_s = now_s
        self._report_until_s = now_s + report.cold_left_s

    def record_health(
        self, statement: ColdStatement, sent_s: float, now_s: float
    ) -> None:
        """Apply a response that arrived at ``now_s`` to a query sent at ``sent_s``."""
        left_s = statement.cold_left_s
        if left_s is None or sent_s < self._health_sent_s:
            return
        self._health_sent_s = sent_s
        if statement.implied and self.is_cold(now_s):
            return
        if sent_s >= self._reported_s:
            self._report_until_s = None
        if left_s > 0:
            self._health_until_s = now_s + left_s
        else:
            self._health_until_s = sent_s
            self._warm_s = sent_s

    def _forget(self, server: tuple[str, int]) -> None:
        """Begin with a server that replaced the last one, or with a restarted one."""
        first = self._server is None
        self._server = server
        self._report_until_s = None
        if not first:
            self._health_until_s = None
            self._warm_s = float("-inf")

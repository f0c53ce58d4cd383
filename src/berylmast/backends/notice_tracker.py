"""Tracks what the local backend server states about itself in its responses."""

import math
from collections.abc import Callable

from ..model import BackendNotice
from ..telemetry import EventRateLimiter
from .backend_state import BackendReport

MAX_LOG_LINES_PER_S = 5.0
"""A limit may change with each response."""


class NoticeTracker:
    """Keeps the rate limit and the leaving notice of the current backend server.

    ``get_report`` returns the latest report of the backend server. A limit holds until
    a response of the same server states another one or none. A leaving notice holds
    until another server, or a new incarnation, has reported. A limit that can't be used
    changes nothing, as the server may still need the last one.

    A daemon that has restarted knows no limit until its server has responded. Until
    then it takes over the limit that the entries know.
    """

    def __init__(self, get_report: Callable[[], BackendReport | None]) -> None:
        self.notice_count = 0
        self.invalid_limit_count = 0
        self._get_report = get_report
        self._server: tuple[str, int] | None = None
        self._rate_limit: float | None = None
        self._leaving = False
        # Whether entries may know more: no response came since this daemon started.
        self._may_adopt = True
        self._on_leaving: Callable[[], None] = lambda: None
        self._rates = EventRateLimiter(MAX_LOG_LINES_PER_S)

    @property
    def rate_limit(self) -> float | None:
        """Return the limit in requests per second, None if there is none."""
        self._follow_backend()
        return self._rate_limit

    @property
    def leaving(self) -> bool:
        """Return whether the current server has stated that it is leaving."""
        self._follow_backend()
        return self._leaving

    def set_leaving_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the current server first states its leaving."""
        self._on_leaving = listener

    def record_response(self, backend: str, notice: BackendNotice) -> None:
        """Apply what a response to a request for ``backend`` states."""
        if not self._is_current(backend):
            return
        self._may_adopt = False
        self._record(notice, "response")
        if not notice.invalid_limit:
            self._set_rate_limit(notice.rate_limit, "response")

    def record_health(self, backend: str, notice: BackendNotice) -> None:
        """Apply what a health response states.

        Health responses need not repeat the limit, so one without it ends no limit.
        """
        if not self._is_current(backend):
            return
        self._record(notice, "health")
        if notice.rate_limit is not None:
            self._set_rate_limit(notice.rate_limit, "health")

    def adopt_rate_limit(self, rate_limit: float) -> None:
        """Take over the limit that an entry knows, unless the server has responded."""
        self._follow_backend()
        valid = math.isfinite(rate_limit) and rate_limit >= 0
        if valid and self._may_adopt and self._server is not None:
            self._set_rate_limit(rate_limit, "entry")

    def _is_current(self, backend: str) -> bool:
        self._follow_backend()
        return self._server is not None and self._server[0] == backend

    def _follow_backend(self) -> None:
        """Forget the notices of a server that another one has replaced."""
        report = self._get_report()
        server = None if report is None else (report.backend, report.born_ms)
        if server != self._server:
            # What entries know may be about the server that was replaced.
            self._may_adopt = self._server is None
            self._server = server
            self._rate_limit = None
            self._leaving = False

    def _record(self, notice: BackendNotice, source: str) -> None:
        if notice.rate_limit is not None or notice.leaving:
            self.notice_count += 1
        if notice.invalid_limit:
            self.invalid_limit_count += 1
            self._log("invalid_limit", "backend_limit_invalid", source)
        if notice.leaving and not self._leaving:
            self._leaving = True
            self._log("leaving", "backend_leaving", source)
            self._on_leaving()

    def _set_rate_limit(self, rate_limit: float | None, source: str) -> None:
        if rate_limit == self._rate_limit:
            return
        old, self._rate_limit = self._rate_limit, rate_limit
        self._log(
            "limit", "backend_rate_limit", source, per_s=rate_limit, old_per_s=old
        )

    def _log(self, key: str, event: str, source: str, **fields: object) -> None:
        backend = "" if self._server is None else self._server[0]
        self._rates.write(key, event, backend=backend, source=source, **fields)

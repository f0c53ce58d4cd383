"""Keeps requests to a cold server within its bound, also before it is known as cold.

Fault: a server becomes cold at any moment, also between two reports and while its owner
restarts. In any second at most ``rate * overrun + slack`` requests may reach it.
"""

import math
from collections.abc import Awaitable, Callable

import anyio

from ..limits.start_window import StartWindow
from ..model import ServiceSlice
from ..settings import ColdServerSettings
from ..telemetry import EventRateLimiter
from .backend_state import BackendReport
from .cold_state import ColdStatement, ColdStateTracker

CONFIRM_FRACTION = 0.85
"""Fraction of the bound that may start unconfirmed before the health path is queried,
so that the response arrives before the bound holds any request back."""

MIN_QUERY_INTERVAL_S = 0.025
"""Shortest time in seconds between two queries. Together with the queries for the load,
which share their responses, a server gets less than 60 health checks a second."""

RETRY_INTERVAL_S = 0.25
"""Time in seconds between two queries while the health path states nothing usable."""

COLD_QUERY_INTERVAL_S = 1.0
"""Time in seconds between two queries of a cold server that gets requests. It may
become warm earlier than it stated."""

UNANSWERED_LIMIT_S = 1.0
"""Time in seconds since the first query without a usable answer, after which the server
counts as cold."""

MAX_SLEEP_S = 3600.0
"""Longest wait for the end of a stated time, which may be any number."""

MAX_LOG_LINES_PER_S = 2.0

_ROUNDING_S = 1e-6

_HEALTH_QUERIES = 1
"""Health queries that a server gets before its owner learns that it is cold. They count
towards the bound."""


class ColdStartGuard:
    """Limits the starts at the local backend server while it is or may be cold.

    ``get_slice`` returns the slice of the server's service, None if it is unknown. The
    guard takes effect while that slice has a rate for cold servers. ``query_health``
    queries the health path once; its response goes to ``record_health``. ``began_s`` is
    the start of this process on the event loop's clock.
    """

    def __init__(
        self,
        settings: ColdServerSettings,
        get_slice: Callable[[], ServiceSlice | None],
        query_health: Callable[[], Awaitable[None]],
        began_s: float,
    ) -> None:
        self.query_count = 0
        self.invalid_statement_count = 0
        self._settings = settings
        self._get_slice = get_slice
        self._query_health = query_health
        self._tracker = ColdStateTracker()
        self._window = StartWindow(began_s)
        self._listener: Callable[[], None] = lambda: None
        self._query_wanted = anyio.Event()
        self._next_query_s = float("-inf")
        self._unanswered_since_s: float | None = None
        self._logged_cold: bool | None = None
        self._rates = EventRateLimiter(MAX_LOG_LINES_PER_S)

    def set_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when requests that wait may be allowed to start."""
        self._listener = listener

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is limited because it is or may be cold."""
        return self._get_rate_per_s() is not None and self._is_cold(now_s)

    def get_rate_limit(self) -> float | None:
        """Return the limit in requests per second, None if the server is warm."""
        now_s = anyio.current_time()
        rate_per_s = self._get_rate_per_s()
        if rate_per_s is None or not self._is_cold(now_s):
            return None
        self._query_if_due(now_s)
        return rate_per_s

    def get_wait_s(self, now_s: float) -> float:
        """Return the time in seconds until the bound allows a start."""
        rate_per_s = self._get_rate_per_s()
        if rate_per_s is None:
            return 0.0
        allowed = self._get_allowed(rate_per_s)
        wait_s = self._window.get_wait_s(now_s, self._tracker.confirmed_s, allowed)
        if wait_s > 0:
            self._query_if_due(now_s)
        return wait_s

    def get_expected_wait_s(self, now_s: float) -> float:
        """Return the expected time in seconds until a start.

        It is 0 for a server that was warm and answers: a query will soon confirm that
        it still is.
        """
        unanswered = self._unanswered_since_s is not None
        if unanswered or self._is_cold(now_s):
            return self.get_wait_s(now_s)
        return 0.0

    def record_start(self, now_s: float) -> None:
        """Count a start; ask for confirmation before the bound is reached."""
        self._window.record_start(now_s)
        rate_per_s = self._get_rate_per_s()
        if rate_per_s is None:
            return
        count = self._window.count(now_s, self._tracker.confirmed_s)
        if count >= CONFIRM_FRACTION * self._get_allowed(rate_per_s):
            self._query_if_due(now_s)

    def record_report(self, report: BackendReport) -> None:
        """Apply a report of the current server that has just arrived."""
        now_s = anyio.current_time()
        self._tracker.record_report(report, now_s)
        self._log_change(now_s, "report")
        # A change of the cold state changes the limit of the requests that wait.
        self._listener()

    def record_health(self, statement: ColdStatement, sent_s: float) -> None:
        """Apply the statement in the response to a health query sent at ``sent_s``."""
        now_s = anyio.current_time()
        if statement.invalid:
            self.invalid_statement_count += 1
            self._rates.write("invalid", "backend_cold_invalid")
        if statement.cold_left_s is None:
            return
        self._unanswered_since_s = None
        self._tracker.record_health(statement, sent_s, now_s)
        self._log_change(now_s, "health")
        self._listener()

    async def run(self) -> None:
        """Query the health path when a query is due, until cancelled."""
        while True:
            with anyio.move_on_after(self._get_cold_left_s()):
                await self._query_wanted.wait()
            if not self._query_wanted.is_set():
                self._log_change(anyio.current_time(), "time")
                self._listener()
                continue
            await anyio.sleep(max(0.0, self._next_query_s - anyio.current_time()))
            await self._query()
            self._query_wanted = anyio.Event()
            self._listener()

    async def _query(self) -> None:
        self.query_count += 1
        started_s = anyio.current_time()
        last_answered_s = self._tracker.health_sent_s
        await self._query_health()
        now_s = anyio.current_time()
        interval_s = MIN_QUERY_INTERVAL_S
        if self._tracker.health_sent_s == last_answered_s:
            if self._unanswered_since_s is None:
                self._unanswered_since_s = started_s
            interval_s = RETRY_INTERVAL_S
        elif self._tracker.is_cold(now_s):
            interval_s = COLD_QUERY_INTERVAL_S
        self._next_query_s = now_s + interval_s

    def _query_if_due(self, now_s: float) -> None:
        cold = self._tracker.is_cold(now_s)
        if cold and now_s < self._next_query_s:
            return
        self._query_wanted.set()

    def _is_cold(self, now_s: float) -> bool:
        since_s = self._unanswered_since_s
        if since_s is not None and now_s - since_s >= UNANSWERED_LIMIT_S:
            return True
        return self._tracker.is_cold(now_s)

    def _get_cold_left_s(self) -> float:
        """Return the seconds until the stated end of the cold state, else infinity."""
        left_s = self._tracker.cold_until_s - anyio.current_time()
        return min(left_s, MAX_SLEEP_S) + _ROUNDING_S if left_s > 0 else math.inf

    def _get_rate_per_s(self) -> float | None:
        service = self._get_slice()
        return None if service is None else service.cold_rate_per_s

    def _get_allowed(self, rate_per_s: float) -> int:
        """Return the number of starts allowed in any second at a cold server."""
        allowed = rate_per_s * self._settings.overrun + self._settings.slack
        return max(1, math.floor(allowed) - _HEALTH_QUERIES)

    def _log_change(self, now_s: float, source: str) -> None:
        cold = self.is_cold(now_s)
        if cold == self._logged_cold or self._get_rate_per_s() is None:
            return
        self._logged_cold = cold
        left_s = self._tracker.cold_until_s - now_s if cold else 0.0
        left_ms = round(left_s * 1000) if math.isfinite(left_s) else None
        self._rates.write(
            "cold", "backend_cold", cold=cold, source=source, left_ms=left_ms
        )

"""Tracks the state that the local backend server reports about itself."""

from collections.abc import Callable
from dataclasses import dataclass

MAX_DEPARTED = 64
"""Departed backend servers that are remembered, so that a delayed report from one of
them is not taken for a running server."""


@dataclass(frozen=True, slots=True)
class BackendReport:
    """One state report of a backend server.

    ``born_ms`` is the server's start time as Unix time in milliseconds. ``sequence``
    increases with each report since that start. ``address`` is ``HOST:PORT``.
    ``cold_left_s`` is the remaining warm-up time in seconds, during which the server is
    slow.
    """

    backend: str
    service: str
    address: str
    slots: int
    draining: bool
    born_ms: int
    sequence: int
    cold_left_s: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key of the reports sent from one address."""
        return (self.born_ms, self.sequence)


@dataclass(frozen=True, slots=True)
class Departure:
    """A backend server's notice that it is shutting down permanently.

    ``born_ms`` is the server's start time, 0 if the notice does not state it.
    """

    backend: str
    born_ms: int


class BackendState:
    """Keeps the latest report of the backend server beside this daemon.

    Reports can arrive out of order, and a report of a stopped server can arrive after
    another server has started at the same address. The server with the latest start
    time takes precedence, unless it is known which one is at the address. ``left`` is
    True once the current server has departed.
    """

    def __init__(self) -> None:
        self.current: BackendReport | None = None
        self.left = False
        self._departures: dict[str, int] = {}
        self._on_report: Callable[[BackendReport], None] = lambda _report: None

    def set_report_listener(self, listener: Callable[[BackendReport], None]) -> None:
        """Call ``listener`` with each report that becomes the current one."""
        self._on_report = listener

    @property
    def serving(self) -> BackendReport | None:
        """Return the current report if its backend server accepts requests."""
        report = self.current
        if report is None or report.draining or self.left:
            return None
        return report

    def apply_report(self, report: BackendReport) -> bool:
        """Apply a report; return False if it is outdated or its sender has departed."""
        known = self.current
        if known is not None and report.order <= known.order:
            return False
        if self.has_departed(report):
            return False
        self.replace_current(report)
        return True

    def has_departed(self, report: BackendReport) -> bool:
        """Return whether the sender of a report has departed since its start."""
        return report.born_ms <= self._departures.get(report.backend, -1)

    def replace_current(self, report: BackendReport) -> None:
        """Take the sender of a report for the current server, whenever it started."""
        self.current = report
        self.left = False
        self._on_report(report)

    def apply_departure(self, departure: Departure) -> bool:
        """Record a departure; return False if it is not of the current server."""
        known = self.current
        is_current = known is not None and known.backend == departure.backend
        born_ms = departure.born_ms
        if known is not None and is_current:
            if born_ms and born_ms < known.born_ms:
                return False
            born_ms = known.born_ms
        self._departures[departure.backend] = born_ms
        while len(self._departures) > MAX_DEPARTED:
            del self._departures[next(iter(self._departures))]
        if is_current:
            self.left = True
        return is_current

"""What the local backend server reports of itself, in the order of its own counts."""

from dataclasses import dataclass

MAX_DEPARTED = 64
"""Backend servers remembered as departed, so that a late report does not revive one."""


@dataclass(frozen=True, slots=True)
class BackendReport:
    """One report of a backend server.

    ``born_ms`` is the Unix time of its start in milliseconds and ``sequence`` counts
    the reports since. ``address`` is ``HOST:PORT``. ``cold_left_s`` is how much longer
    it stays slow after its start, in seconds.
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
        """Return the key that orders the reports made at one address."""
        return (self.born_ms, self.sequence)


@dataclass(frozen=True, slots=True)
class Departure:
    """A backend server's message that it leaves for good."""

    backend: str
    born_ms: int


class AnnouncedBackend:
    """The newest report of the backend server beside this daemon.

    Reports may arrive late, also those of a backend server that has ended while another
    one runs at its address: the one that was born last counts.
    """

    def __init__(self) -> None:
        self.current: BackendReport | None = None
        self.left = False
        self._departed: dict[str, int] = {}

    @property
    def serving(self) -> BackendReport | None:
        """Return the report of a backend server that may get requests."""
        report = self.current
        if report is None or report.draining or self.left:
            return None
        return report

    def take_report(self, report: BackendReport) -> bool:
        """Adopt a report; False if a newer one, or the end of its sender, is known."""
        known = self.current
        if known is not None and report.order <= known.order:
            return False
        if report.born_ms <= self._departed.get(report.backend, -1):
            return False
        self.current = report
        self.left = False
        return True

    def take_departure(self, departure: Departure) -> bool:
        """Note that a backend server leaves; False if it is not the current one."""
        known = self.current
        is_current = known is not None and known.backend == departure.backend
        born_ms = departure.born_ms
        if known is not None and is_current:
            if born_ms and born_ms < known.born_ms:
                return False
            born_ms = known.born_ms
        self._departed[departure.backend] = born_ms
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        if is_current:
            self.left = True
        return is_current

"""Remembers which backend servers have stated that they are leaving.

Load pattern: none; a server that is shutting down must get no more requests, even where
its record, its reports or the store say later that it is ready.
"""

from ..model import Endpoint, LoadReport

MAX_LEAVING = 1_024
"""Servers that are remembered; the oldest are forgotten first."""


class LeavingBackends:
    """Keeps the incarnations that stated their leaving to callers of this entry.

    A mark ends only with a later incarnation: a server does not take its leaving back.
    """

    def __init__(self) -> None:
        self._incarnations: dict[str, int] = {}

    def record(self, report: LoadReport) -> None:
        """Mark the backend server of a report that says that it is leaving."""
        if not report.backend_leaving:
            return
        known = self._incarnations.pop(report.backend, report.incarnation)
        self._incarnations[report.backend] = max(known, report.incarnation)
        while len(self._incarnations) > MAX_LEAVING:
            del self._incarnations[next(iter(self._incarnations))]

    def contains(self, endpoint: Endpoint) -> bool:
        """Return whether the incarnation of an endpoint is leaving."""
        return endpoint.incarnation <= self._incarnations.get(endpoint.backend, -1)

"""Divides the rate limit of a backend server among the entries that use it.

Load pattern: all entries send to a limited server, which looks idle, and most of their
requests are refused there before they try another one.
"""

ACTIVE_S = 10.0
"""Time in seconds for which an entry counts as active after its last request."""

OVERCOMMIT_FACTOR = 2.0
"""Sum of all shares relative to the limit. Entries with few requests leave a part of
their share; the owner refuses what exceeds the limit."""


class ActiveEntries:
    """Counts the entries that have sent requests lately."""

    def __init__(self) -> None:
        self._last_request_s: dict[str, float] = {}

    def record(self, entry: str, now_s: float) -> None:
        """Record a request of an entry."""
        self._last_request_s.pop(entry, None)
        self._last_request_s[entry] = now_s

    def compute_share(self, rate_limit: float, now_s: float) -> float:
        """Return the share of one entry in requests per second."""
        self._forget_inactive(now_s)
        return OVERCOMMIT_FACTOR * rate_limit / max(1, len(self._last_request_s))

    def _forget_inactive(self, now_s: float) -> None:
        """Forget the entries without recent requests, the least recent first."""
        for entry, last_s in list(self._last_request_s.items()):
            if now_s - last_s <= ACTIVE_S:
                return
            del self._last_request_s[entry]

"""A retry budget, proportional to the number of first attempts."""

from collections.abc import Callable

DEFAULT_BURST_RETRIES = 10.0


class RetryBudget:
    """Allows ``ratio`` retries per first attempt, plus a small burst.

    Without a budget, retries would multiply the load on overloaded backend servers.
    Each priority of a service has its own budget, so that refusals of a flood of
    low-priority requests do not use up the retries of more urgent ones. ``get_burst``
    returns the most retries in a row, which may depend on the number of daemons that
    share a limit. ``get_ratio``, if given, overrides the ratio of the service.
    """

    def __init__(
        self,
        get_burst: Callable[[], float] = lambda: DEFAULT_BURST_RETRIES,
        get_ratio: Callable[[], float] | None = None,
    ) -> None:
        self._get_burst = get_burst
        self._get_ratio = get_ratio
        self._tokens: dict[tuple[str, str], float] = {}

    def record_first_attempt(self, service: str, priority: str, ratio: float) -> None:
        """Add ``ratio`` of a retry to the budget."""
        burst = self._get_burst()
        tokens = self._tokens.get((service, priority), burst)
        earned = ratio if self._get_ratio is None else self._get_ratio()
        self._tokens[service, priority] = min(tokens + earned, burst)

    def try_spend(self, service: str, priority: str) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        tokens = self._tokens.get((service, priority), self._get_burst())
        if tokens < 1:
            return False
        self._tokens[service, priority] = tokens - 1
        return True

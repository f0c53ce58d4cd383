"""A budget of retries as a ratio of first tries."""

_BURST = 10.0


class RetryBudget:
    """Allows ``ratio`` retries per first try, with a small burst.

    Without it, retries would multiply the load on an overloaded fleet. Each priority of
    a service has its own budget: refusals of a flood of browsing must not use up the
    retries of orders.
    """

    def __init__(self) -> None:
        self._tokens: dict[tuple[str, str], float] = {}

    def record_first_try(self, service: str, priority: str, ratio: float) -> None:
        """Earn a share of a retry."""
        tokens = self._tokens.get((service, priority), _BURST)
        self._tokens[service, priority] = min(tokens + ratio, _BURST)

    def try_spend(self, service: str, priority: str) -> bool:
        """Take one retry from the budget; False if it is used up."""
        tokens = self._tokens.get((service, priority), _BURST)
        if tokens < 1:
            return False
        self._tokens[service, priority] = tokens - 1
        return True

"""A budget of retries as a ratio of first tries."""

_BURST = 10.0


class RetryBudget:
    """Allows ``ratio`` retries per first try, with a small burst.

    Without it, retries would multiply the load on an overloaded fleet.
    """

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def record_first_try(self, service: str, ratio: float) -> None:
        """Earn a share of a retry."""
        tokens = self._tokens.get(service, _BURST)
        self._tokens[service] = min(tokens + ratio, _BURST)

    def try_spend(self, service: str) -> bool:
        """Take one retry from the budget; False if it is used up."""
        tokens = self._tokens.get(service, _BURST)
        if tokens < 1:
            return False
        self._tokens[service] = tokens - 1
        return True

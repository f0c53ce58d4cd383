"""A token bucket whose withdrawals can be corrected later."""


class TokenBucket:
    """A token bucket whose balance may become negative through a correction.

    Over any interval the tokens taken stay below ``rate * interval + burst``, apart
    from a negative balance that later refills have not yet covered.
    """

    def __init__(self, tokens: float = 0.0) -> None:
        self._tokens = tokens
        self._updated_s: float | None = None

    @property
    def tokens(self) -> float:
        """Return the balance at the last update, which may be negative."""
        return self._tokens

    def add_tokens(self, tokens: float, burst: float) -> None:
        """Add tokens for an event rather than for elapsed time, up to ``burst``."""
        self._tokens = min(self._tokens + tokens, burst)

    def refill(self, now_s: float, rate: float, burst: float) -> None:
        """Add tokens for the time since the last call; ``rate`` is per second.

        The first call fills the bucket.
        """
        if self._updated_s is None:
            self._tokens = burst
        else:
            self.add_tokens((now_s - self._updated_s) * rate, burst)
        self._updated_s = now_s

    def remove_tokens(self, tokens: float) -> None:
        """Remove tokens without checking the balance; a negative number adds them."""
        self._tokens -= tokens

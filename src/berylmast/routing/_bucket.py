"""A token bucket that may be corrected after the fact."""


class TokenBucket:
    """Earns tokens at a rate, up to a burst; a correction may leave it in debt.

    Over any time the tokens taken stay below ``rate * time + burst``, apart from a
    correction that is not yet paid back.
    """

    def __init__(self, tokens: float = 0.0) -> None:
        self._tokens = tokens
        self._updated_s: float | None = None

    @property
    def tokens(self) -> float:
        """Return the tokens at the last update; negative while in debt."""
        return self._tokens

    def earn(self, tokens: float, burst: float) -> None:
        """Add tokens that come with an event instead of time."""
        self._tokens = min(self._tokens + tokens, burst)

    def refill(self, now_s: float, rate: float, burst: float) -> None:
        """Add the tokens of the time since the last call; ``rate`` is per second."""
        if self._updated_s is None:
            self._tokens = burst
        else:
            self.earn((now_s - self._updated_s) * rate, burst)
        self._updated_s = now_s

    def take(self, tokens: float) -> None:
        """Take tokens; a negative number returns them."""
        self._tokens -= tokens

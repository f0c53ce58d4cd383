"""The byte budget of this entry on the slow link between regions."""

from collections import deque

from ._bucket import TokenBucket

BURST_S = 1.0
HEAD_BYTES = 1_024
"""Heads of request and answer with their framing, roughly."""

FIRST_ANSWER_BYTES = 4_096
_ANSWER_WEIGHT = 0.1


class LinkBudget:
    """Counts the bytes of requests and answers that cross the link.

    A request is charged with its body and an estimate of its answer when it starts, and
    with what was really sent when it ends.
    """

    def __init__(self) -> None:
        self.bytes_used = 0
        self.refused = 0
        self._bucket = TokenBucket()
        self._answer_bytes: dict[str, float] = {}
        self._charged: dict[str, deque[int]] = {}

    def has_room(
        self, service: str, body_bytes: int, bytes_per_s: int, now_s: float
    ) -> bool:
        """Tell whether a request may cross the link now.

        One request larger than the burst may go when the budget is full; the debt that
        it leaves holds back those after it.
        """
        burst = bytes_per_s * BURST_S
        self._bucket.refill(now_s, bytes_per_s, burst)
        needed = min(self._estimate(service, body_bytes), burst)
        if bytes_per_s > 0 and self._bucket.tokens >= needed:
            return True
        self.refused += 1
        return False

    def charge(self, service: str, backend: str, body_bytes: int) -> None:
        """Charge a request that starts."""
        size = self._estimate(service, body_bytes)
        self._bucket.take(size)
        self.bytes_used += size
        self._charged.setdefault(backend, deque()).append(size)

    def settle(self, service: str, backend: str, sent: int, received: int) -> None:
        """Correct the charge of a request that ended; sizes of bodies in bytes.

        The requests of one backend server need not end in order: only the sum counts.
        """
        charged = self._charged.get(backend)
        if not charged:
            return
        size = HEAD_BYTES + sent + received
        difference = size - charged.popleft()
        self._bucket.take(difference)
        self.bytes_used += difference
        known = self._answer_bytes.get(service, FIRST_ANSWER_BYTES)
        self._answer_bytes[service] = known + _ANSWER_WEIGHT * (received - known)

    def _estimate(self, service: str, body_bytes: int) -> int:
        answer = self._answer_bytes.get(service, FIRST_ANSWER_BYTES)
        return HEAD_BYTES + body_bytes + int(answer)

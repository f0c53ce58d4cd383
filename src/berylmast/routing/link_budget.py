"""This entry's byte budget for the low-bandwidth link between regions."""

from collections import deque

from ._bucket import TokenBucket

BURST_S = 1.0
HEADER_BYTES = 1_024
"""Approximate size of the headers of a request and its response, including framing."""

INITIAL_RESPONSE_BYTES = 4_096
_RESPONSE_EWMA_WEIGHT = 0.1


class LinkBudget:
    """Limits the bytes of requests and responses that cross the link.

    When a request starts, the budget is charged with the size of its body and the
    estimated size of the response. When it ends, the charge is replaced by the bytes
    that were actually transferred.
    """

    def __init__(self) -> None:
        self.bytes_used = 0
        self.refused_requests = 0
        self._bucket = TokenBucket()
        self._average_response_bytes: dict[str, float] = {}
        self._charged: dict[str, deque[int]] = {}

    def allows_request(
        self, service: str, body_bytes: int, bytes_per_s: int, now_s: float
    ) -> bool:
        """Return whether a request may cross the link now; count it if it may not.

        A request larger than the burst is allowed when the bucket is full. It leaves
        the balance negative, which delays the requests after it.
        """
        burst_bytes = bytes_per_s * BURST_S
        self._bucket.refill(now_s, bytes_per_s, burst_bytes)
        needed_bytes = min(self._estimate_bytes(service, body_bytes), burst_bytes)
        if bytes_per_s > 0 and self._bucket.tokens >= needed_bytes:
            return True
        self.refused_requests += 1
        return False

    def charge(self, service: str, backend: str, body_bytes: int) -> None:
        """Charge the budget with the estimated size of a request that starts."""
        size = self._estimate_bytes(service, body_bytes)
        self._bucket.remove_tokens(size)
        self.bytes_used += size
        self._charged.setdefault(backend, deque()).append(size)

    def reconcile(self, service: str, backend: str, sent: int, received: int) -> None:
        """Replace the estimated charge of a request that ended by the actual one.

        ``sent`` and ``received`` are the sizes of the bodies in bytes. Requests to one
        backend server may end in any order: which charge a result is matched with does
        not change the total.
        """
        charged = self._charged.get(backend)
        if not charged:
            return
        size = HEADER_BYTES + sent + received
        difference = size - charged.popleft()
        self._bucket.remove_tokens(difference)
        self.bytes_used += difference
        average_bytes = self._average_response_bytes.get(
            service, INITIAL_RESPONSE_BYTES
        )
        self._average_response_bytes[service] = (
            average_bytes + _RESPONSE_EWMA_WEIGHT * (received - average_bytes)
        )

    def _estimate_bytes(self, service: str, body_bytes: int) -> int:
        response_bytes = self._average_response_bytes.get(
            service, INITIAL_RESPONSE_BYTES
        )
        return HEADER_BYTES + body_bytes + int(response_bytes)

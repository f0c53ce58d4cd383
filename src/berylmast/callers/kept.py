"""Stores a small response while it is relayed to the caller."""

from ..model import (
    MAX_KEPT_ANSWER_BYTES,
    MAX_KEPT_HEADER_BYTES,
    Headers,
    KeptAnswer,
)
from .context import AnswerSink


class KeepingSink:
    """Relays a response and stores a copy of it if it is small enough.

    ``kept`` is the complete response; it is None before the end, or if headers or body
    exceeded their limits.
    """

    def __init__(self, answer: AnswerSink) -> None:
        self.started = False
        self.finished = False
        self.status = 0
        self.body_bytes = 0
        self.kept: KeptAnswer | None = None
        self._answer = answer
        self._headers: Headers = ()
        self._body = bytearray()
        self._small = True

    async def start(self, status: int, headers: Headers) -> None:
        """Relay status and headers."""
        self.started = True
        self.status = status
        self._headers = headers
        size = sum(len(key) + len(value) for key, value in headers)
        self._small = size <= MAX_KEPT_HEADER_BYTES
        await self._answer.start(status, headers)

    async def send_part(self, data: bytes) -> None:
        """Relay a part of the body."""
        self.body_bytes += len(data)
        self._small = (
            self._small and len(self._body) + len(data) <= MAX_KEPT_ANSWER_BYTES
        )
        if self._small:
            self._body += data
        await self._answer.send_part(data)

    async def finish(self) -> None:
        """Relay the end and store the response, which is now complete."""
        if self._small:
            self.kept = KeptAnswer(self.status, self._headers, bytes(self._body))
        self.finished = True
        await self._answer.finish()

"""Keeps a small answer while it passes to the caller."""

from ..model import (
    MAX_KEPT_ANSWER_BYTES,
    MAX_KEPT_HEADER_BYTES,
    Headers,
    KeptAnswer,
)
from .context import AnswerSink


class KeepingSink:
    """Passes an answer on; ``kept`` is the whole of it if it was small enough."""

    def __init__(self, answer: AnswerSink) -> None:
        self.started = False
        self.status = 0
        self.body_bytes = 0
        self.kept: KeptAnswer | None = None
        self._answer = answer
        self._headers: Headers = ()
        self._body = bytearray()
        self._small = True

    async def start(self, status: int, headers: Headers) -> None:
        """Pass the head on."""
        self.started = True
        self.status = status
        self._headers = headers
        size = sum(len(key) + len(value) for key, value in headers)
        self._small = size <= MAX_KEPT_HEADER_BYTES
        await self._answer.start(status, headers)

    async def send_part(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self.body_bytes += len(data)
        self._small = (
            self._small and len(self._body) + len(data) <= MAX_KEPT_ANSWER_BYTES
        )
        if self._small:
            self._body += data
        await self._answer.send_part(data)

    async def finish(self) -> None:
        """Pass the end on; only a whole answer is kept."""
        if self._small:
            self.kept = KeptAnswer(self.status, self._headers, bytes(self._body))
        await self._answer.finish()

"""Records a small response while it is relayed to the caller."""

from ..model import (
    MAX_STORED_BODY_BYTES,
    MAX_STORED_HEADER_BYTES,
    Headers,
    StoredResponse,
)
from .context import ResponseSink


class RecordingSink:
    """Relays a response and records a copy of it if it is small enough.

    ``recorded`` is the complete response. It is None before the end, or if the headers
    or the body exceed their limits.
    """

    def __init__(self, response: ResponseSink) -> None:
        self.started = False
        self.finished = False
        self.status = 0
        self.body_bytes = 0
        self.recorded: StoredResponse | None = None
        self._response = response
        self._headers: Headers = ()
        self._body = bytearray()
        self._within_limits = True

    async def start(self, status: int, headers: Headers) -> None:
        """Relay status and headers."""
        self.started = True
        self.status = status
        self._headers = headers
        size = sum(len(key) + len(value) for key, value in headers)
        self._within_limits = size <= MAX_STORED_HEADER_BYTES
        await self._response.start(status, headers)

    async def send_part(self, data: bytes) -> None:
        """Relay a part of the body."""
        self.body_bytes += len(data)
        self._within_limits = (
            self._within_limits and len(self._body) + len(data) <= MAX_STORED_BODY_BYTES
        )
        if self._within_limits:
            self._body += data
        await self._response.send_part(data)

    async def finish(self) -> None:
        """Relay the end and record the response, which is now complete."""
        if self._within_limits:
            self.recorded = StoredResponse(
                self.status, self._headers, bytes(self._body)
            )
        self.finished = True
        await self._response.finish()

"""The body of a caller's request, read as far as the attempts need it."""

from typing import Any

from ..daemons import Exchange
from ..daemons.frames import End

EAGER_BODY_BYTES = 64 * 1024
"""Bodies up to this length are sent with the head and kept for a retry."""


class CallerDisconnected(Exception):
    """The caller closed its connection before it had the answer."""


class CallerBody:
    """Reads the body from the ASGI server; what was read before dispatch is kept."""

    def __init__(self, receive: Any, length: int | None) -> None:
        self.length = length
        self.read_bytes = 0
        self._receive = receive
        self._kept: list[bytes] = []
        self._whole = length == 0

    @property
    def eager(self) -> bool:
        """Tell whether the body is sent before the owner admits the request."""
        return self.length is not None and self.length <= EAGER_BODY_BYTES

    async def send_to(self, exchange: Exchange) -> None:
        """Send the whole body; one that was sent before must have been eager.

        Raises CallerDisconnected if the caller leaves before its body is whole.
        """
        for part in self._kept:
            await exchange.send_body(part)
        while not self._whole:
            part = await self._read_part()
            if self.eager:
                self._kept.append(part)
            await exchange.send_body(part)
        await exchange.send(End(exchange.id))

    async def wait_disconnect(self) -> None:
        """Return when the caller has closed its connection."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def _read_part(self) -> bytes:
        message = await self._receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        self._whole = not message.get("more_body", False)
        part: bytes = message.get("body", b"")
        self.read_bytes += len(part)
        return part

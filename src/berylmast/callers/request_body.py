"""Reads the body of a caller's request and sends it to the owners."""

from collections import deque
from collections.abc import Callable
from typing import Any

import anyio

from ..daemons import Exchange, ExchangeLost
from ..daemons.frames import End
from ..errors import ErrorKind, Refusal
from ..model import Headers
from .read_ahead import READ_AHEAD_BYTES, ReadAheadPool

MAX_EAGER_BODY_BYTES = 4 * 1024
"""Bodies up to this length are sent right after the request head. A longer body is sent
once an owner admits the request; otherwise each owner that refuses it would use up link
bandwidth for nothing."""

RETRY_BUFFER_BYTES = 64 * 1024
"""Bodies up to this length are buffered whole, so that a retry can send them again."""

POOL_CHECK_INTERVAL_S = 0.1
"""Interval at which a body that may not read ahead checks whether it may again."""


class BodyConsumed(Exception):
    """Part of the body is already discarded, so it can't be sent again."""


class RequestBody:
    """Reads a request body and detects when the caller disconnects.

    Only ``read_until_refusal`` calls ASGI ``receive``, which supports a single
    consumer. ``limit`` is in bytes. The HTTP server fills ``trailers`` before it
    delivers the end of the body, and calls the ``disconnect_listeners`` when the
    caller's connection ends. While no attempt sends it, a body of any length is read
    as it arrives, as far as ``pool`` has room.
    """

    def __init__(
        self,
        receive: Any,
        length: int | None,
        *,
        limit: int | None = None,
        expects_continue: bool = False,
        trailers: Headers = (),
        filter_trailers: Callable[[Headers], Headers] = tuple,
        pool: ReadAheadPool | None = None,
        disconnect_listeners: list[Callable[[], None]] | None = None,
    ) -> None:
        self._pool = pool or ReadAheadPool()
        self._disconnect_listeners = disconnect_listeners
        self._disconnected = False
        self.length = length
        self.read_bytes = 0
        self._receive = receive
        self._limit = limit
        self._expects_continue = expects_continue
        self._trailers = trailers
        self._filter_trailers = filter_trailers
        self._buffers_whole = length is not None and length <= RETRY_BUFFER_BYTES
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._complete = length == 0
        # Whether an attempt has begun to send the body, and whether one sends it now.
        self._send_began = False
        self._sending = False
        self._partly_discarded = False
        self._change_event: anyio.Event | None = None
        if disconnect_listeners is not None:
            disconnect_listeners.append(self._handle_disconnect)

    def close(self) -> None:
        """Give up the body: nothing is read or sent any more."""
        self._pool.add(-self._buffered_bytes)
        self._buffered_bytes = 0
        self._parts.clear()
        if self._disconnect_listeners is not None:
            self._disconnect_listeners.remove(self._handle_disconnect)

    @property
    def eager(self) -> bool:
        """Return whether the body is sent before the owner admits the request."""
        small = self.length is not None and self.length <= MAX_EAGER_BODY_BYTES
        return small and not self._expects_continue

    @property
    def resendable(self) -> bool:
        """Return whether another attempt can still send the whole body."""
        return self._buffers_whole or not self._partly_discarded

    @property
    def can_send_twice(self) -> bool:
        """Return whether two attempts can send the body at the same time.

        The whole body has arrived then, so neither attempt waits for the caller.
        """
        return self._buffers_whole and self._complete

    async def read_until_refusal(self) -> Refusal:
        """Read until the caller disconnects or the body exceeds its limit.

        Returns the matching refusal. The HTTP server sends 100 Continue at the first
        read, so that read waits until an attempt was admitted and sends the body.
        """
        while self._waits_for_admission and not self._disconnected:
            await self._wait_change()
        while not self._disconnected:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                break
            self._append(message)
            if self._limit is not None and self.read_bytes > self._limit:
                return self._make_size_refusal()
            while not self._may_read_on and not self._disconnected:
                with anyio.move_on_after(POOL_CHECK_INTERVAL_S):
                    await self._wait_change()
        kind = ErrorKind.CANCELLED if self._complete else ErrorKind.BODY_CUT
        return Refusal(kind, "the caller closed its connection")

    @property
    def _waits_for_admission(self) -> bool:
        """Return whether the caller still waits for 100 Continue."""
        return self._expects_continue and not self._send_began and not self._complete

    @property
    def _may_read_on(self) -> bool:
        """Return whether the body may hold more bytes in memory."""
        if self._buffers_whole or self._buffered_bytes < READ_AHEAD_BYTES:
            return True
        return not self._sending and self._pool.has_room

    async def send_to(self, exchange: Exchange) -> None:
        """Send the whole body.

        Raises BodyConsumed if an earlier attempt already sent and discarded a part.
        """
        if not self.resendable:
            raise BodyConsumed
        self._send_began = self._sending = True
        self._notify()
        try:
            await self._send_parts(exchange)
            await exchange.send(
                End(exchange.id, tuple(self._filter_trailers(self._trailers)))
            )
        except ExchangeLost:
            # The attempt gets the same exception when it receives the next frame.
            return
        finally:
            self._sending = False

    async def _send_parts(self, exchange: Exchange) -> None:
        index = 0
        while True:
            while index < len(self._parts):
                part = self._parts[index]
                if self._buffers_whole:
                    index += 1
                else:
                    self._pop_first()
                await exchange.send_body(part)
            if self._complete:
                return
            await self._wait_change()

    def _pop_first(self) -> None:
        self._partly_discarded = True
        self._count_buffered(-len(self._parts.popleft()))
        self._notify()

    def _append(self, message: dict[str, Any]) -> None:
        part: bytes = message.get("body", b"")
        if part:
            self._parts.append(part)
            self._count_buffered(len(part))
            self.read_bytes += len(part)
        self._complete = not message.get("more_body", False)
        self._notify()

    def _make_size_refusal(self) -> Refusal:
        # Once an attempt sends the body, the backend server may have started to process
        # the request.
        kind = ErrorKind.BODY_TOO_LARGE
        if self._send_began:
            kind = ErrorKind.BODY_TOO_LARGE_UNKNOWN
        self._complete = False
        return Refusal(kind, f"the body is longer than {self._limit} bytes")

    def _count_buffered(self, size: int) -> None:
        self._buffered_bytes += size
        self._pool.add(size)

    def _handle_disconnect(self) -> None:
        self._disconnected = True
        self._notify()

    async def _wait_change(self) -> None:
        self._change_event = self._change_event or anyio.Event()
        await self._change_event.wait()

    def _notify(self) -> None:
        if self._change_event is not None:
            self._change_event.set()
            self._change_event = None

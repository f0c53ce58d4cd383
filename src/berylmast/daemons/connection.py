"""A connection between two daemons, with reader, writer and heartbeat tasks."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import ByteStream
from anyio.lowlevel import checkpoint

from ..errors import ErrorKind
from ..telemetry import log_event
from ._send_queue import SendQueue
from .codec import FrameReader, ProtocolError, encode_frame
from .exchange import Exchange, ExchangeLost, ExchangeProtocolError
from .frames import (
    CONNECTION_EXCHANGE_ID,
    OPENING_FRAMES,
    Frame,
    GoAway,
    Hello,
    OpeningFrame,
    Ping,
    Pong,
    Reset,
    Tell,
)
from .identity import ConnectionLost, Identity

__all__ = ["ConnectionLost", "ExchangeHandler", "Identity", "PeerConnection"]

PROTOCOL_VERSION = 2
HELLO_TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 0.5
SILENCE_LIMIT_S = 3 * HEARTBEAT_INTERVAL_S
_WRITE_BATCH_BYTES = 64 * 1024
_READ_BYTES = 64 * 1024

FRAMES_PER_TURN = 64
"""Frames that are handled in one turn of the event loop. One read may bring thousands
of short ones."""

ExchangeHandler = Callable[[Exchange, OpeningFrame], Awaitable[None]]
"""Serves one exchange that the peer opened."""

OnTell = Callable[[Tell], None]
"""Called with each ``Tell`` frame."""


class PeerConnection:
    """Multiplexes the exchanges of two daemons over one byte stream.

    Heartbeats are sent only while exchanges are open, so an idle connection has no
    traffic. A connection with open exchanges is closed when nothing has been received
    for ``SILENCE_LIMIT_S``, which is checked once per ``HEARTBEAT_INTERVAL_S``.

    ``accept`` serves the exchanges that the peer opens. ``on_goaway`` is called with
    the name of a peer that sent a ``GoAway`` frame.
    """

    def __init__(
        self,
        stream: ByteStream,
        identity: Identity,
        *,
        accept: ExchangeHandler | None = None,
        on_goaway: Callable[[str], None] | None = None,
        on_tell: OnTell | None = None,
    ) -> None:
        self.peer: Identity | None = None
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self._stream = stream
        self._identity = identity
        self._accept = accept
        self._on_goaway = on_goaway
        self._on_tell = on_tell
        self._reader = FrameReader()
        self._send_queue = SendQueue()
        self._frame_queued: anyio.Event | None = None
        self._exchanges: dict[int, Exchange] = {}
        self._exchange_opened = anyio.Event()
        self._next_id = CONNECTION_EXCHANGE_ID + 1
        self._last_accepted_id = CONNECTION_EXCHANGE_ID
        self._last_received_s = 0.0
        self._ready = anyio.Event()

    async def run(self) -> None:
        """Run the connection until it ends, and mark its open exchanges as lost."""
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._write_frames)
                tg.start_soon(self._send_heartbeats)
                self.write(
                    Hello(
                        CONNECTION_EXCHANGE_ID,
                        PROTOCOL_VERSION,
                        self._identity.daemon,
                        self._identity.incarnation,
                    )
                )
                await self._read_frames(tg)
                tg.cancel_scope.cancel()
        except Exception as exc:
            # An unexpected error must end neither the other connections nor the daemon.
            log_event("fault", peer=self.peer, reason=repr(exc))
        finally:
            self.closed = True
            self._ready.set()
            for exchange in list(self._exchanges.values()):
                exchange.mark_lost()
            self._exchanges.clear()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    async def wait_ready(self) -> Identity:
        """Wait for the peer's Hello and return the peer's identity.

        Raises ConnectionLost if none arrives within ``HELLO_TIMEOUT_S``.
        """
        with anyio.move_on_after(HELLO_TIMEOUT_S):
            await self._ready.wait()
        if self.peer is None or self.closed:
            raise ConnectionLost("the peer sent no Hello frame")
        return self.peer

    def open_exchange(self) -> Exchange:
        """Return a new exchange; only the dialing side may open one.

        Raises ConnectionLost if the connection has ended.
        """
        if self.closed:
            raise ConnectionLost("the connection is closed")
        exchange = Exchange(self._next_id, self.write)
        exchange.peer_incarnation = self.peer.incarnation if self.peer else None
        self._next_id += 1
        self._add_exchange(exchange)
        return exchange

    def close_exchange(self, exchange: Exchange, reset: Reset | None = None) -> None:
        """Remove an exchange and send ``reset`` to the peer, if given.

        The frame is not sent if the peer has already closed the exchange.
        """
        if self._exchanges.pop(exchange.id, None) is None:
            return
        if reset is not None and not exchange.lost and not exchange.peer_closed:
            self.write(reset)
        exchange.discard()

    def write(self, frame: Frame) -> None:
        """Queue a frame for the writer task."""
        self._send_queue.put(frame)
        if self._frame_queued is not None:
            self._frame_queued.set()
            self._frame_queued = None

    @property
    def open_exchange_count(self) -> int:
        """Return the number of open exchanges."""
        return len(self._exchanges)

    @property
    def bytes_transferred(self) -> int:
        """Return the number of bytes sent and received so far."""
        return self.bytes_sent + self.bytes_received

    @property
    def in_use(self) -> bool:
        """Return whether an exchange is open or a frame waits to be sent."""
        return bool(self._exchanges) or bool(self._send_queue)

    async def close(self) -> None:
        """Close the connection; ``run`` then returns."""
        await anyio.aclose_forcefully(self._stream)

    def _add_exchange(self, exchange: Exchange) -> None:
        self._exchanges[exchange.id] = exchange
        if len(self._exchanges) == 1:
            self._last_received_s = anyio.current_time()
            self._exchange_opened.set()

    async def _write_frames(self) -> None:
        while True:
            if not self._send_queue:
                self._frame_queued = anyio.Event()
                await self._frame_queued.wait()
            while self._send_queue:
                data = self._encode_batch()
                if not data:
                    continue
                self.bytes_sent += len(data)
                try:
                    await self._stream.send(data)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    await anyio.aclose_forcefully(self._stream)
                    return

    def _encode_batch(self) -> bytes:
        parts = []
        size = 0
        while size < _WRITE_BATCH_BYTES:
            frame = self._send_queue.take()
            if frame is None:
                break
            try:
                part = encode_frame(frame)
            except Exception as exc:
                self._fail_exchange(frame, exc)
                continue
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    def _fail_exchange(self, frame: Frame, exc: Exception) -> None:
        """End the exchange of a frame that can't be encoded, and no other one."""
        log_event("fault", exchange=frame.exchange, reason=repr(exc))
        exchange = self._exchanges.pop(frame.exchange, None)
        if exchange is not None:
            self.write(Reset(exchange.id, ErrorKind.INTERNAL))
            exchange.mark_lost()

    async def _read_frames(self, tg: anyio.abc.TaskGroup) -> None:
        while True:
            try:
                data = await self._stream.receive(_READ_BYTES)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            self.bytes_received += len(data)
            self._last_received_s = anyio.current_time()
            try:
                await self._handle_frames(data, tg)
            except (ProtocolError, ExchangeProtocolError):
                return

    async def _handle_frames(self, data: bytes, tg: anyio.abc.TaskGroup) -> None:
        for count, frame in enumerate(self._reader.feed(data), 1):
            self._handle_frame(frame, tg)
            if count % FRAMES_PER_TURN == 0:
                await checkpoint()

    def _handle_frame(self, frame: Frame, tg: anyio.abc.TaskGroup) -> None:
        match frame:
            case Hello():
                self._handle_hello(frame)
            case Ping():
                self.write(Pong())
            case Pong():
                pass
            case GoAway():
                if self._on_goaway is not None and self.peer is not None:
                    self._on_goaway(self.peer.daemon)
            case Tell():
                if self._on_tell is not None:
                    self._on_tell(frame)
            case _:
                self._route_to_exchange(frame, tg)

    def _handle_hello(self, frame: Hello) -> None:
        if frame.protocol != PROTOCOL_VERSION:
            raise ProtocolError(f"unsupported protocol version {frame.protocol}")
        self.peer = Identity(frame.daemon, frame.incarnation)
        self._ready.set()

    def _route_to_exchange(self, frame: Frame, tg: anyio.abc.TaskGroup) -> None:
        exchange = self._exchanges.get(frame.exchange)
        if exchange is not None:
            exchange.deliver(frame)
        elif isinstance(frame, OPENING_FRAMES) and self._accept is not None:
            if frame.exchange <= self._last_accepted_id:
                raise ProtocolError(f"exchange id {frame.exchange} was already used")
            self._last_accepted_id = frame.exchange
            exchange = Exchange(frame.exchange, self.write, opened=True)
            self._add_exchange(exchange)
            tg.start_soon(self._serve_exchange, exchange, frame)
        # Any other frame was sent before the peer learned that this side had closed the
        # exchange, and is ignored.

    async def _serve_exchange(self, exchange: Exchange, frame: OpeningFrame) -> None:
        assert self._accept is not None
        try:
            await self._accept(exchange, frame)
        except ExchangeLost:
            pass
        except Exception as exc:
            # An error in one request must not end the other exchanges of the
            # connection.
            log_event("fault", exchange=exchange.id, reason=repr(exc))
            self.write(Reset(exchange.id, ErrorKind.INTERNAL))
        finally:
            self._exchanges.pop(exchange.id, None)
            exchange.discard()

    async def _send_heartbeats(self) -> None:
        while True:
            if not self._exchanges:
                self._exchange_opened = anyio.Event()
                await self._exchange_opened.wait()
            await anyio.sleep(HEARTBEAT_INTERVAL_S)
            silent_s = anyio.current_time() - self._last_received_s
            if self._exchanges and silent_s >= SILENCE_LIMIT_S:
                await anyio.aclose_forcefully(self._stream)
                return
            if self._exchanges and silent_s >= HEARTBEAT_INTERVAL_S:
                self.write(Ping())

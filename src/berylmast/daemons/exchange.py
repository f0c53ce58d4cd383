"""An exchange of frames over a peer connection, with flow control for bodies."""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from ._body_frames import MAX_BODY_FRAME_BYTES, join_body_frames
from .frames import (
    OPENING_FRAMES,
    Body,
    Credit,
    End,
    Fail,
    Frame,
    Load,
    Refuse,
    Reset,
)

WINDOW_BYTES = 256 * 1024
"""Flow-control window: body bytes that may be sent but not yet consumed, for each
direction of an exchange."""

MAX_UNREAD_FRAMES = 256
"""Limit on received frames that have not been read. Body frames are joined, so those of
a whole window are fewer; a fleet's records come in frames of hundreds."""

_CREDIT_BATCH_BYTES = WINDOW_BYTES // 2

CLOSING_FRAMES = (End, Fail, Load, Refuse, Reset)
"""Frames after which their sender may send only Credit and Reset frames."""


class ExchangeLost(Exception):
    """The connection that carried this exchange has ended."""


class ExchangeProtocolError(Exception):
    """The peer exceeded the flow-control window or sent an unexpected frame."""


class Exchange:
    """One side of an exchange: sends and receives the frames of one request.

    ``write`` queues a frame on the connection without waiting. Body frames wait for
    credit, so that the queued bytes stay within the window. ``wait_reset`` returns on a
    Reset even if earlier frames have not been read. ``peer_incarnation`` is the
    incarnation of the peer on the dialing side of a connection, None otherwise.
    """

    def __init__(
        self,
        exchange_id: int,
        write: Callable[[Frame], None],
        *,
        opened: bool = False,
    ) -> None:
        self.id = exchange_id
        self.lost = False
        self.peer_incarnation: int | None = None
        self.peer_closed = False
        self.was_reset = False
        self._closed = False
        self._opened = opened
        self._reset_scope: anyio.CancelScope | None = None
        self._only_reset = False
        self._write = write
        self._inbox: deque[Frame] = deque()
        # Events are created only when a task waits, since most requests need few.
        self._frame_arrived: anyio.Event | None = None
        self._reset_event: anyio.Event | None = None
        self._send_credit_bytes = WINDOW_BYTES
        self._credit_added: anyio.Event | None = None
        self._unread_bytes = 0
        self._uncredited_bytes = 0

    async def send(self, frame: Frame) -> None:
        """Queue a frame; a body frame waits for credit first.

        After this side's closing frame, frames other than Reset are dropped, since a
        deadline may pass between the end of a response and the end of its task. Raises
        ExchangeLost if the connection has ended.
        """
        if self._closed and not isinstance(frame, Reset):
            return
        if isinstance(frame, Body):
            while self._send_credit_bytes < len(frame.data) and not self.lost:
                self._credit_added = self._credit_added or anyio.Event()
                await self._credit_added.wait()
            self._send_credit_bytes -= len(frame.data)
        if self.lost:
            raise ExchangeLost
        self._closed = self._closed or isinstance(frame, CLOSING_FRAMES)
        self._write(frame)

    async def send_body(self, data: bytes) -> None:
        """Send body bytes in frames of at most ``MAX_BODY_FRAME_BYTES``."""
        for start in range(0, len(data), MAX_BODY_FRAME_BYTES):
            part = data[start : start + MAX_BODY_FRAME_BYTES]
            await self.send(Body(self.id, part))

    async def receive(self) -> Frame:
        """Wait for the peer's next frame; reading a body frame returns its credit.

        Raises ExchangeLost if the connection has ended.
        """
        while not self._inbox:
            if self.lost:
                raise ExchangeLost
            self._frame_arrived = self._frame_arrived or anyio.Event()
            await self._frame_arrived.wait()
        frame = self._inbox.popleft()
        if isinstance(frame, Body):
            self._return_credit(len(frame.data))
        return frame

    async def wait_reset(self) -> None:
        """Wait until the peer resets this exchange or the connection ends."""
        while not (self.was_reset or self.lost):
            self._reset_event = self._reset_event or anyio.Event()
            await self._reset_event.wait()

    @contextmanager
    def cancel_on_reset(self, *, only_reset: bool = False) -> Iterator[None]:
        """Cancel the block when the peer resets this exchange or the connection ends.

        With ``only_reset``, the end of the connection does not cancel the block. Only
        one block at a time may use this context manager.
        """
        with anyio.CancelScope() as scope:
            self._reset_scope = scope
            self._only_reset = only_reset
            self._notify_if_ended()
            try:
                yield
            finally:
                self._reset_scope = None

    def _return_credit(self, size: int) -> None:
        self._unread_bytes -= size
        self._uncredited_bytes += size
        if self._uncredited_bytes >= _CREDIT_BATCH_BYTES and not self.lost:
            self._write(Credit(self.id, self._uncredited_bytes))
            self._uncredited_bytes = 0

    def deliver(self, frame: Frame) -> None:
        """Process a frame that the connection received for this exchange.

        Raises ExchangeProtocolError if the peer exceeds the flow-control window or
        ``MAX_UNREAD_FRAMES``, sends a frame other than Credit or Reset after its
        closing frame, or opens the exchange again.
        """
        if isinstance(frame, Credit):
            self._send_credit_bytes += frame.size
            self._wake_sender()
            return
        if isinstance(frame, Reset):
            self.was_reset = True
            self._notify_if_ended()
        elif self.peer_closed or (self._opened and isinstance(frame, OPENING_FRAMES)):
            raise ExchangeProtocolError(
                f"{type(frame).__name__} is not allowed on exchange {self.id}"
            )
        if isinstance(frame, Body):
            self._unread_bytes += len(frame.data)
            if self._unread_bytes > WINDOW_BYTES:
                raise ExchangeProtocolError(
                    f"flow-control window exceeded on exchange {self.id}"
                )
        self._opened = True
        self.peer_closed = self.peer_closed or isinstance(frame, CLOSING_FRAMES)
        if not self.lost:
            self._put_in_inbox(frame)
            self._wake_receiver()

    def _put_in_inbox(self, frame: Frame) -> None:
        joined = join_body_frames(self._inbox[-1] if self._inbox else None, frame)
        if joined is not None:
            self._inbox[-1] = joined
        elif len(self._inbox) >= MAX_UNREAD_FRAMES:
            raise ExchangeProtocolError(f"too many frames on exchange {self.id}")
        else:
            self._inbox.append(frame)

    def mark_lost(self) -> None:
        """Mark the connection as lost.

        Frames that were received before can still be read; sending fails.
        """
        if self.lost:
            return
        self.lost = True
        self._wake_receiver()
        self._notify_if_ended()
        self._wake_sender()

    def discard(self) -> None:
        """Mark the connection as lost and drop the unread frames."""
        self.mark_lost()
        self._inbox.clear()

    def _notify_if_ended(self) -> None:
        if not (self.was_reset or self.lost):
            return
        if self._reset_event is not None:
            self._reset_event.set()
            self._reset_event = None
        scope = self._reset_scope
        if scope is not None and (self.was_reset or not self._only_reset):
            scope.cancel()

    def _wake_receiver(self) -> None:
        if self._frame_arrived is not None:
            self._frame_arrived.set()
            self._frame_arrived = None

    def _wake_sender(self) -> None:
        if self._credit_added is not None:
            self._credit_added.set()
            self._credit_added = None


def make_exchange_pair() -> tuple[Exchange, Exchange]:
    """Return two connected sides of an exchange within one process."""

    def write_left(frame: Frame) -> None:
        if not right.lost:
            right.deliver(frame)

    def write_right(frame: Frame) -> None:
        if not left.lost:
            left.deliver(frame)

    left = Exchange(1, write_left)
    right = Exchange(1, write_right)
    return left, right

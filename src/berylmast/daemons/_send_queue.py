"""The queue of outgoing frames of a connection, which decides their order."""

from collections import deque

from ._body_frames import join_body_frames
from .frames import Body, End, Frame, Pong, Reset


class SendQueue:
    """Returns control frames first, then body frames of the exchanges in round robin.

    This keeps a large upload from delaying the head or the short body of another
    request. Short body frames of an exchange are joined while they wait, and one
    waiting ``Pong`` is enough for a peer that sends ``Ping`` frames and reads nothing.
    """

    def __init__(self) -> None:
        self._control: deque[Frame] = deque()
        self._has_pong = False
        self._bodies: dict[int, deque[Frame]] = {}

    def __bool__(self) -> bool:
        return bool(self._control or self._bodies)

    def put(self, frame: Frame) -> None:
        """Queue a frame; a Reset drops the queued body frames of its exchange.

        An End frame is queued behind the body frames of its exchange, if there are any.
        """
        if isinstance(frame, Reset):
            self._bodies.pop(frame.exchange, None)
        if isinstance(frame, Body) or (
            isinstance(frame, End) and frame.exchange in self._bodies
        ):
            self._put_body(frame)
        elif not (isinstance(frame, Pong) and self._has_pong):
            self._has_pong = self._has_pong or isinstance(frame, Pong)
            self._control.append(frame)

    def _put_body(self, frame: Frame) -> None:
        queue = self._bodies.setdefault(frame.exchange, deque())
        joined = join_body_frames(queue[-1] if queue else None, frame)
        if joined is None:
            queue.append(frame)
        else:
            queue[-1] = joined

    def take(self) -> Frame | None:
        """Remove and return the next frame, None if the queue is empty."""
        if self._control:
            frame = self._control.popleft()
            self._has_pong = self._has_pong and not isinstance(frame, Pong)
            return frame
        if not self._bodies:
            return None
        exchange = next(iter(self._bodies))
        queue = self._bodies.pop(exchange)
        frame = queue.popleft()
        if queue:
            self._bodies[exchange] = queue
        return frame

"""The queue of outgoing frames of a connection, which decides their order."""

from collections import deque

from .frames import Body, End, Frame, Reset


class SendQueue:
    """Returns control frames first, then body frames of the exchanges in round robin.

    This keeps a large upload from delaying the head or the short body of another
    request.
    """

    def __init__(self) -> None:
        self._control: deque[Frame] = deque()
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
            self._bodies.setdefault(frame.exchange, deque()).append(frame)
        else:
            self._control.append(frame)

    def take(self) -> Frame | None:
        """Remove and return the next frame, None if the queue is empty."""
        if self._control:
            return self._control.popleft()
        if not self._bodies:
            return None
        exchange = next(iter(self._bodies))
        queue = self._bodies.pop(exchange)
        frame = queue.popleft()
        if queue:
            self._bodies[exchange] = queue
        return frame

"""The order in which a connection sends its queued frames."""

from collections import deque

from .frames import Body, End, Frame, Reset


class SendLanes:
    """Control frames first; then one body frame of each exchange in turn.

    So a large upload never delays another request's head or its short body.
    """

    def __init__(self) -> None:
        self._control: deque[Frame] = deque()
        self._bodies: dict[int, deque[Frame]] = {}

    def __bool__(self) -> bool:
        return bool(self._control or self._bodies)

    def put(self, frame: Frame) -> None:
        """Queue a frame behind those of the same lane and exchange."""
        if isinstance(frame, Reset):
            self._bodies.pop(frame.exchange, None)
        if isinstance(frame, Body) or (
            isinstance(frame, End) and frame.exchange in self._bodies
        ):
            self._bodies.setdefault(frame.exchange, deque()).append(frame)
        else:
            self._control.append(frame)

    def take(self) -> Frame | None:
        """Remove and return the next frame, None if there is none."""
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

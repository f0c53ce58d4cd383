"""Joins body frames, so that a queue of them is bounded in frames as in bytes."""

from .frames import Body, Frame

MAX_BODY_FRAME_BYTES = 16 * 1024
"""Longer frames would delay the heads of other requests on the same connection."""


def join_body_frames(last: Frame | None, frame: Frame) -> Body | None:
    """Return two frames of one exchange as one, None if they can't be joined.

    A frame of one byte takes two hundred times its size in memory. Flow control counts
    bytes, so it does not limit how many such frames wait.
    """
    if not (isinstance(last, Body) and isinstance(frame, Body)):
        return None
    if len(last.data) + len(frame.data) > MAX_BODY_FRAME_BYTES:
        return None
    return Body(frame.exchange, last.data + frame.data)

"""Guards against queues that are bounded in bytes but not in frames.

A body of many short frames, or frames that carry no body at all, filled the memory
although the flow-control window was kept.
"""

import pytest

from ...errors import ErrorKind
from .. import frames
from .._body_frames import MAX_BODY_FRAME_BYTES
from .._send_queue import SendQueue
from ..exchange import (
    MAX_UNREAD_FRAMES,
    WINDOW_BYTES,
    Exchange,
    ExchangeProtocolError,
    make_exchange_pair,
)

pytestmark = pytest.mark.anyio

SHORT_FRAMES = 50_000
MAX_FRAMES_OF_A_WINDOW = 2 * WINDOW_BYTES // MAX_BODY_FRAME_BYTES + 1


def count_unread(exchange: Exchange) -> int:
    return len(exchange._inbox)


async def test_unread_short_body_frames_are_joined() -> None:
    _, right = make_exchange_pair()
    for number in range(SHORT_FRAMES):
        right.deliver(frames.Body(1, b"%d" % (number % 10)))
    assert count_unread(right) <= MAX_FRAMES_OF_A_WINDOW
    body = bytearray()
    while len(body) < SHORT_FRAMES:
        frame = await right.receive()
        assert isinstance(frame, frames.Body)
        assert len(frame.data) <= MAX_BODY_FRAME_BYTES
        body += frame.data
    assert body == b"0123456789" * (SHORT_FRAMES // 10)


async def test_short_body_frames_that_wait_to_be_sent_are_joined() -> None:
    queue = SendQueue()
    for number in range(SHORT_FRAMES):
        queue.put(frames.Body(1 + number % 2, b"x"))
    for exchange in (1, 2):
        queue.put(frames.End(exchange))
    sent: list[frames.Frame] = []
    while (frame := queue.take()) is not None:
        sent.append(frame)
    assert len(sent) <= 2 * (MAX_FRAMES_OF_A_WINDOW + 1)
    for exchange in (1, 2):
        of_exchange = [frame for frame in sent if frame.exchange == exchange]
        assert of_exchange[-1] == frames.End(exchange)
        size = sum(len(f.data) for f in of_exchange if isinstance(f, frames.Body))
        assert size == SHORT_FRAMES // 2


@pytest.mark.parametrize(
    "sent",
    [
        [frames.Continue(1)],
        [frames.Continue(1), frames.Body(1, b"")],
        [frames.Reset(1, ErrorKind.CANCELLED)],
    ],
    ids=["continue", "empty-bodies", "reset"],
)
async def test_frames_without_a_body_are_limited(sent: list[frames.Frame]) -> None:
    _, right = make_exchange_pair()
    with pytest.raises(ExchangeProtocolError):
        for _ in range(MAX_UNREAD_FRAMES + 1):
            for frame in sent:
                right.deliver(frame)
    assert count_unread(right) <= MAX_UNREAD_FRAMES


async def test_one_pong_waits_for_a_peer_that_reads_nothing() -> None:
    queue = SendQueue()
    for _ in range(3):
        queue.put(frames.Pong())
    assert queue.take() == frames.Pong()
    assert queue.take() is None
    queue.put(frames.Pong())
    assert queue.take() == frames.Pong()

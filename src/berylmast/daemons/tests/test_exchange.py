"""Tests that frames reach only their exchange and that truncation is detected.

Late or repeated frames must not reach another exchange, and a truncated response must
not be taken for a complete one.
"""

from collections.abc import Callable

import anyio
import pytest

from ...errors import ErrorKind
from ...model import LoadReport
from .. import frames
from ..codec import encode_frame
from ..connection import PROTOCOL_VERSION, Identity, PeerConnection
from ..exchange import Exchange, ExchangeLost, ExchangeProtocolError, make_exchange_pair
from .test_connection import MemoryByteStream, connect, make_streams

pytestmark = pytest.mark.anyio

LOAD = LoadReport("b", 1, 1, 0, 0, 1, 1.0, 0.0)
RESPONSE = frames.Response(1, 200, [], LOAD)


async def test_frames_after_the_end_frame_are_rejected() -> None:
    for late in (frames.End(1), frames.Body(1, b"x"), RESPONSE):
        left, right = make_exchange_pair()
        await left.send(RESPONSE)
        await left.send(frames.End(1))
        with pytest.raises(ExchangeProtocolError):
            right.deliver(late)
        assert isinstance(await right.receive(), frames.Response)
        assert isinstance(await right.receive(), frames.End)


async def test_fail_after_the_end_frame_is_not_sent() -> None:
    """A deadline that passes after the End frame must not end the connection."""
    left, right = make_exchange_pair()
    await left.send(RESPONSE)
    await left.send(frames.End(1))
    await left.send(frames.Fail(1, ErrorKind.DEADLINE_UNKNOWN, "late", LOAD))
    received = [await right.receive(), await right.receive()]
    assert received == [RESPONSE, frames.End(1)]
    with anyio.move_on_after(1) as scope:
        await right.receive()
    assert scope.cancelled_caught


async def test_reset_is_noticed_behind_unread_body() -> None:
    left, right = make_exchange_pair()
    await left.send(frames.Probe(1))
    await left.send_body(b"x" * 50_000)
    await left.send(frames.Reset(1, ErrorKind.CANCELLED))
    with anyio.fail_after(1):
        await right.wait_reset()


async def test_lost_exchange_counts_as_reset() -> None:
    _, right = make_exchange_pair()
    right.mark_lost()
    with anyio.fail_after(1):
        await right.wait_reset()


@pytest.mark.parametrize("early", [True, False])
@pytest.mark.parametrize(
    ("reset", "only_reset", "cancelled"),
    [
        (True, False, True),
        (True, True, True),
        (False, False, True),
        (False, True, False),
    ],
)
async def test_cancel_on_reset_cancels_its_block(
    early: bool, reset: bool, only_reset: bool, cancelled: bool
) -> None:
    _, right = make_exchange_pair()
    went_on = False

    def end() -> None:
        if reset:
            right.deliver(frames.Reset(1, ErrorKind.CANCELLED))
        else:
            right.mark_lost()

    async def work() -> None:
        nonlocal went_on
        with right.cancel_on_reset(only_reset=only_reset):
            await anyio.sleep(5)
            went_on = True

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tg:
            if early:
                end()
            tg.start_soon(work)
            await anyio.sleep(1)
            if not early:
                end()
    assert went_on is not cancelled


async def test_connection_loss_wakes_every_waiting_receiver() -> None:
    """The first waiting task creates the event; a second must not replace it."""
    left, right = make_exchange_pair()
    lost = 0

    async def receive() -> None:
        nonlocal lost
        with pytest.raises(ExchangeLost):
            await right.receive()
        lost += 1

    with anyio.fail_after(1):
        async with anyio.create_task_group() as tg:
            tg.start_soon(receive)
            tg.start_soon(receive)
            await anyio.sleep(0.1)
            right.mark_lost()
    assert lost == 2
    assert left.lost is False


@pytest.mark.parametrize(
    "sent",
    [
        [frames.Probe(1), frames.Probe(1)],
        [frames.Probe(2), frames.Probe(1)],
        [frames.Probe(0)],
        [
            frames.Probe(1),
            frames.Body(1, b"x" * 100_000),
            frames.Body(1, b"x" * 170_000),
        ],
        [frames.Probe(1), frames.End(1), frames.End(1)],
    ],
    ids=["open-twice", "id-reused", "id-of-connection", "window", "end-twice"],
)
async def test_protocol_violation_closes_the_connection(
    sent: list[frames.Frame],
) -> None:
    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        if frame.exchange == 1:
            await anyio.sleep_forever()

    left, right = make_streams()
    owner = PeerConnection(right, Identity("b", 2), accept=accept)  # type: ignore[arg-type]
    async with anyio.create_task_group() as tg:
        tg.start_soon(owner.run)
        await left.send(encode_frame(frames.Hello(0, PROTOCOL_VERSION, "a", 1)))
        for frame in sent:
            await left.send(encode_frame(frame))
            await anyio.sleep(0.01)
        assert owner.closed
        tg.cancel_scope.cancel()


async def test_late_frames_of_a_closed_exchange_are_ignored() -> None:
    late = anyio.Event()

    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        if frame.exchange == 1:
            await late.wait()
            await exchange.send(RESPONSE)
            await exchange.send(frames.End(1))
        else:
            await anyio.sleep(1)
            await exchange.send(frames.Load(exchange.id, LOAD))

    async with connect(accept) as (conn, _):
        first = conn.open_exchange()
        await first.send(frames.Probe(first.id))
        conn.close_exchange(first)
        second = conn.open_exchange()
        await second.send(frames.Probe(second.id))
        late.set()
        assert isinstance(await second.receive(), frames.Load)
        with pytest.raises(ExchangeLost):
            await first.receive()
        assert not conn.closed


@pytest.mark.parametrize("responds", [True, False])
async def test_reset_is_sent_only_for_an_open_exchange(responds: bool) -> None:
    reset = anyio.Event()

    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        if responds:
            await exchange.send(frames.Load(exchange.id, LOAD))
        with anyio.move_on_after(1):
            await exchange.wait_reset()
            reset.set()

    async with connect(accept) as (conn, _):
        exchange = conn.open_exchange()
        await exchange.send(frames.Probe(exchange.id))
        if responds:
            await exchange.receive()
        conn.close_exchange(exchange, frames.Reset(exchange.id, ErrorKind.CANCELLED))
        await anyio.sleep(2)
    assert reset.is_set() is not responds


@pytest.mark.parametrize("fault", [ValueError, ExchangeLost])
async def test_error_in_one_exchange_leaves_the_others_open(
    fault: Callable[[], Exception],
) -> None:
    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        if frame.exchange == 1:
            raise fault()
        await exchange.send(frames.Load(exchange.id, LOAD))

    async with connect(accept) as (conn, _):
        first, second = conn.open_exchange(), conn.open_exchange()
        for exchange in (first, second):
            await exchange.send(frames.Probe(exchange.id))
        assert isinstance(await second.receive(), frames.Load)
        if fault is ValueError:
            frame = await first.receive()
            assert frame == frames.Reset(1, ErrorKind.INTERNAL)


async def test_connection_loss_during_a_response_raises_exchange_lost() -> None:
    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        await exchange.send(RESPONSE)
        await exchange.send_body(b"half")
        await anyio.sleep_forever()

    async with connect(accept) as (conn, stream):
        exchange = conn.open_exchange()
        await exchange.send(frames.Probe(exchange.id))
        assert isinstance(await exchange.receive(), frames.Response)
        assert isinstance(await exchange.receive(), frames.Body)
        await MemoryByteStream.aclose(stream)
        with pytest.raises(ExchangeLost):
            await exchange.receive()

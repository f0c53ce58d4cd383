"""Tests flow control, buffer limits and the detection of silent connections."""

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.lowlevel import checkpoint
from anyio.streams.stapled import StapledObjectStream

from ...model import AttemptId, LoadReport
from .. import frames
from ..codec import encode_frame
from ..connection import (
    FRAMES_PER_TURN,
    PROTOCOL_VERSION,
    SILENCE_LIMIT_S,
    ExchangeHandler,
    Identity,
    PeerConnection,
)
from ..exchange import WINDOW_BYTES, Exchange, ExchangeLost

pytestmark = pytest.mark.anyio


class MemoryByteStream(StapledObjectStream[bytes]):
    """An in-memory byte stream; if ``silent`` is set, sent bytes are dropped."""

    silent = False

    async def send(self, item: bytes) -> None:
        if not self.silent:
            await super().send(item)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        return await super().receive()


def make_streams() -> tuple[MemoryByteStream, MemoryByteStream]:
    a_in, b_out = anyio.create_memory_object_stream[bytes](100)
    b_in, a_out = anyio.create_memory_object_stream[bytes](100)
    return MemoryByteStream(a_in, a_out), MemoryByteStream(b_in, b_out)


@asynccontextmanager
async def connect(
    accept: ExchangeHandler,
) -> AsyncIterator[tuple[PeerConnection, MemoryByteStream]]:
    left, right = make_streams()
    dialer = PeerConnection(left, Identity("a", 1))  # type: ignore[arg-type]
    owner = PeerConnection(right, Identity("b", 2), accept=accept)  # type: ignore[arg-type]
    async with anyio.create_task_group() as tg:
        tg.start_soon(dialer.run)
        tg.start_soon(owner.run)
        await dialer.wait_ready()
        yield dialer, right
        tg.cancel_scope.cancel()


async def test_body_longer_than_the_window_arrives_whole() -> None:
    received = bytearray()
    done = anyio.Event()

    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        while not isinstance(part := await exchange.receive(), frames.End):
            assert isinstance(part, frames.Body)
            received.extend(part.data)
        done.set()

    async with connect(accept) as (conn, _):
        exchange = conn.open_exchange()
        await exchange.send(frames.Probe(exchange.id))
        data = bytes(range(256)) * 4096 * 3
        await exchange.send_body(data)
        await exchange.send(frames.End(exchange.id))
        await done.wait()
    assert bytes(received) == data


async def test_sender_waits_when_the_receiver_does_not_read() -> None:
    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        await anyio.sleep_forever()

    async with connect(accept) as (conn, _):
        exchange = conn.open_exchange()
        await exchange.send(frames.Probe(exchange.id))
        with anyio.move_on_after(60) as scope:
            await exchange.send_body(b"x" * (2 * WINDOW_BYTES))
        assert scope.cancelled_caught
        assert conn.bytes_sent < WINDOW_BYTES + 4096


async def test_silent_stream_loses_its_exchange_within_the_limit() -> None:
    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        await anyio.sleep_forever()

    async with connect(accept) as (conn, stream):
        exchange = conn.open_exchange()
        await exchange.send(frames.Probe(exchange.id))
        await anyio.sleep(10)
        assert not conn.closed, "heartbeats keep a quiet connection open"
        stream.silent = True
        started_s = anyio.current_time()
        with pytest.raises(ExchangeLost):
            await exchange.receive()
        assert anyio.current_time() - started_s <= 2 * SILENCE_LIMIT_S
        assert conn.closed


async def test_unexpected_error_ends_only_its_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The error of one frame ended the task group, and with it the whole daemon."""
    caplog.set_level(logging.INFO, "berylmast")

    def fail(records: tuple[frames.EndpointRecord, ...]) -> None:
        raise RuntimeError("unexpected")

    left, right = make_streams()
    dialer = PeerConnection(left, Identity("a", 1))  # type: ignore[arg-type]
    owner = PeerConnection(right, Identity("b", 2), on_tell=fail)  # type: ignore[arg-type]
    async with anyio.create_task_group() as tg:
        tg.start_soon(dialer.run)
        tg.start_soon(owner.run)
        await dialer.wait_ready()
        dialer.write(frames.Tell(frames.CONNECTION_EXCHANGE_ID, ()))
        with anyio.fail_after(1):
            while not owner.closed:
                await anyio.sleep(0.01)
        tg.cancel_scope.cancel()
    assert "fault" in caplog.messages


@pytest.mark.parametrize("by_owner", [False, True], ids=["entry", "owner"])
async def test_frame_that_cannot_be_encoded_ends_only_its_exchange(
    by_owner: bool,
) -> None:
    """One caller's deadline ended all requests between two daemons."""
    load = LoadReport("b", 1, 2**70, 0, 0, 1, 1.0, 0.0)

    async def accept(exchange: Exchange, frame: frames.OpeningFrame) -> None:
        if isinstance(frame, frames.Query) and by_owner:
            await exchange.send(frames.Load(exchange.id, load))
        await exchange.wait_reset()

    async with connect(accept) as (conn, _):
        sound = conn.open_exchange()
        await sound.send(frames.Probe(sound.id))
        failing = conn.open_exchange()
        counter = 1 if by_owner else 2**70
        attempt = AttemptId("a", 1, counter)
        await failing.send(frames.Query(failing.id, attempt))
        with anyio.fail_after(1):
            if by_owner:
                assert isinstance(await failing.receive(), frames.Reset)
            else:
                with pytest.raises(ExchangeLost):
                    await failing.receive()
        await anyio.sleep(1)
        assert not conn.closed
        assert not sound.lost
        assert conn.open_exchange_count == 1 + by_owner


async def test_other_tasks_run_while_a_peer_sends_many_short_frames() -> None:
    """All frames of one read were handled before any other task ran."""
    turns = 0
    turns_at_goaway: list[int] = []

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await checkpoint()

    left, right = make_streams()
    owner = PeerConnection(
        right,  # type: ignore[arg-type]
        Identity("b", 2),
        on_goaway=lambda _peer: turns_at_goaway.append(turns),
    )
    hello = frames.Hello(0, PROTOCOL_VERSION, "a", 1)
    pongs = [frames.Pong()] * 100 * FRAMES_PER_TURN
    sent: list[frames.Frame] = [hello, frames.GoAway(), *pongs, frames.GoAway()]
    async with anyio.create_task_group() as tg:
        tg.start_soon(count_turns)
        tg.start_soon(owner.run)
        await left.send(b"".join(encode_frame(frame) for frame in sent))
        while len(turns_at_goaway) < 2:
            await checkpoint()
        tg.cancel_scope.cancel()
    first, last = turns_at_goaway
    assert last - first >= 100

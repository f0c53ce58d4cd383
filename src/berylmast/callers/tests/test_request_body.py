"""Guards against faults in relaying request bodies.

These are: a disconnect of the caller that goes unnoticed, a large body that is buffered
whole, and a truncated body that looks complete.
"""

import anyio
import pytest

from ...daemons import Exchange
from ...daemons.frames import Body, Continue, End, Refuse, Request
from ...errors import ErrorKind
from ..read_ahead import READ_AHEAD_BYTES, ReadAheadPool
from ..request_body import RequestBody
from .entry import (
    CHUNKED,
    LOAD,
    SimulatedCaller,
    content_length,
    make_entry_app,
    read_body,
    send_response,
)

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ([], None),
        (content_length(10), None),
        (content_length(10), b"hello"),
        (content_length(100_000), None),
        (content_length(100_000), b"hello"),
        (CHUNKED, b"hello"),
        (content_length(5), b"hello"),
    ],
)
async def test_disconnect_resets_the_exchange(
    headers: list[tuple[bytes, bytes]], body: bytes | None
) -> None:
    """The exchange is reset on a disconnect before, during or after the body."""
    ended = anyio.Event()
    bodies = []

    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Continue(exchange.id))
        try:
            bodies.append(await read_body(exchange))
            await exchange.wait_reset()
        finally:
            ended.set()

    caller = SimulatedCaller(headers)
    with anyio.fail_after(5):
        async with anyio.create_task_group() as tg:
            tg.start_soon(caller.run, make_entry_app(owner))
            if not headers:
                caller.send_body(b"", more=False)
            if body is not None:
                caller.send_body(body, more=headers != content_length(5))
            await anyio.sleep(1)
            assert not ended.is_set()
            caller.disconnect()
            await ended.wait()
    assert bodies == ([b"hello"] if headers == content_length(5) else []), (
        "a truncated body looked complete"
    )


@pytest.mark.parametrize(
    ("headers", "parts", "complete"),
    [
        (content_length(100_000), [100_000], True),
        (content_length(100_000), [10_000] * 10, True),
        (content_length(180_000), [60_000] * 2, False),
        (CHUNKED, [60_000, 60_000], True),
        (CHUNKED, [100_000], False),
    ],
    ids=["whole", "whole-in-parts", "half-sent", "chunked", "chunked-half-sent"],
)
@pytest.mark.parametrize("refusals", [0, 1], ids=["first-owner", "second-owner"])
async def test_caller_of_an_upload_that_leaves_before_admission_is_noticed(
    headers: list[tuple[bytes, bytes]],
    parts: list[int],
    complete: bool,
    refusals: int,
) -> None:
    """Uploads of callers who had long left were dispatched to a server, and ran.

    Nobody read the connection while such a request waited in an owner's queue.
    """
    attempts = 0
    waiting = anyio.Event()
    reset = anyio.Event()

    async def owner(exchange: Exchange) -> None:
        nonlocal attempts
        attempts += 1
        await exchange.receive()
        if attempts <= refusals:
            refusal = Refuse(exchange.id, ErrorKind.OVERLOADED, "full", LOAD)
            await exchange.send(refusal)
            return
        waiting.set()
        try:
            await exchange.wait_reset()
        finally:
            reset.set()

    caller = SimulatedCaller(headers)
    for size in parts:
        caller.send_body(b"x" * size, more=True)
    if complete:
        caller.send_body(b"", more=False)
    with anyio.fail_after(5):
        async with anyio.create_task_group() as tg:
            tg.start_soon(caller.run, make_entry_app(owner))
            await waiting.wait()
            await anyio.sleep(1)
            assert not reset.is_set()
            caller.disconnect()
            await reset.wait()


async def test_streamed_body_over_the_limit_is_refused_as_unknown() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Continue(exchange.id))
        await read_body(exchange)

    caller = SimulatedCaller(CHUNKED)
    for _ in range(4):
        caller.send_body(b"x" * 60_000, more=True)
    await caller.run(make_entry_app(owner))
    assert (caller.status, caller.error) == (413, b"body-too-large-unknown")


async def test_streamed_body_waits_for_the_window_and_is_not_buffered() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Continue(exchange.id))
        await anyio.sleep(10)
        body = await read_body(exchange)
        await send_response(
            exchange, Body(exchange.id, b"%d" % len(body)), End(exchange.id)
        )

    caller = SimulatedCaller(content_length(200_000))
    for _ in range(20):
        caller.send_body(b"x" * 10_000, more=True)
    caller.send_body(b"", more=False)
    app = make_entry_app(owner)
    async with anyio.create_task_group() as tg:
        tg.start_soon(caller.run, app)
        await anyio.sleep(5)
    assert caller.sent[1]["body"] == b"200000"


async def test_consumed_body_is_not_sent_again() -> None:
    attempts = 0

    async def owner(exchange: Exchange) -> None:
        nonlocal attempts
        attempts += 1
        await exchange.receive()
        await exchange.send(Continue(exchange.id))
        await exchange.receive()
        await exchange.send(
            Refuse(exchange.id, ErrorKind.BACKEND_UNREACHABLE, "gone", LOAD)
        )

    caller = SimulatedCaller(content_length(100_000))
    caller.send_body(b"x" * 50_000, more=True)
    caller.send_body(b"x" * 50_000, more=False)
    await caller.run(make_entry_app(owner))
    assert attempts == 1
    assert caller.error == b"backend-unreachable"


@pytest.mark.parametrize("admitted", [True, False])
async def test_100_continue_is_sent_only_after_admission(admitted: bool) -> None:
    reads_before = -1

    async def owner(exchange: Exchange) -> None:
        nonlocal reads_before
        frame = await exchange.receive()
        assert isinstance(frame, Request)
        await anyio.sleep(1)
        reads_before = caller.reads
        if not admitted:
            await exchange.send(Refuse(exchange.id, ErrorKind.DRAINING, "", LOAD))
            return
        await exchange.send(Continue(exchange.id))
        body = await read_body(exchange)
        await send_response(exchange, Body(exchange.id, body), End(exchange.id))

    caller = SimulatedCaller([*content_length(5), (b"expect", b"100-continue")])
    caller.send_body(b"hello", more=False)
    await caller.run(make_entry_app(owner))
    assert reads_before == 0
    if admitted:
        assert caller.sent[1]["body"] == b"hello"
    else:
        assert caller.reads == 0, "100 Continue was sent for a refused body"
        assert (b"connection", b"close") in caller.sent[0]["headers"]


@pytest.mark.parametrize(
    ("length", "sent"), [(4_000, True), (60_000, False), (300_000, False)]
)
async def test_long_body_waits_until_an_owner_admits(length: int, sent: bool) -> None:
    """Guards against sending a large body over the link to owners that refuse it."""
    received = []

    async def owner(exchange: Exchange) -> None:
        request = await exchange.receive()
        assert isinstance(request, Request)
        with anyio.move_on_after(1):
            received.append(await exchange.receive())
        await exchange.send(Refuse(exchange.id, ErrorKind.OVERLOADED, "", LOAD))

    caller = SimulatedCaller(content_length(length))
    async with anyio.create_task_group() as tg:
        tg.start_soon(caller.run, make_entry_app(owner))
        caller.send_body(b"x" * length, more=False)
        await anyio.sleep(2)
        tg.cancel_scope.cancel()
    assert bool(received) == sent


async def test_waiting_uploads_share_a_bounded_read_ahead() -> None:
    pool = ReadAheadPool(capacity_bytes=200_000)
    bodies = []
    async with anyio.create_task_group() as tg:
        for _ in range(10):
            caller = SimulatedCaller()
            for _ in range(20):
                caller.send_body(b"x" * 50_000, more=True)
            bodies.append(RequestBody(caller._receive, 1_000_000, pool=pool))
            tg.start_soon(bodies[-1].read_until_refusal)
        await anyio.sleep(1)
        # Each one may hold a part beyond its own share before it stops.
        assert pool.used_bytes <= 200_000 + 10 * (READ_AHEAD_BYTES + 50_000)
        tg.cancel_scope.cancel()
    for body in bodies:
        body.close()
    assert pool.used_bytes == 0

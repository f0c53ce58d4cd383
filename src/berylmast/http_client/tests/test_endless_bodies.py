"""Guards against a server that sends a body without end and without a pause.

Receiving then never waits. A reader that does not yield keeps the event loop: no other
request is answered, and the deadline of its own request does not end it.
"""

from collections.abc import AsyncIterator
from typing import cast

import anyio
import pytest
from anyio.abc import SocketStream

from .. import ConnectionCut, HttpClient, HttpResponse, discard_body
from .._client import MAX_DISCARDED_BODY_BYTES
from .._connection import HttpConnection, ResponseParser
from .server import OK_STATUS_LINE, run_server

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


RECEIVE_CALLS = 50
CHUNKED_HEAD = OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
LONG_HEAD = OK_STATUS_LINE + b"Content-Length: 100000000000\r\n\r\n"


class UnpausedSocket:
    """A socket that always has bytes to read, until it closes after some reads."""

    def __init__(self, part: bytes) -> None:
        self.receive_calls = 0
        self._part = part

    def recv(self, size: int) -> bytes:
        self.receive_calls += 1
        if self.receive_calls > RECEIVE_CALLS:
            return b""
        return self._part * (size // len(self._part))


def make_parser(head: bytes) -> ResponseParser:
    parser = ResponseParser(has_body=True)
    parser.feed(head)
    return parser


def make_connection(sock: UnpausedSocket) -> HttpConnection:
    return HttpConnection(cast("object", sock))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("head", "part"),
    [(CHUNKED_HEAD, b"1\r\nx\r\n"), (LONG_HEAD, b"x"), (OK_STATUS_LINE, b"\r\nxx")],
    ids=["chunks", "length", "until-close"],
)
async def test_other_tasks_run_while_a_server_sends_without_a_pause(
    head: bytes, part: bytes
) -> None:
    if head is OK_STATUS_LINE:
        head += b"\r\n"
    sock = UnpausedSocket(part)
    turns = 0

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await anyio.sleep(0)

    async with anyio.create_task_group() as tg:
        tg.start_soon(count_turns)
        try:
            async for _ in make_connection(sock).iterate_body(make_parser(head)):
                pass
        except ConnectionCut:
            pass
        tg.cancel_scope.cancel()
    assert turns >= RECEIVE_CALLS - 1


async def test_deadline_ends_a_body_that_is_sent_without_a_pause() -> None:
    sock = UnpausedSocket(b"1\r\nx\r\n")
    with anyio.CancelScope() as scope:
        async for _ in make_connection(sock).iterate_body(make_parser(CHUNKED_HEAD)):
            scope.cancel()
    assert scope.cancelled_caught
    assert sock.receive_calls == 1


async def test_small_chunks_are_joined() -> None:
    """Each part becomes a frame; a frame for each chunk filled the memory."""
    parser = make_parser(CHUNKED_HEAD + b"1\r\nx\r\n" * 1000 + b"0\r\n\r\n")
    conn = make_connection(UnpausedSocket(b"x"))
    assert [part async for part in conn.iterate_body(parser)] == [b"x" * 1000]


class UnendingBody:
    """A body that counts how much of it was read."""

    def __init__(self, *, pauses: bool) -> None:
        self.read_bytes = 0
        self._pauses = pauses

    async def iterate(self) -> AsyncIterator[bytes]:
        while True:
            if self._pauses and self.read_bytes:
                await anyio.sleep(3600)
            self.read_bytes += 1024
            yield b"x" * 1024


@pytest.mark.parametrize("pauses", [False, True], ids=["without-pause", "stalled"])
async def test_discarded_body_is_bounded_in_bytes_and_in_time(pauses: bool) -> None:
    body = UnendingBody(pauses=pauses)
    with anyio.fail_after(5):
        await discard_body(HttpResponse(503, [], body.iterate()))
    assert body.read_bytes <= MAX_DISCARDED_BODY_BYTES + 1024


async def test_connection_of_an_unending_body_is_closed() -> None:
    closed = anyio.Event()

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(CHUNKED_HEAD)
            try:
                while True:
                    await stream.send(b"1\r\nx\r\n" * 1000)
            except anyio.BrokenResourceError:
                closed.set()

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        with anyio.fail_after(5):
            async with client.send("GET", "/", [], None) as response:
                await discard_body(response)
            await closed.wait()

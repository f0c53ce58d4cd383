"""Guards against bytes that are no response, passed to a caller as one."""

import socket
import struct
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketStream
from hypothesis import given
from hypothesis import strategies as st

from ...settings import Address
from .. import ConnectionCut, HttpClient
from .._connection import ResponseParser
from .server import run_server, send_request

pytestmark = pytest.mark.anyio

LENGTH_AND_BODY = b"Content-Length: 2\r\n\r\nhi"
CHUNKED_BODY = b"2\r\nhi\r\n0\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
LARGE_BODY_BYTES = 32 << 20
"""More than the socket buffers of both sides hold."""


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


INVALID_RESPONSES = {
    "status-000": b"HTTP/1.1 000 None\r\n" + LENGTH_AND_BODY,
    "status-000-then-200": b"HTTP/1.1 000 None\r\n\r\n" + OK + LENGTH_AND_BODY,
    "status-000-empty-then-200": b"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n"
    + OK
    + LENGTH_AND_BODY,
    "status-099": b"HTTP/1.1 099 Low\r\n" + LENGTH_AND_BODY,
    "status-600": b"HTTP/1.1 600 High\r\n" + LENGTH_AND_BODY,
    "status-999": b"HTTP/1.1 999 High\r\n" + LENGTH_AND_BODY,
    "status-two-digits": b"HTTP/1.1 20 OK\r\n" + LENGTH_AND_BODY,
    "status-four-digits": b"HTTP/1.1 2000 OK\r\n" + LENGTH_AND_BODY,
    "status-no-number": b"HTTP/1.1 2x0 OK\r\n" + LENGTH_AND_BODY,
    "version-0.9": b"HTTP/0.9 200 OK\r\n" + LENGTH_AND_BODY,
    "version-1.2": b"HTTP/1.2 200 OK\r\n" + LENGTH_AND_BODY,
    "version-2.0": b"HTTP/2.0 200 OK\r\n" + LENGTH_AND_BODY,
    "other-protocol": b"HTTQ/1.1 200 OK\r\n" + LENGTH_AND_BODY,
    "reason-control": b"HTTP/1.1 200 O\x01K\r\n" + LENGTH_AND_BODY,
    "name-blank": OK + b"Bad Name: x\r\n" + LENGTH_AND_BODY,
    "name-tab": OK + b"Bad\tName: x\r\n" + LENGTH_AND_BODY,
    "name-control": OK + b"Bad\x01Name: x\r\n" + LENGTH_AND_BODY,
    "name-nul": OK + b"Bad\x00Name: x\r\n" + LENGTH_AND_BODY,
    "name-del": OK + b"Bad\x7fName: x\r\n" + LENGTH_AND_BODY,
    "name-high-byte": OK + b"Bad\xe4Name: x\r\n" + LENGTH_AND_BODY,
    "name-empty": OK + b": x\r\n" + LENGTH_AND_BODY,
    "name-blank-before-colon": OK + b"Name : x\r\n" + LENGTH_AND_BODY,
    "name-bracket": OK + b"Na(me: x\r\n" + LENGTH_AND_BODY,
    "no-colon": OK + b"Name\r\n" + LENGTH_AND_BODY,
    "folded-value": OK + b"Name: x\r\n y\r\n" + LENGTH_AND_BODY,
    "value-nul": OK + b"Name: x\x00y\r\n" + LENGTH_AND_BODY,
    "value-control": OK + b"Name: x\x01y\r\n" + LENGTH_AND_BODY,
    "value-del": OK + b"Name: x\x7fy\r\n" + LENGTH_AND_BODY,
    "value-bare-cr": OK + b"Name: x\ry\r\n" + LENGTH_AND_BODY,
    "length-not-a-number": OK + b"Content-Length: 2x\r\n\r\nhi",
    "length-negative": OK + b"Content-Length: -2\r\n\r\nhi",
    "length-plus": OK + b"Content-Length: +2\r\n\r\nhi",
    "length-empty": OK + b"Content-Length: \r\n\r\nhi",
    "length-twice-different": OK + b"Content-Length: 3\r\n" + LENGTH_AND_BODY,
    "length-twice": OK + b"Content-Length: 2\r\n" + LENGTH_AND_BODY,
    "length-list-different": OK + b"Content-Length: 2, 3\r\n\r\nhi",
    "length-and-chunked": OK
    + b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
    + CHUNKED_BODY
    + b"\r\n",
    "unknown-coding": OK + b"Transfer-Encoding: gzip\r\n\r\nhi",
    "chunked-not-last": OK + b"Transfer-Encoding: chunked, gzip\r\n\r\nhi",
    "chunked-twice": OK
    + b"Transfer-Encoding: chunked, chunked\r\n\r\n"
    + CHUNKED_BODY
    + b"\r\n",
    "chunk-size-not-hex": OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n",
    "trailer-name-blank": OK
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + CHUNKED_BODY
    + b"Bad Name: x\r\n\r\n",
    "trailer-value-control": OK
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + CHUNKED_BODY
    + b"Name: x\x01y\r\n\r\n",
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nhi",
    "continue-without-end": b"HTTP/1.1 100 Continue\r\n\r\n" * 1000,
    "no-status-line": b"hello\r\n\r\n",
}


def is_complete(parts: Iterator[bytes]) -> bool:
    """Return whether a parser takes the parts, and then the end, for a response."""
    parser = ResponseParser(has_body=True)
    try:
        for part in parts:
            parser.feed(part)
            if parser.complete:
                return True
        parser.feed(b"")
    except ConnectionCut:
        return False
    return parser.complete


def iterate_cuts(data: bytes) -> Iterator[list[bytes]]:
    """Yield the bytes in one piece, one by one, and cut in two at every byte."""
    yield [data]
    yield [data[i : i + 1] for i in range(len(data))]
    for i in range(1, min(len(data), 200)):
        yield [data[:i], data[i:]]


@pytest.mark.parametrize("data", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES)
def test_invalid_response_is_never_complete(data: bytes) -> None:
    """Guards against a response that some split of its bytes lets through."""
    for parts in iterate_cuts(data):
        assert not is_complete(iter(parts)), parts


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_invalid_status_ends_the_wait_for_a_response_at_once(status: bytes) -> None:
    """Guards against a request that waits for its deadline after such a status."""
    with pytest.raises(ConnectionCut):
        ResponseParser(has_body=True).feed(b"HTTP/1.1 " + status + b" X\r\n\r\n")


@pytest.mark.parametrize(
    "data",
    [
        OK + LENGTH_AND_BODY,
        b"HTTP/1.0 200 OK\r\n" + LENGTH_AND_BODY,
        b"HTTP/1.1 599\r\n" + LENGTH_AND_BODY,
        b"HTTP/1.1 200 \r\n" + LENGTH_AND_BODY,
        OK + b"Name:\r\nOther: a\tb \xe4\r\n" + LENGTH_AND_BODY,
        OK + b"Transfer-Encoding: Chunked\r\n\r\n" + CHUNKED_BODY + b"\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"
        + OK
        + LENGTH_AND_BODY,
        OK + b"\r\nbody up to the end",
    ],
)
def test_valid_response_is_complete(data: bytes) -> None:
    """Guards against rules that refuse what RFC 9110 and 9112 allow."""
    for parts in iterate_cuts(data):
        assert is_complete(iter(parts)), parts


@given(
    status=st.integers(0, 999),
    name=st.binary(min_size=1, max_size=4).filter(
        lambda name: not set(name) & set(b"\r\n:")
    ),
)
def test_only_valid_statuses_and_names_are_accepted(status: int, name: bytes) -> None:
    """Guards against statuses and names that the table above does not list."""
    head = b"HTTP/1.1 %03d X\r\n%b: x\r\n" % (status, name)
    token = set(b"!#$%&'*+-.^_`|~") | set(range(48, 58))
    token |= set(range(65, 91)) | set(range(97, 123))
    valid = set(name) <= token and 200 <= status <= 599
    if status in (204, 304):
        return
    assert is_complete(iter([head + LENGTH_AND_BODY])) is valid


@asynccontextmanager
async def run_resetting_server(
    delay_s: float, *, linger: bool
) -> AsyncIterator[Address]:
    """Run a server that responds at once and closes with unread bytes of the request.

    Its kernel resets the connection then. With ``linger`` the server asks for that.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)

    async def serve() -> None:
        await anyio.wait_readable(listener)
        sock, _ = listener.accept()
        sock.setblocking(False)
        await anyio.wait_readable(sock)
        sock.recv(1000)
        sock.send(OK + b"\r\n" + b"x" * 40)
        await anyio.sleep(delay_s)
        if linger:
            option = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        sock.close()

    async with anyio.create_task_group() as tg:
        tg.start_soon(serve)
        yield Address(host="127.0.0.1", port=listener.getsockname()[1])
        tg.cancel_scope.cancel()
    listener.close()


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.005, 0.05, 0.15])
@pytest.mark.parametrize("linger", [True, False], ids=["reset", "close"])
@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_reset_during_an_upload_is_no_end_of_a_body(
    linger: bool, framing: str, delay_s: float
) -> None:
    """Guards against part of a body that is taken for all of it.

    The server responds without a length while the upload is still being written, and
    its connection is reset. The failing write takes the error off the socket, and the
    next read returns an end.
    """

    async def produce() -> AsyncIterator[bytes]:
        for _ in range(64):
            yield b"x" * (LARGE_BODY_BYTES // 64)
            await anyio.sleep(0)

    headers = [(b"host", b"x")]
    if framing == "length":
        headers.append((b"content-length", str(LARGE_BODY_BYTES).encode()))
    async with run_resetting_server(delay_s, linger=linger) as address:
        client = HttpClient(address, 1)
        cut = False
        try:
            async with client.send("POST", "/", headers, produce()) as response:
                # A caller that reads slowly: the write fails between two reads.
                async for _ in response.body:
                    await anyio.sleep(0.02)
        except ConnectionCut:
            cut = True
        assert cut
        client.close()


async def test_orderly_end_completes_a_body_without_a_length() -> None:
    """Guards against refusing a body that ends with the connection, as it may."""

    async def serve(stream: SocketStream) -> None:
        await stream.receive()
        await stream.send(OK + b"\r\nall")
        await stream.send_eof()
        await anyio.sleep(0.1)

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        assert await send_request(client) == (200, b"all", [])
        client.close()

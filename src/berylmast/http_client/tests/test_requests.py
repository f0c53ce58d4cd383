"""Guards against wrong framing, truncation and header injection in requests.

A client that sends the whole body before it reads the response may also wait forever:
a server may respond without reading the body.
"""

from collections.abc import AsyncIterator

import anyio
import pytest
from anyio.abc import SocketStream

from .. import ConnectionCut, HttpClient, ServerUnreachable
from .server import OK_STATUS_LINE, respond_with, run_server

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


@pytest.mark.parametrize(
    ("headers", "chunks", "expected_bytes"),
    [
        ([], [b"ab", b"c"], b"2\r\nab\r\n1\r\nc\r\n0\r\nsum: 1\r\n\r\n"),
        ([(b"content-length", b"3")], [b"ab", b"c"], b"abc"),
    ],
    ids=["chunked-with-trailers", "length"],
)
async def test_request_body_is_framed(
    headers: list[tuple[bytes, bytes]], chunks: list[bytes], expected_bytes: bytes
) -> None:
    received = bytearray()

    async def serve(stream: SocketStream) -> None:
        async with stream:
            while not received.endswith(expected_bytes):
                received.extend(await stream.receive())
            await stream.send(OK_STATUS_LINE + b"Content-Length: 0\r\n\r\n")

    async def iterate_body() -> AsyncIterator[bytes]:
        for chunk in chunks:
            yield chunk

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        with anyio.fail_after(5):
            async with client.send(
                "POST", "/", headers, iterate_body(), lambda: [(b"sum", b"1")]
            ) as response:
                assert response.status == 200
        client.close()


@pytest.mark.parametrize("body", [b"ab", b"abcd"], ids=["shorter", "longer"])
async def test_body_that_differs_from_content_length_is_incomplete(body: bytes) -> None:
    received = bytearray()

    async def serve(stream: SocketStream) -> None:
        async with stream:
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    received.extend(await stream.receive())

    async def iterate_body() -> AsyncIterator[bytes]:
        yield body

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        with anyio.fail_after(5), pytest.raises(ConnectionCut):
            async with client.send(
                "POST", "/", [(b"content-length", b"3")], iterate_body()
            ):
                pass
        await anyio.sleep(0.05)
    assert len(received.partition(b"\r\n\r\n")[2]) < 3


async def test_early_response_does_not_wait_for_the_request_body() -> None:
    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
            await anyio.sleep(1)

    async def iterate_body() -> AsyncIterator[bytes]:
        while True:
            yield b"x" * 65_536

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        with anyio.fail_after(5):
            async with client.send("POST", "/", [], iterate_body()) as response:
                assert response.status == 413


async def test_request_head_with_a_line_break_is_not_sent() -> None:
    requests: list[bytes] = []
    async with run_server(
        respond_with(OK_STATUS_LINE, requests, close=True)
    ) as address:
        client = HttpClient(address, 1)
        with pytest.raises(ServerUnreachable):
            async with client.send("GET", "/", [(b"x", b"a\r\nhost: b")], None):
                pass
    assert requests == []

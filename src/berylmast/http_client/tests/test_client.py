"""Guards against accepting truncated, invalid or duplicate responses."""

import socket

import anyio
import pytest
from anyio.abc import SocketStream

from ...settings import Address
from .. import ConnectionCut, HttpClient, ServerUnreachable
from .server import OK_STATUS_LINE, respond_with, run_server, send_request

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


CHUNKED_HEAD = OK_STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("method", "response_bytes", "status", "body", "trailers"),
    [
        ("GET", OK_STATUS_LINE + b"Content-Length: 2\r\n\r\nhi", 200, b"hi", []),
        (
            "GET",
            CHUNKED_HEAD + b"2\r\nhi\r\n0\r\nSum: 1\r\n\r\n",
            200,
            b"hi",
            [(b"sum", b"1")],
        ),
        ("HEAD", OK_STATUS_LINE + b"Content-Length: 9\r\n\r\n", 200, b"", []),
        ("HEAD", CHUNKED_HEAD, 200, b"", []),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204, b"", []),
        ("GET", b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 304, b"", []),
        (
            "GET",
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
            + OK_STATUS_LINE
            + b"Content-Length: 2\r\n\r\nhi",
            200,
            b"hi",
            [],
        ),
    ],
    ids=["length", "chunked", "head", "head-chunked", "204", "304", "1xx"],
)
async def test_complete_response_is_read_and_the_connection_reused(
    method: str, response_bytes: bytes, status: int, body: bytes, trailers: object
) -> None:
    connections = 0
    requests: list[bytes] = []

    async def serve(stream: SocketStream) -> None:
        nonlocal connections
        connections += 1
        await respond_with(response_bytes, requests, close=False)(stream)

    async with run_server(serve) as address:
        client = HttpClient(address, 2)
        with anyio.fail_after(5):
            for _ in range(3):
                assert await send_request(client, method) == (status, body, trailers)
        assert connections == 1
        client.close()


@pytest.mark.parametrize(
    "response_bytes",
    [
        b"",
        b"HTTP/1.1 2",
        OK_STATUS_LINE + b"Content-Length: 9\r\n\r\nhi",
        CHUNKED_HEAD + b"9\r\nhi",
        CHUNKED_HEAD + b"2\r\nhi\r\n",
        CHUNKED_HEAD + b"2\r\nhi\r\n0\r\n",
        OK_STATUS_LINE + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
        OK_STATUS_LINE
        + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        OK_STATUS_LINE + b"Content-Length: x\r\n\r\nhi",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        OK_STATUS_LINE + b"X: " + b"y" * 100_000 + b"\r\n\r\n",
        CHUNKED_HEAD + b"2\r\nhi\r\n0\r\nX: " + b"y" * 100_000 + b"\r\n\r\n",
    ],
    ids=[
        "nothing",
        "half-head",
        "short",
        "half-chunk",
        "no-last-chunk",
        "no-end-of-trailers",
        "two-lengths",
        "length-and-chunked",
        "bad-length",
        "nonsense",
        "upgrade",
        "huge-head",
        "huge-trailers",
    ],
)
async def test_truncated_or_invalid_response_raises_connection_cut(
    response_bytes: bytes,
) -> None:
    async with run_server(respond_with(response_bytes, [], close=True)) as address:
        client = HttpClient(address, 2)
        with anyio.fail_after(5), pytest.raises(ConnectionCut):
            await send_request(client)


@pytest.mark.parametrize("delay_s", [0.0, 0.05], ids=["same-packet", "while-idle"])
async def test_duplicate_response_is_not_read_as_the_next_one(delay_s: float) -> None:
    async def serve(stream: SocketStream) -> None:
        async with stream:
            request = await stream.receive()
            request_target = request.split()[1]
            response_bytes = OK_STATUS_LINE + b"Content-Length: %d\r\n\r\n%b" % (
                len(request_target),
                request_target,
            )
            if delay_s:
                await stream.send(response_bytes)
                await anyio.sleep(delay_s)
                await stream.send(response_bytes)
            else:
                await stream.send(response_bytes + response_bytes)
            await anyio.sleep(1)

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        for target in ("/first", "/second"):
            async with client.send("GET", target, [], None) as response:
                body = b"".join([chunk async for chunk in response.body])
            assert body == target.encode()
            await anyio.sleep(2 * delay_s)
        client.close()


async def test_connection_is_not_reused_after_a_duplicate_empty_response() -> None:
    connections = 0
    response_bytes = b"HTTP/1.1 204 No Content\r\n\r\n"

    async def serve(stream: SocketStream) -> None:
        nonlocal connections
        connections += 1
        await respond_with(response_bytes + response_bytes, [], close=False)(stream)

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        for _ in range(2):
            assert (await send_request(client))[0] == 204
        assert connections == 2


async def test_refused_connection_raises_server_unreachable() -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = Address(host="127.0.0.1", port=sock.getsockname()[1])
    with pytest.raises(ServerUnreachable):
        await send_request(HttpClient(address, 1))

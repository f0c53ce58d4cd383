"""Guards against accepting truncated, invalid or duplicate responses."""

import socket

import anyio
import pytest
from anyio.abc import SocketStream

from ...settings import Address
from .. import ConnectionCut, HttpClient, ServerUnreachable
from .server import OK, answer_with, call, run_server

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("method", "raw", "status", "body", "trailers"),
    [
        ("GET", OK + b"Content-Length: 2\r\n\r\nhi", 200, b"hi", []),
        (
            "GET",
            CHUNKED + b"2\r\nhi\r\n0\r\nSum: 1\r\n\r\n",
            200,
            b"hi",
            [(b"sum", b"1")],
        ),
        ("HEAD", OK + b"Content-Length: 9\r\n\r\n", 200, b"", []),
        ("HEAD", CHUNKED, 200, b"", []),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204, b"", []),
        ("GET", b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 304, b"", []),
        (
            "GET",
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
            + OK
            + b"Content-Length: 2\r\n\r\nhi",
            200,
            b"hi",
            [],
        ),
    ],
    ids=["length", "chunked", "head", "head-chunked", "204", "304", "1xx"],
)
async def test_whole_response_is_read_and_the_connection_used_again(
    method: str, raw: bytes, status: int, body: bytes, trailers: object
) -> None:
    connections = 0
    requests: list[bytes] = []

    async def serve(stream: SocketStream) -> None:
        nonlocal connections
        connections += 1
        await answer_with(raw, requests, close=False)(stream)

    async with run_server(serve) as address:
        client = HttpClient(address, 2)
        with anyio.fail_after(5):
            for _ in range(3):
                assert await call(client, method) == (status, body, trailers)
        assert connections == 1
        client.close()


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"HTTP/1.1 2",
        OK + b"Content-Length: 9\r\n\r\nhi",
        CHUNKED + b"9\r\nhi",
        CHUNKED + b"2\r\nhi\r\n",
        CHUNKED + b"2\r\nhi\r\n0\r\n",
        OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
        OK + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        OK + b"Content-Length: x\r\n\r\nhi",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        OK + b"X: " + b"y" * 100_000 + b"\r\n\r\n",
        CHUNKED + b"2\r\nhi\r\n0\r\nX: " + b"y" * 100_000 + b"\r\n\r\n",
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
async def test_cut_or_invalid_response_never_passes_as_whole(raw: bytes) -> None:
    async with run_server(answer_with(raw, [], close=True)) as address:
        client = HttpClient(address, 2)
        with anyio.fail_after(5), pytest.raises(ConnectionCut):
            await call(client)


@pytest.mark.parametrize("delay_s", [0.0, 0.05], ids=["same-packet", "while-idle"])
async def test_doubled_response_never_answers_the_next_request(delay_s: float) -> None:
    async def serve(stream: SocketStream) -> None:
        async with stream:
            request = await stream.receive()
            name = request.split()[1]
            raw = OK + b"Content-Length: %d\r\n\r\n%b" % (len(name), name)
            if delay_s:
                await stream.send(raw)
                await anyio.sleep(delay_s)
                await stream.send(raw)
            else:
                await stream.send(raw + raw)
            await anyio.sleep(1)

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        for target in ("/first", "/second"):
            async with client.send("GET", target, [], None) as answer:
                body = b"".join([part async for part in answer.body])
            assert body == target.encode()
            await anyio.sleep(2 * delay_s)
        client.close()


async def test_connection_with_a_doubled_empty_response_is_not_used_again() -> None:
    connections = 0
    raw = b"HTTP/1.1 204 No Content\r\n\r\n"

    async def serve(stream: SocketStream) -> None:
        nonlocal connections
        connections += 1
        await answer_with(raw + raw, [], close=False)(stream)

    async with run_server(serve) as address:
        client = HttpClient(address, 1)
        for _ in range(2):
            assert (await call(client))[0] == 204
        assert connections == 2


async def test_unreachable_server_is_told_apart_from_a_cut() -> None:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = Address(host="127.0.0.1", port=sock.getsockname()[1])
    with pytest.raises(ServerUnreachable):
        await call(HttpClient(address, 1))

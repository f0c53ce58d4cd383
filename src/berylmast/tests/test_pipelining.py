"""Guards against mixed-up responses to requests sent before the first is answered.

RFC 9112 section 9.3.2: responses come in the order of the requests, and what follows a
response that closes the connection is not answered. It must not run either, because the
caller may send it again.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from .._http_server import make_server
from ..settings import Address, LimitSettings

pytestmark = pytest.mark.anyio

LIMITS = LimitSettings(max_header_bytes=4096, keep_alive_s=5)
END = b"0\r\n\r\n"


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


def make_request(
    path: str, body: bytes = b"", headers: bytes = b"", version: bytes = b"1.1"
) -> bytes:
    length = b"Content-Length: %d\r\n" % len(body) if body else b""
    head = b"POST /%s HTTP/%s\r\nHost: s\r\n" % (path.encode(), version)
    return head + headers + length + b"\r\n" + body


@dataclass
class App:
    """Answers each request with its path and body.

    Paths begin with what the app does: ``slow`` ones wait until ``go`` is set, before
    or, with ``slow-body``, within the response; ``close`` ones close the connection,
    ``fail`` ones raise an error, ``early`` ones are answered before the body is read.
    """

    go: anyio.Event = field(default_factory=anyio.Event)
    started: list[str] = field(default_factory=list)

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        path = scope["path"].removeprefix("/")
        self.started.append(path)
        body = b""
        if not path.startswith("early"):
            body = await self._read_body(receive)
        if path.startswith("slow") and not path.startswith("slow-body"):
            await self.go.wait()
        if path.startswith("fail"):
            raise RuntimeError("injected fault")
        headers = [(b"connection", b"close")] if path.startswith("close") else []
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        part = f"[{path}:".encode()
        await send({"type": "http.response.body", "body": part, "more_body": True})
        if path.startswith("slow-body"):
            await self.go.wait()
        await send({"type": "http.response.body", "body": body + b"]"})

    @staticmethod
    async def _read_body(receive: Any) -> bytes:
        body: bytes = b""
        while True:
            message: dict[str, Any] = await receive()
            body += message.get("body", b"")
            if not message.get("more_body", False):
                return body


@asynccontextmanager
async def connect(app: App) -> AsyncIterator[SocketStream]:
    server = make_server(app, Address(host="127.0.0.1", port=0), LIMITS)
    async with anyio.create_task_group() as tg:
        tg.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        port = server.servers[0].sockets[0].getsockname()[1]
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            with anyio.fail_after(5):
                yield stream
        server.should_exit = True


async def read_until(stream: SocketStream, end: bytes) -> bytes:
    """Read until some bytes have arrived, or until the end of the connection."""
    data = b""
    while end not in data:
        try:
            data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            break
    return data


async def read_to_end(stream: SocketStream) -> bytes:
    return await read_until(stream, b"never sent")


def list_answers(data: bytes) -> list[str]:
    """Return path and body of each answer, and the status of each error."""
    found = []
    for response in data.split(b"HTTP/1.1 ")[1:]:
        status = response[:3].decode()
        chunks = response.partition(b"\r\n\r\n")[2].split(b"\r\n")
        text = b"".join(chunks[1::2]).decode()
        found.append(text if status == "200" else status)
    return found


@pytest.mark.parametrize("pieces", [1, 7, 1000], ids=["whole", "pieces", "bytes"])
@pytest.mark.parametrize("first", ["a", "slow-a", "slow-body-a", "early-a"])
async def test_responses_come_in_the_order_of_the_requests(
    first: str, pieces: int
) -> None:
    app = App()
    data = b"".join(
        [
            make_request(first, b"1" * 50),
            make_request("b"),
            make_request("c", headers=b"Transfer-Encoding: chunked\r\n")
            + b"3\r\nxyz\r\n"
            + END,
            make_request("d", b"4" * 300),
        ]
    )
    size = max(1, len(data) // pieces)
    async with connect(app) as stream:
        for start in range(0, len(data), size):
            await stream.send(data[start : start + size])
            await anyio.sleep(0)
        await anyio.sleep(0.05)
        app.go.set()
        received = await read_until(stream, b"4]\r\n" + END)
    body = "" if first.startswith("early") else "1" * 50
    expected = [f"[{first}:{body}]", "[b:]", "[c:xyz]", f"[d:{'4' * 300}]"]
    assert list_answers(received) == expected
    assert app.started == [first, "b", "c", "d"]


@pytest.mark.parametrize(
    ("first", "answer"),
    [
        (make_request("close-a"), "[close-a:]"),
        (make_request("fail-a"), "500"),
        (make_request("slow-a", headers=b"Connection: close\r\n"), "[slow-a:]"),
        (make_request("slow-body-a", headers=b"Connection: close\r\n"), None),
        (make_request("slow-a", version=b"1.0"), "[slow-a:]"),
    ],
    ids=["app", "error", "caller", "caller-in-response", "http-1.0"],
)
async def test_request_behind_a_response_that_closes_is_never_passed_on(
    first: bytes, answer: str | None
) -> None:
    app = App()
    async with connect(app) as stream:
        await stream.send(first + make_request("b") + make_request("c", b"body"))
        await anyio.sleep(0.05)
        app.go.set()
        received = await read_to_end(stream)
    assert list_answers(received) == [answer or "[slow-body-a:]"]
    assert len(app.started) == 1


@pytest.mark.parametrize("first", ["slow-a", "slow-body-a"])
@pytest.mark.parametrize(
    ("then", "answers", "started"),
    [
        (b"no request\r\n\r\n", ["400"], []),
        (make_request("b") + b"no request\r\n\r\n", ["[b:]", "400"], ["b"]),
        (make_request("b", headers=b"X: " + b"x" * 9000), ["431"], []),
        (
            make_request("b", headers=b"Transfer-Encoding: chunked\r\n") + b"zz\r\n",
            ["400"],
            [],
        ),
        (
            make_request("b")
            + make_request("c", headers=b"Transfer-Encoding: chunked\r\n")
            + b"zz\r\n",
            ["[b:]", "400"],
            ["b"],
        ),
    ],
    ids=["invalid", "invalid-third", "long-head", "invalid-body", "invalid-third-body"],
)
async def test_invalid_request_leaves_the_responses_before_it_whole(
    first: str, then: bytes, answers: list[str], started: list[str]
) -> None:
    """The error was written into the response before, or took its place."""
    app = App()
    async with connect(app) as stream:
        await stream.send(make_request(first))
        await anyio.sleep(0.05)
        for start in range(0, len(then), 1000):
            await stream.send(then[start : start + 1000])
            await anyio.sleep(0.01)
        await anyio.sleep(0.05)
        app.go.set()
        received = await read_to_end(stream)
    assert list_answers(received) == [f"[{first}:]", *answers]
    assert app.started == [first, *started]


@pytest.mark.parametrize("aborts", [False, True], ids=["closes", "resets"])
async def test_request_of_a_caller_that_has_left_is_not_passed_on(
    aborts: bool,
) -> None:
    """It waited behind another one whose response nobody reads any more."""
    app = App()
    async with connect(app) as stream:
        await stream.send(make_request("slow-a") + make_request("b"))
        await anyio.sleep(0.05)
        await (anyio.aclose_forcefully(stream) if aborts else stream.aclose())
        await anyio.sleep(0.05)
        app.go.set()
        await anyio.sleep(0.1)
    assert app.started == ["slow-a"]

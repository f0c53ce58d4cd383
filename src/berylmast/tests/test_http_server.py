"""Guards against unlimited headers, merged trailers and ambiguous request framing."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from .._http_server import make_server
from ..callers.app import TRAILERS_KEY
from ..callers.classify import classify_request
from ..callers.tests.entry import make_entry_app
from ..daemons import Exchange
from ..errors import ErrorKind
from ..membership import Directory
from ..model import AttemptId, Route, ServiceSlice
from ..settings import Address, LimitSettings

pytestmark = pytest.mark.anyio

LIMITS = LimitSettings(max_header_bytes=4096, max_headers=10, keep_alive_s=1)
SLICE = ServiceSlice(
    service="s",
    version=1,
    hosts=frozenset({"s"}),
    routes=(Route(frozenset(), "/", True, "normal", 5_000),),
    priorities=(),
    policy="power_of_two",
    slots=1,
    connections=1,
    max_body_bytes=100,
)
POST = b"POST / HTTP/1.1\r\nHost: s\r\n"
HEADER_TIMEOUT_S = 0.3


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


@asynccontextmanager
async def connect(received: list[dict[str, Any]]) -> AsyncIterator[SocketStream]:
    """Connect to a server whose app classifies each request and records the result.

    The app appends the scope, the body and the classification to ``received``.
    """
    directory = Directory()
    directory.put_slice(SLICE)

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        classified = classify_request(
            scope, directory, LIMITS, lambda: AttemptId("e", 1, 1)
        )
        body = b""
        while classified.is_ok():
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body", False):
                break
        received.append({**scope, "body": body, "classified": classified})
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    address = Address(host="127.0.0.1", port=0)
    server = make_server(
        app, address, LIMITS, get_header_timeout_s=lambda: HEADER_TIMEOUT_S
    )
    async with anyio.create_task_group() as tg:
        tg.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        port = server.servers[0].sockets[0].getsockname()[1]
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            with anyio.fail_after(5):
                yield stream
        server.should_exit = True


async def read_all(stream: SocketStream) -> bytes:
    data = b""
    with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
        while True:
            data += await stream.receive()
    return data


@pytest.mark.parametrize(
    ("raw", "kind"),
    [
        (POST + b"Content-Length: x\r\n\r\n", b"bad-request"),
        (POST + b"Content-Length: +5\r\n\r\nhello", b"bad-request"),
        (POST + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhey", b"bad-request"),
        (
            POST + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"bad-request",
        ),
        (POST + b"X: " + b"y" * 9_000, b"headers-too-large"),
        (POST + b"X: y\r\n" * 9_000, b"headers-too-large"),
        (b"GET /" + b"y" * 9_000, b"headers-too-large"),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"y" * 9_000, b"body-cut"),
        (
            POST + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + b"y" * 9_000,
            b"body-cut",
        ),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"body-cut"),
    ],
)
async def test_bad_or_unbounded_request_is_refused_and_closed(
    raw: bytes, kind: bytes
) -> None:
    async with connect([]) as stream:
        # Sent in pieces, as by a slow caller: the limit must not need complete headers.
        for start in range(0, len(raw), 1_000):
            try:
                await stream.send(raw[start : start + 1_000])
            except anyio.BrokenResourceError:
                break
            await anyio.sleep(0.005)
        data = await read_all(stream)
    assert b"\r\nberylmast-error: " + kind + b"\r\n" in data
    assert b"\r\nberylmast-outcome: " in data


@pytest.mark.parametrize(
    ("head", "kind"),
    [
        (b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", ErrorKind.BAD_REQUEST),
        (b"Host: other\r\n\r\n", ErrorKind.BAD_REQUEST),
        (b"Content-Length: 101\r\n\r\n", ErrorKind.BODY_TOO_LARGE),
        (b"Content-Length: 9999999999999999999\r\n\r\n", ErrorKind.BAD_REQUEST),
        (b"X: y\r\n" * 10 + b"\r\n", ErrorKind.TOO_MANY_HEADERS),
        (b"X: " + b"y" * 4096 + b"\r\n\r\n", ErrorKind.HEADERS_TOO_LARGE),
        (b"berylmast-deadline-ms: x\r\n\r\n", ErrorKind.BAD_REQUEST),
    ],
)
async def test_classification_refuses_with_a_kind(head: bytes, kind: ErrorKind) -> None:
    received: list[dict[str, Any]] = []
    async with connect(received) as stream:
        await stream.send(POST + head)
        await stream.receive()
    assert received[0]["classified"].unwrap_err().kind is kind


async def test_trailers_stay_out_of_the_headers() -> None:
    received: list[dict[str, Any]] = []
    async with connect(received) as stream:
        await stream.send(
            POST
            + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nHost: evil\r\n\r\n"
        )
        await stream.receive()
    assert received[0]["body"] == b"hi"
    assert dict(received[0]["headers"])[b"host"] == b"s"
    assert received[0][TRAILERS_KEY] == [(b"host", b"evil")]


async def test_headers_are_forwarded_without_those_of_the_connection() -> None:
    received: list[dict[str, Any]] = []
    async with connect(received) as stream:
        await stream.send(
            POST
            + b"A: 1\r\nA: 2\r\nConnection: X-One, host\r\nX-One: 1\r\nTE: trailers\r\n"
            b"Keep-Alive: 1\r\nProxy-Connection: close\r\nUpgrade: x\r\n\r\n"
        )
        await stream.receive()
    head = received[0]["classified"].unwrap().head
    assert list(head.headers) == [(b"host", b"s"), (b"a", b"1"), (b"a", b"2")]


OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: A\r\n"
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: s\r\n\r\n"
CHUNKED_SMUGGLED = b"%x\r\n%b\r\n0\r\n\r\n" % (len(SMUGGLED), SMUGGLED)
NEXT = b"GET /next HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "body", "expected"),
    [
        (b"Content-Length: 2\r\n", b"hi", b"hi"),
        (b"Content-Length: %d\r\n" % len(SMUGGLED), SMUGGLED, SMUGGLED),
        (b"Transfer-Encoding: chunked\r\n", CHUNKED_SMUGGLED, SMUGGLED),
        (b"Transfer-Encoding: chunked\r\n", b"0\r\nA: 1\r\n\r\n", b""),
        (b"Content-Length: 0\r\n", b"", b""),
        (b"", b"", b""),
    ],
    ids=["length", "request-as-body", "chunks", "trailers", "length-0", "no-body"],
)
@pytest.mark.parametrize("expect", [b"", b"Expect: 100-continue\r\n"])
async def test_body_of_a_request_that_offers_an_upgrade_belongs_to_it(
    expect: bytes, head: bytes, body: bytes, expected: bytes
) -> None:
    """The upload ran without its body, which was read as the next request."""
    raw = POST + OFFER + expect + head + b"\r\n" + body
    # One piece, the body apart, cuts at all places of the end of the head, and bytes.
    end_of_head = len(raw) - len(body)
    cuts = [[], [end_of_head], *([end_of_head + n] for n in (-3, -2, -1, 1)), [5, 60]]
    for cut in [*cuts, list(range(1, len(raw)))]:
        received: list[dict[str, Any]] = []
        async with connect(received) as stream:
            begin = 0
            for end in [*cut, len(raw)]:
                await stream.send(raw[begin:end])
                begin = end
                await anyio.sleep(0 if len(cut) > 5 else 0.002)
            data = b""
            while b"HTTP/1.1 200 " not in data:
                data += await stream.receive()
            await stream.send(NEXT)
            await read_all(stream)
        assert [(item["path"], item["body"]) for item in received] in (
            [("/", expected)],
            [("/", expected), ("/next", b"")],
        )
        assert received[0][TRAILERS_KEY] in ([], [(b"a", b"1")])


@pytest.mark.parametrize(
    "raw",
    [
        b"CONNECT s:80 HTTP/1.1\r\nHost: s\r\n\r\n" + SMUGGLED,
        b"CONNECT s:80 HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n\r\nhi",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + SMUGGLED,
        POST + OFFER + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        POST + OFFER + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n" + SMUGGLED,
    ],
    ids=["connect", "connect-body", "http2-preface", "two-framings", "two-lengths"],
)
@pytest.mark.parametrize("apart", [True, False])
async def test_tunnel_or_other_protocol_is_refused_and_runs_nothing(
    raw: bytes, apart: bool
) -> None:
    received: list[dict[str, Any]] = []
    async with connect(received) as stream:
        end_of_head = raw.index(b"\r\n\r\n") + 4
        await stream.send(raw[:end_of_head])
        if apart:
            await anyio.sleep(0.02)
        try:
            await stream.send(raw[end_of_head:])
            data = await read_all(stream)
        except anyio.BrokenResourceError:
            data = b"HTTP/1.1 400"
    assert data.startswith(b"HTTP/1.1 400")
    assert received == []


async def test_connection_serves_several_requests() -> None:
    received: list[dict[str, Any]] = []
    async with connect(received) as stream:
        for _ in range(3):
            await stream.send(POST + b"Content-Length: 2\r\n\r\nhi")
            assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")
    assert [item["body"] for item in received] == [b"hi"] * 3


async def test_idle_connection_is_closed_after_its_setting() -> None:
    """uvicorn's default of 5 s cut off callers that pause a little longer."""
    async with connect([]) as stream:
        await stream.send(b"GET / HTTP/1.1\r\nHost: s\r\n\r\n")
        assert (await stream.receive()).startswith(b"HTTP/1.1 200")
        started_s = anyio.current_time()
        with anyio.fail_after(3), pytest.raises(anyio.EndOfStream):
            while True:
                await stream.receive()
        assert 0.8 <= anyio.current_time() - started_s <= 2.5
    assert LimitSettings().keep_alive_s > 60


@pytest.mark.parametrize(
    ("pause_s", "served"), [(HEADER_TIMEOUT_S / 3, True), (HEADER_TIMEOUT_S * 3, False)]
)
async def test_head_that_takes_too_long_is_refused(
    pause_s: float, served: bool
) -> None:
    """Callers must not hold connections open with incomplete headers."""
    received: list[dict[str, Any]] = []
    async with connect(received) as stream:
        await stream.send(POST)
        await anyio.sleep(pause_s)
        if served:
            await stream.send(b"Content-Length: 0\r\n\r\n")
            await anyio.sleep(HEADER_TIMEOUT_S * 1.5)
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
        else:
            response = await read_all(stream)
            assert response.startswith(b"HTTP/1.1 408")
            assert b"berylmast-outcome: not-run" in response
    assert len(received) == served


@pytest.mark.parametrize(
    ("head", "body"),
    [
        (b"\r\n", b""),
        (b"Content-Length: 5\r\n\r\n", b"hello"),
        (b"Content-Length: 5\r\n\r\n", b"he"),
        (b"Content-Length: 190000\r\n\r\n", b"x" * 190_000),
        (b"Content-Length: 190000\r\n\r\n", b"x" * 150_000),
        (b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n" * 30_000),
        (b"Expect: 100-continue\r\nContent-Length: 190000\r\n\r\n", b""),
        (b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n", b""),
    ],
    ids=[
        "no-body",
        "short",
        "short-half-sent",
        "upload",
        "upload-half-sent",
        "many-chunks",
        "upload-waits-for-continue",
        "short-waits-for-continue",
    ],
)
@pytest.mark.parametrize("aborts", [False, True], ids=["closes", "resets"])
async def test_caller_that_leaves_before_admission_is_noticed(
    head: bytes, body: bytes, aborts: bool
) -> None:
    """Requests of callers who had left were dispatched from the owner's queue."""
    waiting = anyio.Event()
    reset = anyio.Event()

    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        waiting.set()
        try:
            await exchange.wait_reset()
        finally:
            reset.set()

    server = make_server(make_entry_app(owner), Address(host="127.0.0.1", port=0))
    async with anyio.create_task_group() as tg:
        tg.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        port = server.servers[0].sockets[0].getsockname()[1]
        with anyio.fail_after(5):
            stream = await anyio.connect_tcp("127.0.0.1", port)
            await stream.send(POST + head + body)
            await waiting.wait()
            await anyio.sleep(0.1)
            assert not reset.is_set()
            if aborts:
                await anyio.aclose_forcefully(stream)
            else:
                await stream.aclose()
            with anyio.fail_after(0.5):
                await reset.wait()
        server.should_exit = True


def test_request_that_the_end_of_the_process_cancels_logs_no_traceback(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A daemon was stopped while a report waited for the store."""
    finished: list[bool] = []

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            finished.append(True)

    async def serve_until_a_request_runs() -> None:
        server = make_server(app, Address(host="127.0.0.1", port=0))
        serving = asyncio.ensure_future(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        port = server.servers[0].sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: s\r\n\r\n")
        await asyncio.sleep(0.1)
        serving.cancel()

    asyncio.run(serve_until_a_request_runs())
    assert finished == [True]
    assert [record for record in caplog.records if record.exc_info] == []

"""Guards against lost disconnects, unbounded bodies and cut answers that look whole."""

import math
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
import pytest

from ...daemons import Exchange, connect_exchanges
from ...daemons.frames import (
    Body,
    Continue,
    End,
    Fail,
    Refuse,
    Request,
    Response,
)
from ...errors import ErrorKind
from ...limits import RetryBudget
from ...membership import Directory
from ...model import AttemptId, Endpoint, LoadReport, Route, ServiceSlice
from ...routing import Router
from ...settings import LimitSettings
from ...telemetry import Sight
from ..app import AnswerCut, App, make_app
from ..forward import Forwarder

pytestmark = pytest.mark.anyio

LOAD = LoadReport("b1", 1, 1, 0, 0, 4, 1.0, 0.0)
SLICE = ServiceSlice(
    service="s",
    version=1,
    hosts=frozenset({"s"}),
    routes=(Route(frozenset(), "/", True, "normal", 600_000),),
    priorities=(),
    policy="power_of_two",
    slots=4,
    connections=4,
    max_body_bytes=200_000,
)

Owner = Callable[[Exchange], Coroutine[Any, Any, None]]


def make_entry(
    owner: Owner, *, max_requests: int = 10, sight: Sight | None = None
) -> App:
    """Return an app whose two backend servers are played by ``owner``."""
    directory = Directory()
    directory.put_slice(SLICE)
    for name in ("b1", "b2"):
        directory.put_endpoint(Endpoint(name, "s", "127.0.0.1", 1, "r", "d", 1, 1))

    @asynccontextmanager
    async def open_exchange(endpoint: Endpoint) -> AsyncIterator[Exchange]:
        entry_side, owner_side = connect_exchanges()
        async with anyio.create_task_group() as tg:
            tg.start_soon(owner, owner_side)
            try:
                yield entry_side
            finally:
                owner_side.lose()
                tg.cancel_scope.cancel()

    forwarder = Forwarder(
        router=Router(directory, region="r", failure_domain="d", rng=Random(1)),
        retries=RetryBudget(),
        open_exchange=open_exchange,
        next_attempt=lambda: AttemptId("e", 1, 1),
    )
    limits = LimitSettings(max_requests=max_requests)
    sight = sight or Sight(None, log_requests=False)
    return make_app(directory, limits, forwarder, sight)


@dataclass
class Caller:
    """Plays the ASGI server for one request."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    sent: list[dict[str, Any]] = field(default_factory=list)
    reads: int = 0

    def __post_init__(self) -> None:
        self.feed, self._messages = anyio.create_memory_object_stream[dict[str, Any]](
            math.inf
        )

    def send_body(self, data: bytes, more: bool) -> None:
        self.feed.send_nowait({"type": "http.request", "body": data, "more_body": more})

    def leave(self) -> None:
        self.feed.send_nowait({"type": "http.disconnect"})

    async def _receive(self) -> dict[str, Any]:
        self.reads += 1
        return await self._messages.receive()

    async def _send(self, message: dict[str, Any]) -> None:
        self.sent.append(message)
        if self.whole:
            # As uvicorn does, also when the caller has not left.
            self.leave()

    async def run(self, app: App) -> None:
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/",
            "raw_path": b"/",
            "query_string": b"",
            "headers": [(b"host", b"s"), *self.headers],
        }
        await app(scope, self._receive, self._send)

    @property
    def status(self) -> int:
        status: int = self.sent[0]["status"]
        return status

    @property
    def error(self) -> bytes:
        value: bytes = dict(self.sent[0]["headers"]).get(b"berylmast-error", b"")
        return value

    @property
    def whole(self) -> bool:
        last = self.sent[-1]
        return last["type"] == "http.response.body" and not last.get("more_body", False)


CHUNKED = [(b"transfer-encoding", b"chunked")]


def sized(size: int) -> list[tuple[bytes, bytes]]:
    return [(b"content-length", str(size).encode())]


async def read_body(exchange: Exchange) -> bytes:
    body = b""
    while isinstance(frame := await exchange.receive(), Body):
        body += frame.data
    assert isinstance(frame, End)
    return body


async def answer(exchange: Exchange, *frames: Any) -> None:
    await exchange.send(Response(exchange.id, 200, [], LOAD))
    for frame in frames:
        await exchange.send(frame)


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ([], None),
        (sized(10), None),
        (sized(10), b"hello"),
        (sized(100_000), None),
        (sized(100_000), b"hello"),
        (CHUNKED, b"hello"),
        (sized(5), b"hello"),
    ],
)
async def test_disconnect_resets_the_exchange(
    headers: list[tuple[bytes, bytes]], body: bytes | None
) -> None:
    """Before, during and after the body, the owner learns that the caller left."""
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

    caller = Caller(headers)
    with anyio.fail_after(5):
        async with anyio.create_task_group() as tg:
            tg.start_soon(caller.run, make_entry(owner))
            if not headers:
                caller.send_body(b"", more=False)
            if body is not None:
                caller.send_body(body, more=headers != sized(5))
            await anyio.sleep(1)
            assert not ended.is_set()
            caller.leave()
            await ended.wait()
    assert bodies == ([b"hello"] if headers == sized(5) else []), "a cut body was whole"


async def test_streamed_body_over_the_limit_is_refused_as_unknown() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Continue(exchange.id))
        await read_body(exchange)

    caller = Caller(CHUNKED)
    for _ in range(4):
        caller.send_body(b"x" * 60_000, more=True)
    await caller.run(make_entry(owner))
    assert (caller.status, caller.error) == (413, b"body-too-large-unknown")


async def test_streamed_body_waits_for_the_window_and_is_not_buffered() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Continue(exchange.id))
        await anyio.sleep(10)
        body = await read_body(exchange)
        await answer(exchange, Body(exchange.id, b"%d" % len(body)), End(exchange.id))

    caller = Caller(sized(200_000))
    for _ in range(20):
        caller.send_body(b"x" * 10_000, more=True)
    caller.send_body(b"", more=False)
    app = make_entry(owner)
    async with anyio.create_task_group() as tg:
        tg.start_soon(caller.run, app)
        await anyio.sleep(5)
    assert caller.sent[1]["body"] == b"200000"


async def test_consumed_body_is_never_sent_again_as_whole() -> None:
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

    caller = Caller(sized(100_000))
    caller.send_body(b"x" * 50_000, more=True)
    caller.send_body(b"x" * 50_000, more=False)
    await caller.run(make_entry(owner))
    assert attempts == 1
    assert caller.error == b"backend-unreachable"


@pytest.mark.parametrize("admitted", [True, False])
async def test_expect_is_answered_only_after_admission(admitted: bool) -> None:
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
        await answer(exchange, Body(exchange.id, body), End(exchange.id))

    caller = Caller([*sized(5), (b"expect", b"100-continue")])
    caller.send_body(b"hello", more=False)
    await caller.run(make_entry(owner))
    assert reads_before == 0
    if admitted:
        assert caller.sent[1]["body"] == b"hello"
    else:
        assert caller.reads == 0, "the caller was told to send a refused body"
        assert (b"connection", b"close") in caller.sent[0]["headers"]


@pytest.mark.parametrize(
    "frames",
    [
        [Fail(1, ErrorKind.BACKEND_CUT, "cut", LOAD)],
        [Body(1, b"hi"), Fail(1, ErrorKind.BACKEND_CUT, "cut", LOAD)],
        [Body(1, b"hi"), None],
        [Body(1, b"hi"), Response(1, 200, [], LOAD), End(1)],
    ],
    ids=["cut-head", "cut-body", "owner-lost", "second-head"],
)
async def test_cut_answer_is_never_finished(frames: list[Any]) -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Response(exchange.id, 200, [], LOAD))
        for frame in frames:
            if frame is None:
                lose[0].lose()
            else:
                await exchange.send(frame)

    lose: list[Exchange] = []

    def remember(pair: tuple[Exchange, Exchange]) -> tuple[Exchange, Exchange]:
        lose[:] = [pair[0]]
        return pair

    caller = Caller()
    with pytest.MonkeyPatch.context() as patch:
        original = connect_exchanges
        patch.setitem(globals(), "connect_exchanges", lambda: remember(original()))
        with pytest.raises(AnswerCut):
            await caller.run(make_entry(owner))
    assert not caller.whole


async def test_whole_answer_is_not_logged_as_cancelled() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await answer(exchange, Body(exchange.id, b"hi"), End(exchange.id))

    sight = Sight(None, log_requests=False)
    await Caller().run(make_entry(owner, sight=sight))
    counts: Any = sight.summarise()["counts"]
    assert [item["outcome"] for item in counts] == ["answered"]


async def test_body_without_a_head_is_an_error() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(End(exchange.id))

    caller = Caller()
    await caller.run(make_entry(owner))
    assert (caller.status, caller.error) == (500, b"internal")


async def test_requests_beyond_the_limit_of_the_entry_are_refused() -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await anyio.sleep(1)
        await answer(exchange, End(exchange.id))

    app = make_entry(owner, max_requests=2)
    callers = [Caller() for _ in range(3)]
    async with anyio.create_task_group() as tg:
        for caller in callers:
            tg.start_soon(caller.run, app)
    assert sorted(c.error for c in callers) == [b"", b"", b"too-many-requests"]
    later = Caller()
    await later.run(app)
    assert later.status == 200


@pytest.mark.parametrize(
    ("status", "headers", "kept"),
    [
        (200, [(b"Content-Length", b"2")], [(b"content-length", b"2")]),
        (304, [(b"content-length", b"2"), (b"etag", b"x")], [(b"etag", b"x")]),
        (204, [(b"content-length", b"0")], []),
        (200, [(b"Transfer-Encoding", b"chunked"), (b"content-length", b"2")], []),
        (
            200,
            [(b"Connection", b"X-A, close"), (b"x-a", b"1"), (b"b", b"2")],
            [(b"b", b"2")],
        ),
        (200, [(b"set-cookie", b"a"), (b"set-cookie", b"b")], None),
    ],
)
async def test_response_headers(
    status: int,
    headers: list[tuple[bytes, bytes]],
    kept: list[tuple[bytes, bytes]] | None,
) -> None:
    async def owner(exchange: Exchange) -> None:
        await exchange.receive()
        await exchange.send(Response(exchange.id, status, headers, LOAD))
        await exchange.send(End(exchange.id))

    caller = Caller()
    await caller.run(make_entry(owner))
    assert caller.sent[0]["headers"] == (headers if kept is None else kept)

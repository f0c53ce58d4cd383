"""A real entry for tests, with simulated owners and callers."""

import math
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio

from ...daemons import Exchange, make_exchange_pair
from ...daemons.frames import Body, End, Response
from ...limits import AdaptiveShedder, RetryBudget
from ...membership import Directory
from ...model import AttemptId, Endpoint, LoadReport, Route, ServiceSlice
from ...routing import Router
from ...settings import LimitSettings
from ...telemetry import RequestRecorder
from ..app import ASGIApp, make_app
from ..classify import make_classifier
from ..forward import ForwardingContext

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

SimulatedOwner = Callable[[Exchange], Coroutine[Any, Any, None]]


def make_entry_app(
    owner: SimulatedOwner,
    *,
    max_requests: int = 10,
    recorder: RequestRecorder | None = None,
) -> ASGIApp:
    """Return an app that forwards to two endpoints, both simulated by ``owner``."""
    directory = Directory()
    directory.put_slice(SLICE)
    for name in ("b1", "b2"):
        directory.put_endpoint(Endpoint(name, "s", "127.0.0.1", 1, "r", "d", 1, 1))

    async def serve(owner_side: Exchange, entry_side: Exchange) -> None:
        try:
            await owner(owner_side)
        finally:
            entry_side.mark_lost()

    @asynccontextmanager
    async def open_exchange(endpoint: Endpoint) -> AsyncIterator[Exchange]:
        entry_side, owner_side = make_exchange_pair()
        async with anyio.create_task_group() as tg:
            tg.start_soon(serve, owner_side, entry_side)
            try:
                yield entry_side
            finally:
                owner_side.mark_lost()
                tg.cancel_scope.cancel()

    context = ForwardingContext(
        router=Router(directory, region="r", failure_domain="d", rng=Random(1)),
        retries=RetryBudget(),
        shedder=AdaptiveShedder(Random(1)),
        open_exchange=open_exchange,
        next_attempt=lambda: AttemptId("e", 1, 1),
        endpoints=directory.endpoints,
    )
    limits = LimitSettings(max_requests=max_requests)
    recorder = recorder or RequestRecorder(None)
    classify = make_classifier(directory, limits, context.next_attempt)
    return make_app(classify, limits, context, recorder)


@dataclass
class SimulatedCaller:
    """Simulates the ASGI server for one request of a caller."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    sent: list[dict[str, Any]] = field(default_factory=list)
    reads: int = 0
    host: bytes = b"s"

    def __post_init__(self) -> None:
        self.feed, self._messages = anyio.create_memory_object_stream[dict[str, Any]](
            math.inf
        )

    def send_body(self, data: bytes, more: bool) -> None:
        self.feed.send_nowait({"type": "http.request", "body": data, "more_body": more})

    def disconnect(self) -> None:
        self.feed.send_nowait({"type": "http.disconnect"})

    async def _receive(self) -> dict[str, Any]:
        self.reads += 1
        return await self._messages.receive()

    async def _send(self, message: dict[str, Any]) -> None:
        self.sent.append(message)
        if self.complete:
            # uvicorn reports a disconnect after each response, even if the caller is
            # still connected.
            self.disconnect()

    async def run(self, app: ASGIApp) -> None:
        scope = {
            "type": "http",
            "method": "POST",
            "path": "/",
            "raw_path": b"/",
            "query_string": b"",
            "headers": [(b"host", self.host), *self.headers],
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
    def complete(self) -> bool:
        last = self.sent[-1]
        return last["type"] == "http.response.body" and not last.get("more_body", False)


CHUNKED = [(b"transfer-encoding", b"chunked")]


def content_length(size: int) -> list[tuple[bytes, bytes]]:
    return [(b"content-length", str(size).encode())]


async def read_body(exchange: Exchange) -> bytes:
    body = b""
    while isinstance(frame := await exchange.receive(), Body):
        body += frame.data
    assert isinstance(frame, End)
    return body


async def send_response(exchange: Exchange, *frames: Any) -> None:
    await exchange.send(Response(exchange.id, 200, [], LOAD))
    for frame in frames:
        await exchange.send(frame)

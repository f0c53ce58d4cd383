"""Parts of the fakes: heads, links in memory, a backend server, an answer."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import anyio
from anyio.streams.memory import MemoryObjectSendStream
from anyio.streams.stapled import StapledObjectStream

from ..daemons.codec import FrameReader, encode_frame
from ..daemons.frames import Frame
from ..http_client import (
    ConnectionCut,
    HttpClient,
    HttpResponse,
    ServerUnreachable,
)
from ..model import (
    AttemptId,
    Headers,
    Priority,
    RequestHead,
    ServiceSlice,
)

SERVICE = "orders"


def make_slice(**changes: Any) -> ServiceSlice:
    """Return a service slice for tests."""
    values: dict[str, Any] = {
        "service": SERVICE,
        "version": 1,
        "hosts": frozenset({"orders.test"}),
        "routes": (),
        "priorities": (Priority("urgent", 0.5),),
        "policy": "random",
        "slots": 6,
        "connections": 260,
    }
    return ServiceSlice(**{**values, **changes})


def make_head(**changes: Any) -> RequestHead:
    """Return a non-idempotent request head without a body."""
    values: dict[str, Any] = {
        "request_id": "r1",
        "attempt": AttemptId("classifier", 1, 1),
        "service": SERVICE,
        "priority": "urgent",
        "tenant": "dealers",
        "idempotent": False,
        "idempotency_key": None,
        "deadline_ms": 10_000,
        "retry": False,
        "method": "POST",
        "target": "/orders",
        "headers": [(b"host", b"orders.test")],
        "has_body": False,
    }
    return RequestHead(**{**values, **changes})


class Step(StrEnum):
    """Where a fake backend server fails."""

    CONNECT = "connect"
    RUN = "run"
    ANSWER = "answer"


@dataclass
class FakeRun:
    """One run in a backend server's ledger; ``started_s`` is on the test's clock."""

    request_id: str
    started_s: float
    completed: bool = False


@dataclass
class FakeBackend(HttpClient):
    """Replaces the HTTP client; ``runs`` is the backend server's own ledger.

    ``cut_at`` ends the connection at a step; ``stall_at`` makes the backend server
    silent there. ``run_s`` is the service time in seconds. With ``echo`` the answer's
    first part is the request id. ``ledger`` holds the same runs with their times.
    """

    name: str
    run_s: float = 0.2
    parts: tuple[bytes, ...] = (b"one", b"two")
    part_pause_s: float = 0.1
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    cut_at: Step | None = None
    stall_at: Step | None = None
    runs: list[str] = field(default_factory=list)
    received: list[tuple[dict[bytes, bytes], bytes]] = field(default_factory=list)
    status: int = 200
    echo: bool = False
    ledger: list[FakeRun] = field(default_factory=list)

    @asynccontextmanager
    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: AsyncIterator[bytes] | None,
        get_trailers: Callable[[], Headers] | None = None,
        is_stray: Callable[[Headers], bool] = lambda _headers: False,
    ) -> AsyncIterator[HttpResponse]:
        """Run a request as a backend server would that answers after its work."""
        if self.cut_at is Step.CONNECT:
            raise ServerUnreachable("refused")
        data = b"".join([part async for part in body]) if body is not None else b""
        values = {key.lower(): value for key, value in headers}
        assert len(values) == len(headers), "a header was set twice"
        request_id = values[b"x-request-id"].decode()
        run = FakeRun(request_id, anyio.current_time())
        self.runs.append(request_id)
        self.ledger.append(run)
        self.received.append((values, data))
        await anyio.sleep(self.run_s)
        await self._fail_at(Step.RUN)
        yield HttpResponse(self.status, self.headers, self._iterate_parts(run))

    async def _iterate_parts(self, run: FakeRun) -> AsyncIterator[bytes]:
        named = (run.request_id.encode(),) if self.echo else ()
        for number, part in enumerate((*named, *self.parts)):
            if number:
                await anyio.sleep(self.part_pause_s)
                await self._fail_at(Step.ANSWER)
            yield part
        run.completed = True

    async def _fail_at(self, step: Step) -> None:
        if self.stall_at is step:
            await anyio.sleep_forever()
        if self.cut_at is step:
            raise ConnectionCut("cut")


OnFrame = Callable[["FakeStream", Frame], bool]
"""Sees each frame before it is passed on; returns whether it is."""


class FakeStream(StapledObjectStream[bytes]):
    """A byte stream in memory; ``silent`` loses everything that is sent.

    ``on_frame`` may drop frames, silence or cut the link as they pass.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.silent = False
        self.entry = ""
        self.owner = ""
        self.to_owner = False
        self.on_frame: OnFrame | None = None
        self.other: FakeStream
        self._reader = FrameReader()
        self._held: list[bytes] | None = None
        self._late: MemoryObjectSendStream[bytes]

    async def send(self, item: bytes) -> None:
        """Send the frames that pass ``on_frame``."""
        for frame in self._reader.feed(item):
            passes = self.on_frame is None or self.on_frame(self, frame)
            if passes and self._held is not None:
                self._held.append(encode_frame(frame))
            elif passes and not self.silent:
                await super().send(encode_frame(frame))

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return what the other end sent."""
        return await super().receive()

    def cut_late(self) -> None:
        """End the link for this end; the other gets what is sent by then later on."""
        self._held = []
        self._late = self.send_stream.clone()  # type: ignore[attr-defined]
        self.other.silent = True
        self.other.send_stream.close()  # type: ignore[attr-defined]

    def deliver_late(self) -> None:
        """Deliver what was held back; ``end_late`` delivers the end of the link."""
        for item in self._held or ():
            self._late.send_nowait(item)

    def end_late(self) -> None:
        """End the link for the other end too."""
        self._late.close()

    def silence(self) -> None:
        """Lose everything from now on, both ways, without closing."""
        self.silent = self.other.silent = True

    def cut(self) -> None:
        """End the link both ways; what was sent before still arrives."""
        self.silence()
        for end in (self, self.other):
            end.send_stream.close()  # type: ignore[attr-defined]


def make_streams() -> tuple[FakeStream, FakeStream]:
    """Return the two ends of a link."""
    a_in, b_out = anyio.create_memory_object_stream[bytes](1000)
    b_in, a_out = anyio.create_memory_object_stream[bytes](1000)
    left, right = FakeStream(a_in, a_out), FakeStream(b_in, b_out)
    left.other, right.other = right, left
    return left, right


class FakeAnswer:
    """A caller's view of its answer."""

    def __init__(self) -> None:
        self.started = False
        self.finished = False
        self.status = 0
        self.body_bytes = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head; a second head is a fault."""
        assert not self.started
        self.started = True
        self.status = status
        self.headers = dict(headers)

    async def send_part(self, data: bytes) -> None:
        """Take a part of the body."""
        assert not self.finished
        self.body += data
        self.body_bytes += len(data)

    async def finish(self) -> None:
        """Take the end."""
        self.finished = True

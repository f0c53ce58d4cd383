"""Building blocks of the fakes: heads, in-memory links, a backend server, a response.

The fleet that is made of them is in ``fakes``.
"""

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


class FailurePoint(StrEnum):
    """The point in a request at which a fake backend server fails."""

    CONNECT = "connect"
    RUN = "run"
    RESPONSE = "response"


@dataclass
class FakeRun:
    """One run of a request; ``started_s`` is the time on the test's clock."""

    request_id: str
    started_s: float
    completed: bool = False


@dataclass
class FakeBackend(HttpClient):
    """Replaces the HTTP client and the backend server behind it.

    ``runs`` lists the request ids that were run, ``ledger`` the same runs with their
    times. ``cut_at`` closes the connection at a point of the request; ``stall_at``
    makes the backend server stop responding there. With ``echo`` the first part of a
    response is the request id.
    """

    name: str
    service_time_s: float = 0.2
    parts: tuple[bytes, ...] = (b"one", b"two")
    part_pause_s: float = 0.1
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    cut_at: FailurePoint | None = None
    stall_at: FailurePoint | None = None
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
        """Run a request and respond after its service time."""
        if self.cut_at is FailurePoint.CONNECT:
            raise ServerUnreachable("refused")
        data = b"".join([part async for part in body]) if body is not None else b""
        values = {key.lower(): value for key, value in headers}
        assert len(values) == len(headers), "a header was set twice"
        request_id = values[b"x-request-id"].decode()
        run = FakeRun(request_id, anyio.current_time())
        self.runs.append(request_id)
        self.ledger.append(run)
        self.received.append((values, data))
        await anyio.sleep(self.service_time_s)
        await self._fail_at(FailurePoint.RUN)
        yield HttpResponse(self.status, self.headers, self._iterate_parts(run))

    async def _iterate_parts(self, run: FakeRun) -> AsyncIterator[bytes]:
        id_part = (run.request_id.encode(),) if self.echo else ()
        for number, part in enumerate((*id_part, *self.parts)):
            if number:
                await anyio.sleep(self.part_pause_s)
                await self._fail_at(FailurePoint.RESPONSE)
            yield part
        run.completed = True

    async def _fail_at(self, step: FailurePoint) -> None:
        if self.stall_at is step:
            await anyio.sleep_forever()
        if self.cut_at is step:
            raise ConnectionCut("cut")


OnFrame = Callable[["FakeStream", Frame], bool]
"""Called with each frame before it is sent; returns False to drop it."""


class FakeStream(StapledObjectStream[bytes]):
    """An in-memory byte stream; ``silent`` drops everything that is sent.

    ``on_frame`` may drop a frame, silence the link or cut it.
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
        self._held_back: list[bytes] | None = None
        self._late_sender: MemoryObjectSendStream[bytes]

    async def send(self, item: bytes) -> None:
        """Send the frames that ``on_frame`` doesn't drop."""
        for frame in self._reader.feed(item):
            passes = self.on_frame is None or self.on_frame(self, frame)
            if passes and self._held_back is not None:
                self._held_back.append(encode_frame(frame))
            elif passes and not self.silent:
                await super().send(encode_frame(frame))

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the bytes of one send of the other end."""
        return await super().receive()

    def cut_late(self) -> None:
        """Close the link at this end only, and hold back what it sends from now on.

        ``deliver_late`` delivers it to the other end; ``end_late`` closes that end.
        """
        self._held_back = []
        self._late_sender = self.send_stream.clone()  # type: ignore[attr-defined]
        self.other.silent = True
        self.other.send_stream.close()  # type: ignore[attr-defined]

    def deliver_late(self) -> None:
        """Deliver the frames that were held back since ``cut_late``."""
        for item in self._held_back or ():
            self._late_sender.send_nowait(item)

    def end_late(self) -> None:
        """Close the link at the other end too."""
        self._late_sender.close()

    def silence(self) -> None:
        """Drop everything from now on in both directions, without closing the link."""
        self.silent = self.other.silent = True

    def cut(self) -> None:
        """Close the link in both directions; what was sent before still arrives."""
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


class FakeResponse:
    """Records a response as its caller receives it."""

    def __init__(self) -> None:
        self.started = False
        self.finished = False
        self.status = 0
        self.body_bytes = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    async def start(self, status: int, headers: Headers) -> None:
        """Record the head; fails if one was received before."""
        assert not self.started
        self.started = True
        self.status = status
        self.headers = dict(headers)

    async def send_part(self, data: bytes) -> None:
        """Record a part of the body; fails after the end."""
        assert not self.finished
        self.body += data
        self.body_bytes += len(data)

    async def finish(self) -> None:
        """Record the end of the response."""
        self.finished = True

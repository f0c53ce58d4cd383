"""Fakes for tests on the paused clock: peer streams in memory, a backend server.

``FakeFleet`` joins real entries and owners; only sockets and the backend server's HTTP
are replaced. Its backend servers keep a ledger of runs, from which tests check what the
system reports.
"""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from enum import StrEnum
from itertools import count
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup
from anyio.streams.stapled import StapledObjectStream

from ..backends import AttemptLedger, KeyLedger, Owner
from ..backends.client import (
    BackendAnswer,
    BackendClient,
    BackendCut,
    BackendUnreachable,
)
from ..callers.body import CallerBody
from ..callers.classify import Classified
from ..callers.forward import Forwarder, Trace, forward_request
from ..daemon import open_local
from ..daemons import ConnectionLost, Exchange, Identity, PeerConnection
from ..daemons.codec import FrameReader, encode_frame
from ..daemons.frames import Frame, Reset
from ..errors import ErrorKind, Refusal
from ..limits import AdmissionController, RetryBudget
from ..membership import Directory
from ..model import (
    AttemptId,
    Endpoint,
    Headers,
    Priority,
    RequestHead,
    ServiceSlice,
)
from ..routing import Router

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
class FakeBackend(BackendClient):
    """Replaces the HTTP client; ``runs`` is the backend server's own ledger.

    ``cut_at`` ends the connection at a step; ``stall_at`` makes the backend server
    silent there. ``run_s`` is the service time in seconds.
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

    @asynccontextmanager
    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: AsyncIterator[bytes] | None,
    ) -> AsyncIterator[BackendAnswer]:
        """Run a request as a backend server would that answers after its work."""
        if self.cut_at is Step.CONNECT:
            raise BackendUnreachable("refused")
        data = b"".join([part async for part in body]) if body is not None else b""
        values = {key.lower(): value for key, value in headers}
        assert len(values) == len(headers), "a header was set twice"
        self.runs.append(values[b"x-request-id"].decode())
        self.received.append((values, data))
        await anyio.sleep(self.run_s)
        await self._fail_at(Step.RUN)
        yield BackendAnswer(200, self.headers, self._iterate_parts())

    async def _iterate_parts(self) -> AsyncIterator[bytes]:
        for number, part in enumerate(self.parts):
            if number:
                await anyio.sleep(self.part_pause_s)
                await self._fail_at(Step.ANSWER)
            yield part

    async def _fail_at(self, step: Step) -> None:
        if self.stall_at is step:
            await anyio.sleep_forever()
        if self.cut_at is step:
            raise BackendCut("cut")


OnFrame = Callable[["FakeStream", Frame], bool]
"""Sees each frame before it is passed on; returns whether it is."""


class FakeStream(StapledObjectStream[bytes]):
    """A byte stream in memory; ``silent`` loses everything that is sent.

    ``on_frame`` may drop frames, silence or cut the link as they pass.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.silent = False
        self.owner = ""
        self.to_owner = False
        self.on_frame: OnFrame | None = None
        self.other: FakeStream
        self._reader = FrameReader()

    async def send(self, item: bytes) -> None:
        """Send the frames that pass ``on_frame``."""
        for frame in self._reader.feed(item):
            passes = self.on_frame is None or self.on_frame(self, frame)
            if passes and not self.silent:
                await super().send(encode_frame(frame))

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return what the other end sent."""
        return await super().receive()

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


@dataclass
class Call:
    """One finished call; ``took_s`` is in seconds."""

    answer: FakeAnswer
    refusal: Refusal | None
    trace: Trace
    took_s: float

    @property
    def outcome(self) -> str:
        """Return ``answered`` or the outcome that the caller is told."""
        return self.refusal.answer.outcome if self.refusal else "answered"


class FakeEntry:
    """The entry role of one daemon."""

    def __init__(self, fleet: "FakeFleet", name: str, local: str | None) -> None:
        self.fleet = fleet
        self._local = local
        self.identity = Identity(name, 1)
        self.retries = RetryBudget()
        self._connections: dict[str, PeerConnection] = {}
        counter = count(1)
        self.forwarder = Forwarder(
            router=Router(
                fleet.directory, region="r", failure_domain="f", rng=Random(1)
            ),
            retries=self.retries,
            open_exchange=self.open_exchange,
            next_attempt=lambda: AttemptId(name, 1, next(counter)),
            endpoints=fleet.directory.endpoints,
        )

    @asynccontextmanager
    async def open_exchange(self, endpoint: Endpoint) -> AsyncIterator[Exchange]:
        """Open an exchange as the daemon does: in memory if the owner is local."""
        if endpoint.backend == self._local:
            async with open_local(self.fleet.owners[self._local]) as exchange:
                yield exchange
            return
        conn = self._connections.get(endpoint.backend)
        if conn is None or conn.closed:
            conn = await self.fleet.dial(self.identity, endpoint.backend)
            self._connections[endpoint.backend] = conn
        exchange = conn.open_exchange()
        try:
            yield exchange
        finally:
            conn.close_exchange(exchange, Reset(exchange.id, ErrorKind.CANCELLED))

    async def call(self, body: CallerBody | None = None, **changes: Any) -> Call:
        """Make one call and wait for its end."""
        head = make_head(**{"attempt": self.forwarder.next_attempt(), **changes})
        body = body or CallerBody(None, 0)
        req = Classified(head, self.fleet.slice, body.length)
        answer, trace = FakeAnswer(), Trace()
        started_s = anyio.current_time()
        result = await forward_request(self.forwarder, req, body, answer, trace)
        refusal = result.unwrap_err() if result.is_err() else None
        return Call(answer, refusal, trace, anyio.current_time() - started_s)


class FakeFleet:
    """Owners with fake backend servers, reached over links in memory."""

    def __init__(self, tg: TaskGroup, names: tuple[str, ...] = ("b1", "b2")) -> None:
        self.slice = make_slice()
        self.directory = Directory()
        self.backends = {name: FakeBackend(name) for name in names}
        self.owners: dict[str, Owner] = {}
        self.ledgers: dict[str, AttemptLedger] = {}
        self.unreachable: set[str] = set()
        self.on_frame: OnFrame | None = None
        self.dials: list[str] = []
        self._incarnations = dict.fromkeys(names, 0)
        self._links: dict[str, list[FakeStream]] = {name: [] for name in names}
        self._tg = tg
        self.directory.put_slice(self.slice)
        for name in names:
            self.restart(name)
            self.directory.put_endpoint(
                Endpoint(name, SERVICE, name, 1, "r", "f", incarnation=1, seq=1)
            )

    def entry(self, name: str = "e1", local: str | None = None) -> FakeEntry:
        """Return a new entry; ``local`` names the owner in the same process."""
        return FakeEntry(self, name, local)

    def endpoint(self, name: str) -> Endpoint:
        """Return the record of an endpoint."""
        endpoints = self.directory.endpoints(SERVICE)
        return next(e for e in endpoints if e.backend == name)

    def set_slots(self, slots: int) -> None:
        """Change the slots of every backend server."""
        self.slice = replace(self.slice, slots=slots)

    def restart(self, name: str) -> None:
        """Cut the links of an owner and start a new incarnation without records."""
        self.cut(name)
        self.unreachable.discard(name)
        self._incarnations[name] += 1
        admission = AdmissionController(
            name, self._incarnations[name], lambda: self.slice
        )
        self.ledgers[name] = AttemptLedger()
        backend = self.backends[name]
        self.owners[name] = Owner(admission, self.ledgers[name], backend, KeyLedger())
        self._tg.start_soon(self.owners[name].run)

    def cut(self, name: str) -> None:
        """Cut the links of an owner; new ones work."""
        links, self._links[name] = self._links[name], []
        for link in links:
            link.cut()

    def stop(self, name: str) -> None:
        """Cut the links of an owner and refuse new ones; ``restart`` allows them."""
        self.unreachable.add(name)
        self.cut(name)

    async def dial(self, identity: Identity, name: str) -> PeerConnection:
        """Return a connection to an owner, as ``PeerPool`` dials it."""
        self.dials.append(name)
        if name in self.unreachable:
            raise ConnectionLost(f"cannot reach {name}")
        left, right = make_streams()
        for end in (left, right):
            end.owner, end.on_frame = name, self.on_frame
        left.to_owner = True
        self._links[name].append(left)
        owner_identity = Identity(name, self._incarnations[name])
        accept = self.owners[name].accept
        conn = PeerConnection(left, identity)  # type: ignore[arg-type]
        peer = PeerConnection(right, owner_identity, accept=accept)  # type: ignore[arg-type]
        self._tg.start_soon(conn.run)
        self._tg.start_soon(peer.run)
        await conn.wait_ready()
        return conn

    def count_runs(self) -> Counter[str]:
        """Return how often each request id ran, on all backend servers."""
        return Counter(run for b in self.backends.values() for run in b.runs)


@asynccontextmanager
async def run_fleet(*names: str) -> AsyncIterator[FakeFleet]:
    """Run a fleet for the length of a test."""
    async with anyio.create_task_group() as tg:
        yield FakeFleet(tg, names or ("b1", "b2"))
        tg.cancel_scope.cancel()


def make_body(*parts: bytes, length: int | None = None) -> CallerBody:
    """Return a caller's body that arrives in parts."""
    queue = list(parts)

    async def receive() -> dict[str, Any]:
        part = queue.pop(0)
        return {"type": "http.request", "body": part, "more_body": bool(queue)}

    return CallerBody(receive, length)

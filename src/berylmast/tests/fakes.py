"""A fleet for tests on a mock clock, without sockets.

``FakeFleet`` connects real entries and owners; only sockets and the HTTP client of the
backend servers are replaced. The backend servers record their runs, so that tests can
compare them with the outcomes that the system reports.
"""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from itertools import count
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from ..backends import AttemptLedger, IdempotencyKeyLedger, Owner
from ..callers.app import forward_until_disconnect
from ..callers.classify import ClassifiedRequest
from ..callers.forward import ForwardingContext, RequestProgress
from ..callers.request_body import RequestBody
from ..daemons import ConnectionLost, Exchange, Identity, PeerConnection
from ..daemons.frames import GoAway, Reset
from ..errors import ErrorKind, Refusal
from ..limits import AdaptiveAdmission, AdaptiveShedder, RetryBudget
from ..local_exchange import open_local_exchange
from ..membership import Directory
from ..model import (
    AttemptId,
    Endpoint,
    EndpointState,
)
from ..routing import Router
from .fake_parts import (
    SERVICE,
    FailurePoint,
    FakeBackend,
    FakeResponse,
    FakeStream,
    OnFrame,
    make_head,
    make_slice,
    make_streams,
)

__all__ = [
    "SERVICE",
    "Call",
    "FailurePoint",
    "FakeBackend",
    "FakeEntry",
    "FakeFleet",
    "FakeResponse",
    "FakeStream",
    "make_body",
    "make_head",
    "make_slice",
    "make_streams",
    "run_fleet",
]


@dataclass
class Call:
    """A finished call and its duration."""

    response: FakeResponse
    refusal: Refusal | None
    progress: RequestProgress
    duration_s: float

    @property
    def outcome(self) -> str:
        """Return ``answered``, or the outcome that the error response states."""
        return self.refusal.response_spec.outcome if self.refusal else "answered"


class FakeEntry:
    """The entry role of one daemon."""

    def __init__(self, fleet: "FakeFleet", name: str, local: str | None) -> None:
        self.fleet = fleet
        self._local = local
        self.identity = Identity(name, 1)
        self.retry_budget = RetryBudget()
        self._connections: dict[str, PeerConnection] = {}
        counter = count(1)
        self.forwarding_context = ForwardingContext(
            router=Router(
                fleet.directory, region="r", failure_domain="f", rng=Random(1)
            ),
            retries=self.retry_budget,
            shedder=AdaptiveShedder(Random(1)),
            open_exchange=self.open_exchange,
            next_attempt=lambda: AttemptId(name, 1, next(counter)),
            endpoints=fleet.directory.endpoints,
        )

    @asynccontextmanager
    async def open_exchange(self, endpoint: Endpoint) -> AsyncIterator[Exchange]:
        """Open an exchange as the daemon does, in memory if the owner is local."""
        if endpoint.backend == self._local:
            async with open_local_exchange(self.fleet.owners[self._local]) as exchange:
                yield exchange
            return
        conn = await self.connect(endpoint)
        exchange = conn.open_exchange()
        try:
            yield exchange
        finally:
            conn.close_exchange(exchange, Reset(exchange.id, ErrorKind.CANCELLED))

    async def connect(self, endpoint: Endpoint) -> PeerConnection:
        """Return the connection to an owner, as ``PeerPool`` does."""
        conn = self._connections.get(endpoint.backend)
        if conn is None or conn.closed:
            conn = await self.fleet.dial(
                self.identity, endpoint.backend, self.fleet.directory.mark_draining
            )
            self._connections[endpoint.backend] = conn
        return conn

    async def call(
        self,
        body: RequestBody | None = None,
        home_regions: frozenset[str] | None = None,
        **changes: Any,
    ) -> Call:
        """Make one call and wait until it has finished."""
        head = make_head(
            **{"attempt": self.forwarding_context.next_attempt(), **changes}
        )
        body = body or make_body(length=0)
        req = ClassifiedRequest(
            head, self.fleet.slice, body.length, home_regions=home_regions
        )
        response, progress = FakeResponse(), RequestProgress()
        started_s = anyio.current_time()
        result = await forward_until_disconnect(
            self.forwarding_context, req, body, response, progress
        )
        refusal = result.unwrap_err() if result.is_err() else None
        return Call(response, refusal, progress, anyio.current_time() - started_s)


class FakeFleet:
    """Owners with fake backend servers, reached over in-memory links."""

    def __init__(
        self,
        tg: TaskGroup,
        names: tuple[str, ...] = ("b1", "b2"),
        directory: Directory | None = None,
    ) -> None:
        self.slice = make_slice()
        self.directory = directory or Directory()
        self.backends = {name: FakeBackend(name) for name in names}
        self.owners: dict[str, Owner] = {}
        self.ledgers: dict[str, AttemptLedger] = {}
        self.admissions: dict[str, AdaptiveAdmission] = {}
        self.unreachable: set[str] = set()
        self.on_frame: OnFrame | None = None
        self.dials: list[str] = []
        self._incarnations = dict.fromkeys(names, 0)
        self._links: dict[str, list[FakeStream]] = {name: [] for name in names}
        self._peers: dict[str, list[PeerConnection]] = {name: [] for name in names}
        self._late_links: list[FakeStream] = []
        self._tg = tg
        for name in names:
            self.restart(name)
        if directory is not None:
            return
        self.directory.put_slice(self.slice)
        for name in names:
            self.directory.put_endpoint(
                Endpoint(name, SERVICE, name, 1, "r", "f", incarnation=1, seq=1)
            )

    def entry(self, name: str = "e1", local: str | None = None) -> FakeEntry:
        """Return a new entry; ``local`` is the name of the owner in its process."""
        return FakeEntry(self, name, local)

    def endpoint(self, name: str) -> Endpoint:
        """Return the endpoint record of a backend server."""
        endpoints = self.directory.endpoints(SERVICE)
        return next(e for e in endpoints if e.backend == name)

    def set_slots(self, slots: int) -> None:
        """Change the number of slots of every backend server."""
        self.slice = replace(self.slice, slots=slots)

    def restart(self, name: str, incarnation: int | None = None) -> None:
        """Cut the links of an owner and start a new incarnation with empty ledgers."""
        self.cut(name)
        self.unreachable.discard(name)
        self._incarnations[name] = incarnation or self._incarnations[name] + 1
        admission = AdaptiveAdmission(
            name, self._incarnations[name], lambda: self.slice
        )
        self.admissions[name] = admission
        self.ledgers[name] = AttemptLedger()
        backend = self.backends[name]
        self.owners[name] = Owner(
            admission, self.ledgers[name], backend, IdempotencyKeyLedger()
        )
        self._tg.start_soon(self.owners[name].run)

    def cut(self, name: str) -> None:
        """Cut the links of an owner; new links work."""
        links, self._links[name] = self._links[name], []
        for link in links:
            link.cut()

    def silence(self, name: str) -> None:
        """Drop everything that is sent on the links of an owner; new links work."""
        for link in self._links[name]:
            link.silence()

    def cut_late(self, name: str) -> None:
        """Cut the links of an owner at the entries' end; new links work.

        ``deliver_late`` delivers what the entries send after the cut.
        """
        links, self._links[name] = self._links[name], []
        self._late_links += links
        for link in links:
            link.cut_late()

    async def deliver_late(self, end_s: float) -> None:
        """Deliver what ``cut_late`` holds back; close the links ``end_s`` later."""
        links, self._late_links = self._late_links, []
        for link in links:
            link.deliver_late()
        await anyio.sleep(end_s)
        for link in links:
            link.end_late()

    def stop(self, name: str) -> None:
        """Cut the links of an owner and refuse new ones until ``restart``."""
        self.unreachable.add(name)
        self.cut(name)

    def drain(self, name: str) -> None:
        """Drain a backend server, as the daemon does on a drain command."""
        self.admissions[name].draining = True
        record = self.endpoint(name)
        state = EndpointState.DRAINING
        self.directory.put_endpoint(replace(record, seq=record.seq + 1, state=state))
        self.send_goaway(name)

    def send_goaway(self, name: str) -> None:
        """Send GoAway on every link of an owner, as its listener does."""
        for peer in self._peers[name]:
            if not peer.closed:
                peer.write(GoAway())

    async def dial(
        self,
        identity: Identity,
        name: str,
        on_goaway: Callable[[str], None] | None = None,
    ) -> PeerConnection:
        """Return a connection to an owner, as ``PeerPool`` dials it."""
        self.dials.append(name)
        if name in self.unreachable:
            raise ConnectionLost(f"cannot reach {name}")
        left, right = make_streams()
        for end in (left, right):
            end.owner, end.on_frame = name, self.on_frame
            end.entry = identity.daemon
        left.to_owner = True
        self._links[name].append(left)
        owner_identity = Identity(name, self._incarnations[name])
        accept = self.owners[name].accept
        goaway = on_goaway or self.directory.mark_draining
        conn = PeerConnection(left, identity, on_goaway=goaway)  # type: ignore[arg-type]
        peer = PeerConnection(right, owner_identity, accept=accept)  # type: ignore[arg-type]
        self._peers[name].append(peer)
        self._tg.start_soon(conn.run)
        self._tg.start_soon(peer.run)
        await conn.wait_ready()
        return conn

    def count_runs(self) -> Counter[str]:
        """Return the number of runs of each request id on all backend servers."""
        return Counter(run for b in self.backends.values() for run in b.runs)


@asynccontextmanager
async def run_fleet(*names: str) -> AsyncIterator[FakeFleet]:
    """Run a fleet while the context is open."""
    async with anyio.create_task_group() as tg:
        yield FakeFleet(tg, names or ("b1", "b2"))
        tg.cancel_scope.cancel()


def make_body(*parts: bytes, length: int | None = None) -> RequestBody:
    """Return a caller's body that arrives in parts."""
    queue = list(parts)

    async def receive() -> dict[str, Any]:
        if not queue:
            await anyio.sleep_forever()
        if not queue:
            await anyio.sleep_forever()  # The caller waits for its response.
        part = queue.pop(0)
        return {"type": "http.request", "body": part, "more_body": bool(queue)}

    return RequestBody(receive, length)

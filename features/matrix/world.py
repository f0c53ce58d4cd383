"""The fleet of one cell: request path, membership and store, with recorded events."""

from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any, cast

import anyio
from anyio.abc import TaskGroup

from berylmast.daemons import PeerPool
from berylmast.daemons.codec import encode_frame
from berylmast.daemons.frames import Frame, Load, Probe
from berylmast.membership import Directory
from berylmast.membership.tests.fleet import Fleet
from berylmast.model import ServiceSlice
from berylmast.routing.probes import Prober
from berylmast.tests.fakes import SERVICE, Call, FakeEntry, FakeFleet, FakeStream

from .document import Operators

OWNERS = {"b1": "r1", "b2": "r1", "b3": "r2"}
OTHERS = {"d1": "r2"}
STRUCK = "b1"
"""The daemon that faults at steps of a document change affect."""

ENTRY = "e1"
HOST = "orders.test"
CALL_INTERVAL_S = 0.15
DEADLINE_MS = 4_000
START_LIMIT_S = 40.0


class RecordingDirectory(Directory):
    """Records, in order, each adopted version of the document and of the slices."""

    def __init__(self) -> None:
        self.adopted: list[tuple[str, int]] = []
        self.on_adopted: Callable[[int], None] | None = None
        super().__init__()

    def __setattr__(self, name: str, value: Any) -> None:
        """Set an attribute; record each new document version."""
        super().__setattr__(name, value)
        if name == "document_version" and value:
            self.adopted.append(("document", value))
            if self.on_adopted is not None:
                self.on_adopted(value)

    def put_slice(self, new: ServiceSlice) -> bool:
        """Store a slice; record its version if it was adopted."""
        adopted = super().put_slice(new)
        if adopted:
            self.adopted.append((new.service, new.version))
        return adopted


@dataclass
class Asked:
    """One request of a caller; ``call`` is None until it ends."""

    request_id: str
    idempotent: bool
    asked_s: float
    call: Call | None = None


@dataclass
class Drain:
    """One drain of a backend server and the requests that ran when it began."""

    backend: str
    started_s: float
    running: list[str]
    ended_s: float = float("inf")


@dataclass
class ProbeMeter:
    """Counts the probes on all links, and the bytes of probes and load reports."""

    started_s: float = 0.0
    probes: int = 0
    size: int = 0


OnFrame = Callable[[FakeStream, Frame], bool]


@dataclass
class World:
    """The simulated fleet, with the records from which the invariants are checked."""

    tg: TaskGroup
    members: Fleet
    operators: Operators
    requests: FakeFleet
    asked: list[Asked] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    directories: list[RecordingDirectory] = field(default_factory=list)
    meter: ProbeMeter = field(default_factory=ProbeMeter)
    on_frame: OnFrame | None = None
    on_adopted: Callable[[int], None] | None = None
    calling: bool = True
    paused: str = ""
    outage_versions: set[int] = field(default_factory=set)
    _entry: FakeEntry | None = None
    numbers: Iterator[int] = field(default_factory=lambda: count(1))

    def make_directory(self) -> RecordingDirectory:
        """Return a new daemon's directory; it is checked even after the daemon ends."""
        directory = RecordingDirectory()
        directory.on_adopted = self._see_adopted
        self.directories.append(directory)
        return directory

    @property
    def entry(self) -> FakeEntry:
        """Return the entry under test."""
        assert self._entry is not None
        return self._entry

    def start_entry(self) -> None:
        """Start the entry, its prober and the traffic."""
        self.requests.directory = self.members.daemons[ENTRY].directory
        entry = self._entry = self.requests.entry(ENTRY)
        router = entry.forwarding.router
        prober = Prober(
            cast(PeerPool, EntryPool(entry)),
            router.probe_budget,
            find_stale_endpoints=router.find_stale_endpoints,
            record_load=router.record_load,
            rng=Random(1),
        )
        self.meter.started_s = anyio.current_time()
        self.tg.start_soon(prober.run)
        self.tg.start_soon(self.make_traffic)

    def start_member(self, name: str) -> None:
        """Start a daemon, with its owner if it has one, in a new incarnation."""
        domain = {**OWNERS, **OTHERS, ENTRY: "r1"}[name]
        service = SERVICE if name in OWNERS else "drawings" if name in OTHERS else None
        self.members.start(name, domain, service)
        if name in OWNERS:
            self.requests.restart(name, self.members.start_count)

    def stop_member(self, name: str) -> None:
        """Kill a daemon: its membership and its owner end at once."""
        self.members.stop(name)
        if name in OWNERS:
            self.requests.stop(name)

    def watch(self, link: FakeStream, frame: Frame) -> bool:
        """Count a frame between entry and owner; return whether it is delivered."""
        if isinstance(frame, Probe | Load):
            self.meter.probes += isinstance(frame, Probe)
            self.meter.size += len(encode_frame(frame))
        return self.on_frame is None or self.on_frame(link, frame)

    async def ask(self, priority: str, idempotent: bool) -> None:
        """Send one request and record its result."""
        request_id = f"r{next(self.numbers)}"
        asked = Asked(request_id, idempotent, anyio.current_time())
        self.asked.append(asked)
        directory = self.members.daemons[ENTRY].directory
        found = directory.find_service(HOST)
        self.requests.slice = found or self.requests.slice
        asked.call = await self.entry.call(
            request_id=request_id,
            idempotent=idempotent,
            method="GET" if idempotent else "POST",
            priority=priority,
            deadline_ms=DEADLINE_MS,
        )

    async def make_traffic(self) -> None:
        """Send requests at a steady rate, every second one not idempotent."""
        while self.calling:
            number = len(self.asked)
            self.tg.start_soon(self.ask, "urgent", number % 2 == 0)
            await anyio.sleep(CALL_INTERVAL_S)

    def _see_adopted(self, version: int) -> None:
        if self.on_adopted is not None:
            self.on_adopted(version)


class EntryPool:
    """The part of ``PeerPool`` that the prober uses, with the entry's connections."""

    def __init__(self, entry: FakeEntry) -> None:
        self.connect = entry.connect


@asynccontextmanager
async def run_world() -> AsyncIterator[World]:
    """Run a fleet with traffic, probes and an active document."""
    async with anyio.create_task_group() as tg:
        members = Fleet(tg)
        operators = Operators(members.table)
        requests = FakeFleet(tg, tuple(OWNERS), Directory())
        world = World(tg, members, operators, requests)
        members.make_directory = world.make_directory
        requests.on_frame = world.watch
        assert await operators.apply()
        for name in (*OWNERS, *OTHERS, ENTRY):
            world.start_member(name)
        for backend in requests.backends.values():
            backend.echo = True
        await members.wait_until(lambda: _is_ready(world), START_LIMIT_S)
        world.start_entry()
        await anyio.sleep(2.0)
        yield world
        tg.cancel_scope.cancel()


def _is_ready(world: World) -> bool:
    members = world.members
    return members.versions() == {1} and members.known(ENTRY) == set(OWNERS)

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

from .operators import Operators

OWNER_DOMAINS = {"b1": "r1", "b2": "r1", "b3": "r2"}
OTHER_DOMAINS = {"d1": "r2"}
FAULT_TARGET = "b1"
"""The daemon that faults at steps of a document change affect."""

ENTRY_DAEMON = "e1"
SERVICE_HOST = "orders.test"
CALL_INTERVAL_S = 0.15
DEADLINE_MS = 4_000
START_TIMEOUT_S = 40.0


class RecordingDirectory(Directory):
    """Records, in order, each adopted version of the document and of the slices."""

    def __init__(self) -> None:
        self.adopted_versions: list[tuple[str, int]] = []
        self.on_adopted: Callable[[int], None] | None = None
        super().__init__()

    def __setattr__(self, name: str, value: Any) -> None:
        """Set an attribute; record each new document version."""
        super().__setattr__(name, value)
        if name == "document_version" and value:
            self.adopted_versions.append(("document", value))
            if self.on_adopted is not None:
                self.on_adopted(value)

    def put_slice(self, new: ServiceSlice) -> bool:
        """Store a slice; record its version if it was adopted."""
        adopted = super().put_slice(new)
        if adopted:
            self.adopted_versions.append((new.service, new.version))
        return adopted


@dataclass
class CallerRequest:
    """One request of a caller; ``call`` is None until it ends."""

    request_id: str
    idempotent: bool
    sent_s: float
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


FrameFilter = Callable[[FakeStream, Frame], bool]


@dataclass
class Simulation:
    """The simulated fleet, with the records from which the invariants are checked.

    ``membership`` holds the daemons of the membership protocol; ``requests`` holds the
    owners and their fake backend servers, which run the requests.
    """

    tg: TaskGroup
    membership: Fleet
    operators: Operators
    requests: FakeFleet
    caller_requests: list[CallerRequest] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    directories: list[RecordingDirectory] = field(default_factory=list)
    probe_meter: ProbeMeter = field(default_factory=ProbeMeter)
    on_frame: FrameFilter | None = None
    on_adopted: Callable[[int], None] | None = None
    sends_traffic: bool = True
    isolated_daemon: str = ""
    outage_versions: set[int] = field(default_factory=set)
    _entry: FakeEntry | None = None
    request_numbers: Iterator[int] = field(default_factory=lambda: count(1))

    def make_directory(self) -> RecordingDirectory:
        """Return a new daemon's directory; it is checked even after the daemon ends."""
        directory = RecordingDirectory()
        directory.on_adopted = self._handle_adopted
        self.directories.append(directory)
        return directory

    @property
    def entry(self) -> FakeEntry:
        """Return the entry under test."""
        assert self._entry is not None
        return self._entry

    def start_entry(self) -> None:
        """Start the entry, its prober and the traffic."""
        self.requests.directory = self.membership.daemons[ENTRY_DAEMON].directory
        entry = self._entry = self.requests.entry(ENTRY_DAEMON)
        router = entry.forwarding_context.router
        prober = Prober(
            cast(PeerPool, EntryPool(entry)),
            router.probe_budget,
            find_stale_endpoints=router.find_stale_endpoints,
            record_load=router.record_load,
            rng=Random(1),
        )
        self.probe_meter.started_s = anyio.current_time()
        self.tg.start_soon(prober.run)
        self.tg.start_soon(self.generate_traffic)

    def start_daemon(self, name: str) -> None:
        """Start a daemon, with its owner if it has one, in a new incarnation."""
        domain = {**OWNER_DOMAINS, **OTHER_DOMAINS, ENTRY_DAEMON: "r1"}[name]
        service = (
            SERVICE
            if name in OWNER_DOMAINS
            else "drawings"
            if name in OTHER_DOMAINS
            else None
        )
        self.membership.start(name, domain, service)
        if name in OWNER_DOMAINS:
            self.requests.restart(name, self.membership.start_count)

    def kill_daemon(self, name: str) -> None:
        """Kill a daemon: its membership and its owner end at once."""
        self.membership.stop(name)
        if name in OWNER_DOMAINS:
            self.requests.stop(name)

    def count_and_filter_frame(self, link: FakeStream, frame: Frame) -> bool:
        """Count a frame between entry and owner; return whether it is delivered."""
        if isinstance(frame, Probe | Load):
            self.probe_meter.probes += isinstance(frame, Probe)
            self.probe_meter.size += len(encode_frame(frame))
        return self.on_frame is None or self.on_frame(link, frame)

    async def send_request(self, priority: str, idempotent: bool) -> None:
        """Send one request and record its result."""
        request_id = f"r{next(self.request_numbers)}"
        request = CallerRequest(request_id, idempotent, anyio.current_time())
        self.caller_requests.append(request)
        directory = self.membership.daemons[ENTRY_DAEMON].directory
        found = directory.find_service(SERVICE_HOST)
        self.requests.slice = found or self.requests.slice
        request.call = await self.entry.call(
            request_id=request_id,
            idempotent=idempotent,
            method="GET" if idempotent else "POST",
            priority=priority,
            deadline_ms=DEADLINE_MS,
        )

    async def generate_traffic(self) -> None:
        """Send requests at a steady rate, every second one not idempotent."""
        while self.sends_traffic:
            number = len(self.caller_requests)
            self.tg.start_soon(self.send_request, "urgent", number % 2 == 0)
            await anyio.sleep(CALL_INTERVAL_S)

    def _handle_adopted(self, version: int) -> None:
        if self.on_adopted is not None:
            self.on_adopted(version)


class EntryPool:
    """The part of ``PeerPool`` that the prober uses, with the entry's connections."""

    def __init__(self, entry: FakeEntry) -> None:
        self.connect = entry.connect


@asynccontextmanager
async def run_simulation() -> AsyncIterator[Simulation]:
    """Run a fleet with traffic, probes and an active document."""
    async with anyio.create_task_group() as tg:
        membership = Fleet(tg)
        operators = Operators(membership.table)
        request_fleet = FakeFleet(tg, tuple(OWNER_DOMAINS), Directory())
        simulation = Simulation(tg, membership, operators, request_fleet)
        membership.make_directory = simulation.make_directory
        request_fleet.on_frame = simulation.count_and_filter_frame
        assert await operators.apply()
        for name in (*OWNER_DOMAINS, *OTHER_DOMAINS, ENTRY_DAEMON):
            simulation.start_daemon(name)
        for backend in request_fleet.backends.values():
            backend.echo = True
        await membership.wait_until(lambda: _is_ready(simulation), START_TIMEOUT_S)
        simulation.start_entry()
        await anyio.sleep(2.0)
        yield simulation
        tg.cancel_scope.cancel()


def _is_ready(simulation: Simulation) -> bool:
    membership = simulation.membership
    return membership.versions() == {1} and membership.known(ENTRY_DAEMON) == set(
        OWNER_DOMAINS
    )

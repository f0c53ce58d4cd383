"""Members of one process with a network in memory, on the paused clock."""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import anyio
from anyio.abc import TaskGroup

from berylmast_dev.objects import ObjectTable

from ...daemons import ConnectionLost, Exchange, ExchangeLost, Identity
from ...daemons.frames import Announce, Frame, Sync
from ...model import Endpoint
from ...platform.tests.fake import FakePlatform
from .. import Directory
from ..finder import Place
from ..leases import LEASE_KIND
from ..links import Dial
from ..member import Member

ROUTE = '{"idempotent": true, "priority": "normal", "deadline_ms": 1000}'


def make_text(**slots: int) -> str:
    """Return a document with one service per name and these slots."""
    services = ",".join(
        f'"{name}": {{"hosts": ["{name}.example"], "slots": {n}, "routes": [{ROUTE}]}}'
        for name, n in slots.items()
    )
    return f'{{"priorities": [{{"name": "normal"}}], "services": {{{services}}}}}'


@dataclass
class Daemon:
    """One member with its directory, platform client and life."""

    member: Member
    directory: Directory
    platform: FakePlatform
    scope: anyio.CancelScope
    tg: TaskGroup | None = None


@dataclass
class Link:
    """An open control exchange between two daemons; ``silent`` loses every frame."""

    pair: frozenset[str]
    left: Exchange
    right: Exchange
    silent: bool = False


@dataclass
class Fleet:
    """All daemons of a test; ``cut`` holds pairs of names that lose every frame."""

    tg: TaskGroup
    table: ObjectTable = field(default_factory=ObjectTable)
    daemons: dict[str, Daemon] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    make_directory: Callable[[], Directory] = Directory
    links: list[Link] = field(default_factory=list)
    frames: int = 0
    kinds: Counter[type[Frame]] = field(default_factory=Counter)
    on_frame: Callable[[str, str, Frame], None] | None = None
    make_platform: Callable[[ObjectTable, str], FakePlatform] = lambda table, name: (
        FakePlatform(table)
    )
    lives: int = 0

    def start(
        self,
        name: str,
        domain: str = "n1",
        service: str | None = "orders",
        seeds: tuple[str, ...] = (),
        registrars: int = 1,
    ) -> Daemon:
        """Start a daemon; the region is the first letter of the failure domain."""
        self.lives += 1
        identity = Identity(name, self.lives)
        record = None
        if service is not None:
            record = Endpoint(
                name, service, name, 1, domain[0], domain, identity.incarnation, 1
            )
        place = Place(
            "test",
            domain[0],
            domain,
            name,
            1,
            tuple((seed, 1) for seed in seeds),
            registrars,
            start_spread_s=1.0,
        )
        directory = self.make_directory()
        platform = self.make_platform(self.table, name)
        dial = make_dial(self, name)
        rng = Random(f"{name}/{self.lives}")
        member = Member(identity, place, directory, platform, dial, rng, record)
        daemon = Daemon(member, directory, platform, anyio.CancelScope())
        self.daemons[name] = daemon
        self.tg.start_soon(_run, daemon)
        return daemon

    def stop(self, name: str) -> None:
        """End a daemon at once, as a crash does."""
        self.daemons.pop(name).scope.cancel()

    def silence(self, name: str) -> None:
        """Make the open control exchanges of a daemon silent; new ones work."""
        for link in self.links:
            link.silent = link.silent or name in link.pair

    def cut_links(self, name: str) -> None:
        """End the open control exchanges of a daemon; new ones work."""
        for link in [link for link in self.links if name in link.pair]:
            link.left.lose()
            link.right.lose()

    def apply(self, version: int, **slots: int) -> None:
        """Accept a document."""
        spec = {"version": version, "text": make_text(**slots)}
        self.table.put("documents", "test", spec, None)

    def set_down(self, down: bool) -> None:
        """Begin or end an outage of the platform."""
        for daemon in self.daemons.values():
            daemon.platform.down = down

    def registrars(self) -> dict[str, str]:
        """Return the daemons that serve as registrars, by shard."""
        return {
            daemon.member.role: name
            for name, daemon in self.daemons.items()
            if daemon.member.role is not None
        }

    def holders(self) -> dict[str, str]:
        """Return the holders of the leases as the platform stores them."""
        return {
            item["metadata"]["name"]: item["spec"]["daemon"]
            for item in self.table.select(LEASE_KIND)
        }

    def known(self, name: str, service: str = "orders") -> set[str]:
        """Return the ready endpoints that a daemon knows."""
        directory = self.daemons[name].directory
        return {endpoint.backend for endpoint in directory.endpoints(service)}

    def versions(self) -> set[int]:
        """Return the document versions in force."""
        return {d.directory.document_version for d in self.daemons.values()}

    async def wait_until(self, check: Callable[[], bool], limit_s: float) -> float:
        """Wait for a condition and return how long it took; fails after a limit."""
        started_s = anyio.current_time()
        while not check():
            assert anyio.current_time() - started_s < limit_s, "too late"
            await anyio.sleep(0.05)
        return anyio.current_time() - started_s


async def _run(daemon: Daemon) -> None:
    with daemon.scope:
        async with anyio.create_task_group() as tg:
            daemon.tg = tg
            await daemon.member.run()


def make_dial(fleet: Fleet, source: str) -> Dial:
    """Return the function by which a daemon reaches others by name."""

    @asynccontextmanager
    async def dial(host: str, port: int) -> AsyncIterator[Exchange]:
        target = fleet.daemons.get(host)
        pair = frozenset({source, host})
        if target is None or target.tg is None or pair in fleet.cut:
            await anyio.sleep(0.5)
            raise ConnectionLost(host)

        def carry(frame: Frame, to_left: bool) -> None:
            fleet.frames += 1
            fleet.kinds[type(frame)] += 1
            if fleet.on_frame is not None and pair not in fleet.cut:
                ends = (host, source) if to_left else (source, host)
                fleet.on_frame(*ends, frame)
            receiver = left if to_left else right
            passes = pair not in fleet.cut and not link.silent
            if passes and not receiver.lost:
                receiver.deliver(frame)

        left = Exchange(1, lambda frame: carry(frame, False))
        right = Exchange(1, lambda frame: carry(frame, True))
        link = Link(pair, left, right)
        fleet.links.append(link)

        async def accept() -> None:
            try:
                frame = await right.receive()
                assert isinstance(frame, Announce | Sync)
                await target.member.accept(right, frame)
            except ExchangeLost:
                pass
            finally:
                left.lose()

        target.tg.start_soon(accept)
        try:
            yield left
        finally:
            fleet.links.remove(link)
            right.lose()
            left.discard()

    return dial


@asynccontextmanager
async def run_fleet() -> AsyncIterator[Fleet]:
    """Run a fleet until the block ends."""
    async with anyio.create_task_group() as tg:
        yield Fleet(tg)
        tg.cancel_scope.cancel()

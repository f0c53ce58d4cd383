"""Golden sessions of control traffic: documents and registrar leases.

Beats between daemons and bookmarks of watches are left out: they repeat.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio

from berylmast_dev.objects import ObjectTable

from ..daemons.frames import Beat, Frame
from ..membership.tests.fleet import Fleet, make_text, run_fleet
from ..operators.revisions import apply_revision
from ..platform import PlatformClient
from ..platform.confirm import WRITERS
from ..platform.objects import Conflict, EventType, Listing, PlatformObject, WatchEvent
from ..platform.tests.fake import FakePlatform
from .golden_log import SessionLog, show, show_frame

PLATFORM = "platform"
HIDDEN_KEYS = {WRITERS, "token", "digest"}
"""The first two are drawn anew for every write; the digest only adds length."""


def show_object(found: PlatformObject | None) -> str:
    """Return an object without the values that differ between runs."""
    if found is None:
        return "404"
    meta = found.metadata
    return f"{meta.name} v{meta.resource_version} {show_spec(found.spec)}"


def show_spec(spec: dict[str, Any]) -> str:
    """Return the fields of an object that are the same on every run."""
    return show({k: v for k, v in spec.items() if k not in HIDDEN_KEYS})


class LoggedPlatform(FakePlatform):
    """Records the calls of one client; while it is paused no call is sent."""

    def __init__(self, table: ObjectTable, name: str, log: SessionLog) -> None:
        super().__init__(table)
        self.name, self.session = name, log
        self.running = anyio.Event()
        self.running.set()

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        await self._ask(f"GET {kind}/{name}")
        found = await super().get(kind, name)
        self._tell(show_object(found))
        return found

    async def list(self, kind: str, name: str | None = None) -> Listing:
        await self._ask(f"LIST {kind}")
        listing = await super().list(kind, name)
        items = "; ".join(show_object(item) for item in listing.items)
        self._tell(f"{kind} v{listing.version}: {items}")
        return listing

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], version: int | None
    ) -> PlatformObject:
        await self._ask(f"PUT {kind}/{name} if v{version} {show_spec(spec)}")
        try:
            stored = await super().put(kind, name, spec, version)
        except Conflict:
            self._tell("409 conflict")
            raise
        self._tell(f"200 v{stored.metadata.resource_version}")
        return stored

    async def delete(self, kind: str, name: str, version: int | None) -> None:
        await self._ask(f"DELETE {kind}/{name} if v{version}")
        await super().delete(kind, name, version)
        self._tell("200")

    async def watch(
        self, kind: str, version: int, name: str | None = None
    ) -> AsyncIterator[WatchEvent]:
        await self._ask(f"WATCH {kind} from v{version}")
        async for event in super().watch(kind, version, name):
            await self.running.wait()
            if event.type is not EventType.BOOKMARK:
                self._tell(f"{event.type} {kind}/{show_object(event.object)}")
            yield event

    async def _ask(self, text: str) -> None:
        await self.running.wait()
        self.session.add(self.name, PLATFORM, text)

    def _tell(self, text: str) -> None:
        self.session.add(PLATFORM, self.name, text)


@asynccontextmanager
async def run_logged(log: SessionLog) -> AsyncIterator[Fleet]:
    """Run three daemons in two failure domains and record once they have settled."""

    def on_frame(source: str, target: str, frame: Frame) -> None:
        if not isinstance(frame, Beat):
            log.add(source, target, show_frame(frame))

    async with run_fleet() as fleet:
        fleet.make_platform = lambda table, name: LoggedPlatform(table, name, log)
        fleet.on_frame = on_frame
        fleet.table.put("documents", "test", make_spec(1, 6), None)
        for name, service in (("a0", "orders"), ("a1", "orders"), ("b0", "drawings")):
            fleet.start(name, "n1" if name[0] == "a" else "s1", service)
        await anyio.sleep(20)
        log.start()
        yield fleet


def make_spec(version: int, slots: int) -> dict[str, Any]:
    """Return the stored form of a document whose orders have these slots."""
    text = make_text(orders=slots, drawings=4)
    return {"version": version, "text": text, "digest": "-", "token": "-"}


async def document_change(log: SessionLog) -> None:
    """A document is applied and in force everywhere; only changed slices are sent."""
    async with run_logged(log) as fleet:
        operator = LoggedPlatform(fleet.table, "operator", log)
        client = cast(PlatformClient, operator)
        text = make_spec(2, 9)["text"]
        async with anyio.create_task_group() as tg:
            tg.start_soon(apply_revision, client, "test", text, 1)
            for name, daemon in fleet.daemons.items():
                tg.start_soon(note_version, log, name, daemon.directory, 2)


async def note_version(
    log: SessionLog, name: str, directory: Any, version: int
) -> None:
    """Note when a version is in force at a daemon, to within 1 ms."""
    with anyio.move_on_after(10):
        while directory.document_version < version:
            await anyio.sleep(0.001)
    version = directory.document_version
    orders = directory.service("orders")
    slots = "" if orders is None else f", orders has {orders.slots} slots"
    log.note(f"{name}: document version {version} in force{slots}")


async def lease_taken_over(log: SessionLog) -> None:
    """A paused registrar loses its lease; its late renewal is refused (fenced)."""
    async with run_logged(log) as fleet:
        old = fleet.registrars()["n1-0"]
        platform = fleet.daemons[old].platform
        assert isinstance(platform, LoggedPlatform)
        log.note(f"fault: {old} is paused")
        platform.running = anyio.Event()
        fleet.cut = {frozenset({old, name}) for name in fleet.daemons if name != old}
        await fleet.wait_until(lambda: fleet.holders()["n1-0"] != old, 40)
        await anyio.sleep(2)
        log.note(f"{old} runs again")
        fleet.cut = set()
        platform.running.set()
        await fleet.wait_until(lambda: fleet.daemons[old].member.role is None, 10)
        log.note(f"{old} is no registrar any more; holders: {fleet.holders()}")
        await anyio.sleep(3)
        for name in sorted(fleet.daemons):
            known = sorted(fleet.known(name))
            log.note(f"{name} knows the endpoints {show(known)} of orders")


SESSIONS = {
    "09_document_change": document_change,
    "10_lease_taken_over": lease_taken_over,
}

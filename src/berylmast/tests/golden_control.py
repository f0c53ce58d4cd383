"""Golden sessions of control traffic: documents and endpoint records.

The periodic comparisons between daemons are left out because they repeat.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio

from berylmast_dev.objects import ObjectTable

from ..daemons.frames import Body, Compare, Compared, End, Frame
from ..membership.tests.fleet import Fleet, make_text, run_fleet
from ..operators.revisions import apply_revision
from ..platform.objects import Changes, Conflict, Listing, StoredObject
from ..platform.tests.fake_store import FakeStore
from .golden_log import SessionLog, format_frame, format_value

PLATFORM = "platform"
HIDDEN_KEYS = {"token", "digest"}
"""The token is random for every write; the digest would only make lines longer."""


def format_object(found: StoredObject | None) -> str:
    """Return an object as text, without the values that differ between runs."""
    if found is None:
        return "404"
    return f"{found.name} r{found.revision} {format_spec(found.spec)}"


def format_spec(spec: Any) -> str:
    """Return the fields of a spec as text, except ``HIDDEN_KEYS``."""
    return format_value({k: v for k, v in spec.items() if k not in HIDDEN_KEYS})


class LoggedStore(FakeStore):
    """Logs the calls of one client to the store."""

    def __init__(self, table: ObjectTable, name: str, log: SessionLog) -> None:
        super().__init__(table)
        self.name, self.log = name, log

    async def get(self, kind: str, name: str) -> StoredObject | None:
        self._log_request(f"GET {kind}/{name}")
        found = await super().get(kind, name)
        self._log_response(format_object(found))
        return found

    async def list(
        self, kind: str, *, stale: bool = False, timeout_s: float | None = None
    ) -> Listing:
        self._log_request(f"{'STALE ' if stale else ''}LIST {kind}")
        listing = await super().list(kind, stale=stale)
        items = "; ".join(format_object(item) for item in listing.items)
        self._log_response(f"{kind} r{listing.revision}: {items}")
        return listing

    async def put(
        self, kind: str, name: str, spec: object, revision: int | None
    ) -> StoredObject:
        self._log_request(f"PUT {kind}/{name} if r{revision} {format_spec(spec)}")
        try:
            stored = await super().put(kind, name, spec, revision)
        except Conflict:
            self._log_response("409 conflict")
            raise
        self._log_response(f"200 r{stored.revision}")
        return stored

    async def delete(self, kind: str, name: str, revision: int | None) -> None:
        self._log_request(f"DELETE {kind}/{name} if r{revision}")
        await super().delete(kind, name, revision)
        self._log_response("200")

    async def wait_changes(self, kind: str, revision: int, wait_s: float) -> Changes:
        self._log_request(f"WATCH {kind} from r{revision}")
        found = await super().wait_changes(kind, revision, wait_s)
        events = "; ".join(format_object(change.object) for change in found.changes)
        self._log_response(f"{kind} r{found.revision}: {events}")
        return found

    def _log_request(self, text: str) -> None:
        self.log.add_message(self.name, PLATFORM, text)

    def _log_response(self, text: str) -> None:
        self.log.add_message(PLATFORM, self.name, text)


@asynccontextmanager
async def run_logged_daemons(log: SessionLog) -> AsyncIterator[Fleet]:
    """Run three daemons in two failure domains; start the log after 20 s of warm-up."""

    def on_frame(source: str, target: str, frame: Frame) -> None:
        if not isinstance(frame, Compare | Compared | Body | End):
            log.add_message(source, target, format_frame(frame))

    async with run_fleet() as fleet:
        fleet.make_store = lambda table, name: LoggedStore(table, name, log)
        fleet.on_frame = on_frame
        fleet.table.put("documents", "test", make_spec(1, 6), None)
        for name, service in (("a0", "orders"), ("a1", "orders"), ("b0", "drawings")):
            fleet.start(name, "n1" if name[0] == "a" else "s1", service)
        await anyio.sleep(20)
        log.start()
        yield fleet


def make_spec(version: int, slots: int) -> dict[str, Any]:
    """Return a stored document in which the service orders has these slots."""
    text = make_text(orders=slots, drawings=4)
    return {"version": version, "text": text, "digest": "-", "token": "-"}


async def document_change(log: SessionLog) -> None:
    """A document is applied; watchers learn of it and pass it on to the others."""
    async with run_logged_daemons(log) as fleet:
        operator = LoggedStore(fleet.table, "operator", log)
        text = make_spec(2, 9)["text"]
        async with anyio.create_task_group() as tg:
            tg.start_soon(apply_revision, operator, "test", text, 1)
            for name, daemon in fleet.daemons.items():
                tg.start_soon(log_version_in_effect, log, name, daemon.directory, 2)


async def log_version_in_effect(
    log: SessionLog, name: str, directory: Any, version: int
) -> None:
    """Log when a version is in effect at a daemon, with a resolution of 1 ms."""
    with anyio.move_on_after(10):
        while directory.document_version < version:
            await anyio.sleep(0.001)
    version = directory.document_version
    orders = directory.service("orders")
    slots = "" if orders is None else f", orders has {orders.slots} slots"
    log.add_note(f"{name}: document version {version} in force{slots}")


async def start_without_store(log: SessionLog) -> None:
    """A daemon that starts while the store is unavailable gets all data from a peer."""
    async with run_logged_daemons(log) as fleet:
        log.add_note("fault: the store is unavailable and a0 is killed")
        fleet.set_store_down(True)
        fleet.stop("a0")
        await anyio.sleep(1)
        log.add_note("a0 starts again")
        fleet.start("a0").platform.down = True
        await fleet.wait_until(lambda: fleet.versions() == {1}, 10)
        for name in sorted(fleet.daemons):
            await fleet.wait_until(lambda n=name: fleet.known(n) == {"a0", "a1"}, 10)  # type: ignore[misc]
            known = sorted(fleet.known(name))
            log.add_note(f"{name} knows the endpoints {format_value(known)} of orders")
        log.add_note("the store is available again")
        fleet.set_store_down(False)
        await anyio.sleep(3)


SESSIONS = {
    "09_document_change": document_change,
    "10_start_without_store": start_without_store,
}

"""In-memory object store with fault injection, for tests on a mock clock."""

import anyio

from berylmast_dev.objects import ObjectJson, ObjectTable

from ..objects import (
    Changes,
    Conflict,
    Listing,
    ObjectChange,
    PlatformUnavailable,
    RevisionExpired,
    StoredObject,
)
from ..store_client import WATCH_TIMEOUT_MARGIN_S

OUTAGE_S = 1.5
"""Time after which a call during an outage fails."""


class FakeStore:
    """Client of a table shared with other daemons' clients, with faults of its own.

    ``stale_listings`` holds what stale reads return, by kind.
    """

    def __init__(self, table: ObjectTable) -> None:
        self.calls = 0
        self.table = table
        self.down = False
        self.connection_refused = False
        self.put_responses_to_lose = 0
        self.delay_s = 0.005
        self.call_log: list[tuple[str, str]] = []
        self.stale_listings: dict[str, Listing] = {}
        self._silent_watches = 0
        self._open_watches = 0

    def silence_open_watches(self) -> None:
        """Leave the watches that are open now without a response."""
        self._silent_watches = self._open_watches

    async def get(self, kind: str, name: str) -> StoredObject | None:
        await self._call("get", kind)
        entry = self.table.get(kind, name)
        return None if entry is None else make_stored_object(entry)

    async def list(
        self, kind: str, *, stale: bool = False, timeout_s: float | None = None
    ) -> Listing:
        try:
            with anyio.fail_after(timeout_s):
                await self._call("stale list" if stale else "list", kind)
        except TimeoutError as exc:
            raise PlatformUnavailable("no response") from exc
        if stale and kind in self.stale_listings:
            return self.stale_listings[kind]
        items = tuple(
            make_stored_object(item) for item in self.table.list_objects(kind)
        )
        return Listing(self.table.revision, items, self.table.era)

    async def put(
        self, kind: str, name: str, spec: object, revision: int | None
    ) -> StoredObject:
        await self._call("put", kind)
        stored = self.table.put(kind, name, spec, revision)
        if self.put_responses_to_lose > 0:
            self.put_responses_to_lose -= 1
            raise PlatformUnavailable("injected fault: response lost")
        if stored is None:
            raise Conflict(f"{kind}/{name}")
        return make_stored_object(stored)

    async def delete(self, kind: str, name: str, revision: int | None) -> None:
        await self._call("delete", kind)
        if self.table.delete(kind, name, revision) == 409:
            raise Conflict(f"{kind}/{name}")

    async def wait_changes(self, kind: str, revision: int, wait_s: float) -> Changes:
        started_s = anyio.current_time()
        await self._call("watch", kind)
        self._open_watches += 1
        number = self._open_watches
        changes = await self._wait_changes(kind, revision, wait_s)
        if number <= self._silent_watches:
            await anyio.sleep_until(started_s + wait_s + WATCH_TIMEOUT_MARGIN_S)
            raise PlatformUnavailable("injected fault: no response to a watch")
        return changes

    async def _wait_changes(self, kind: str, revision: int, wait_s: float) -> Changes:
        with anyio.move_on_after(wait_s):
            while True:
                if self.down:
                    raise PlatformUnavailable("injected fault: store down")
                if not self.table.has_history_since(revision):
                    raise RevisionExpired(kind)
                changes = self.table.get_changes_since(kind, revision)
                if changes:
                    return Changes(
                        self.table.revision,
                        tuple(
                            ObjectChange(make_stored_object(c.object), c.deleted)
                            for c in changes
                        ),
                        self.table.era,
                    )
                await self.table.wait_for_change()
        return Changes(self.table.revision, (), self.table.era)

    async def _call(self, verb: str, kind: str) -> None:
        self.calls += 1
        self.call_log.append((verb, kind))
        await anyio.sleep(self.delay_s)
        if self.connection_refused:
            raise PlatformUnavailable("refused", sent=False)
        if self.down:
            await anyio.sleep(OUTAGE_S)
            raise PlatformUnavailable("injected fault: no response")


def make_stored_object(entry: ObjectJson) -> StoredObject:
    """Convert a table entry to the client's type."""
    metadata = entry["metadata"]
    return StoredObject(
        metadata["name"], metadata["revision"], entry["spec"], metadata["deleting"]
    )

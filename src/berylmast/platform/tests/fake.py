"""An object API in memory, with faults, for tests on the paused clock."""

from collections.abc import AsyncIterator
from typing import Any

import anyio

from berylmast_dev.objects import ObjectTable

from ..objects import (
    Conflict,
    EventType,
    Listing,
    PlatformObject,
    PlatformUnavailable,
    VersionTooOld,
    WatchEvent,
)

BOOKMARK_S = 1.0


class FakePlatform:
    """Shares one table with the fakes of other daemons, but has faults of its own."""

    def __init__(self, table: ObjectTable) -> None:
        self.calls = 0
        self.table = table
        self.down = False
        self.refused = False
        self.lose_puts = 0
        self.silent = False
        self.delay_s = 0.005
        self.log: list[tuple[str, str]] = []

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        await self._call("get", kind)
        found = self.table.get(kind, name)
        return None if found is None else PlatformObject.model_validate(found)

    async def list(self, kind: str, name: str | None = None) -> Listing:
        await self._call("list", kind)
        items = self.table.select(kind, name)
        return Listing(
            self.table.version, tuple(PlatformObject.model_validate(i) for i in items)
        )

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], version: int | None
    ) -> PlatformObject:
        await self._call("put", kind)
        stored = self.table.put(kind, name, spec, version)
        if self.lose_puts > 0:
            self.lose_puts -= 1
            raise PlatformUnavailable("the answer was lost")
        if stored is None:
            raise Conflict(f"{kind}/{name}")
        return PlatformObject.model_validate(stored)

    async def delete(self, kind: str, name: str, version: int | None) -> None:
        await self._call("delete", kind)
        if self.table.delete(kind, name, version) == 409:
            raise Conflict(f"{kind}/{name}")

    async def watch(
        self, kind: str, version: int, name: str | None = None
    ) -> AsyncIterator[WatchEvent]:
        await self._call("watch", kind)
        while True:
            if self.down:
                raise PlatformUnavailable("down")
            if self.silent:
                await anyio.sleep_forever()
            if not self.table.is_kept(version):
                raise VersionTooOld(kind)
            events = self.table.changes(kind, version, name)
            version = self.table.version
            for event in events:
                found = PlatformObject.model_validate(event["object"])
                yield WatchEvent(
                    type=event["type"],
                    version=found.metadata.resource_version,
                    object=found,
                )
            yield WatchEvent(type=EventType.BOOKMARK, version=version)
            with anyio.move_on_after(BOOKMARK_S):
                await self.table.wait_change()

    async def _call(self, verb: str, kind: str) -> None:
        self.calls += 1
        self.log.append((verb, kind))
        await anyio.sleep(self.delay_s)
        if self.refused:
            raise PlatformUnavailable("refused", sent=False)
        if self.down:
            await anyio.sleep(2.0)
            raise PlatformUnavailable("no answer")

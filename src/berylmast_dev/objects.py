"""Versioned objects with a bounded history of changes, as the object API has them."""

from typing import Any

import anyio

HISTORY_LIMIT = 10_000


class ObjectTable:
    """Objects by kind and name; every change raises one version of the whole store."""

    def __init__(self) -> None:
        self.version = 0
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._oldest = 0
        self._changed = anyio.Event()

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return one object, None if there is none."""
        return self._objects.get((kind, name))

    def select(self, kind: str, name: str | None = None) -> list[dict[str, Any]]:
        """Return the objects of a kind, or the one of that name."""
        return [
            found
            for (found_kind, found_name), found in self._objects.items()
            if found_kind == kind and name in (None, found_name)
        ]

    def put(
        self, kind: str, name: str, spec: dict[str, Any], version: int | None
    ) -> dict[str, Any] | None:
        """Store an object; return None if another version than expected is stored."""
        old = self._objects.get((kind, name))
        if not _matches(old, version):
            return None
        self.version += 1
        new = {
            "kind": kind,
            "metadata": {"name": name, "resourceVersion": self.version},
            "spec": spec,
        }
        self._objects[(kind, name)] = new
        self._record("ADDED" if old is None else "MODIFIED", new)
        return new

    def delete(self, kind: str, name: str, version: int | None) -> int:
        """Delete an object and return the status: 200, 404 or 409."""
        old = self._objects.get((kind, name))
        if old is None:
            return 404
        if not _matches(old, version):
            return 409
        self.version += 1
        del self._objects[(kind, name)]
        last = {**old, "metadata": {"name": name, "resourceVersion": self.version}}
        self._record("DELETED", last)
        return 200

    def compact(self) -> None:
        """Forget the history: watches from older versions are refused with 410."""
        self._history.clear()
        self._oldest = self.version

    def is_kept(self, version: int) -> bool:
        """Tell whether all changes after a version are known."""
        return version >= self._oldest

    def changes(
        self, kind: str, version: int, name: str | None = None
    ) -> list[dict[str, Any]]:
        """Return the events of a kind after a version, in order."""
        return [
            {"type": type_, "object": found}
            for at, type_, found in self._history
            if at > version
            and found["kind"] == kind
            and name in (None, found["metadata"]["name"])
        ]

    async def wait_change(self) -> None:
        """Wait for the next change of any object."""
        await self._changed.wait()

    def _record(self, type_: str, found: dict[str, Any]) -> None:
        self._history.append((self.version, type_, found))
        if len(self._history) > HISTORY_LIMIT:
            self._oldest = self._history.pop(0)[0]
        self._changed.set()
        self._changed = anyio.Event()


def _matches(stored: dict[str, Any] | None, version: int | None) -> bool:
    found = 0 if stored is None else stored["metadata"]["resourceVersion"]
    return version is None or version == found

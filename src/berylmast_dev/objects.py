"""Objects with revisions and a bounded history, as the platform's store has them."""

from dataclasses import dataclass
from typing import Any

import anyio

HISTORY_LIMIT = 10_000

Stored = dict[str, Any]
"""One object as JSON: ``metadata``, ``spec`` and ``status``."""


@dataclass(frozen=True, slots=True)
class Change:
    """One event of the history."""

    revision: int
    kind: str
    deleted: bool
    object: Stored


class ObjectTable:
    """Objects by kind and name; every change raises the revision of the whole store."""

    def __init__(self) -> None:
        self.revision = 1
        self._objects: dict[tuple[str, str], Stored] = {}
        self._history: list[Change] = []
        self._oldest = 1
        self._changed = anyio.Event()

    def get(self, kind: str, name: str) -> Stored | None:
        """Return one object, None if there is none."""
        return self._objects.get((kind, name))

    def select(self, kind: str) -> list[Stored]:
        """Return the objects of a kind, by name."""
        found = [o for (k, _), o in self._objects.items() if k == kind]
        return sorted(found, key=lambda o: str(o["metadata"]["name"]))

    def put(
        self, kind: str, name: str, spec: object, revision: int | None
    ) -> Stored | None:
        """Store an object; None if another revision than expected is stored.

        0 expects that there is none. A write that changes nothing raises no revision.
        """
        old = self._objects.get((kind, name))
        if not _matches(old, revision):
            return None
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = self.revision if old is None else old["metadata"]["created"]
        metadata: dict[str, Any] = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        new = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[(kind, name)] = new
        self._record(Change(self.revision, kind, False, new))
        return new

    def delete(self, kind: str, name: str, revision: int | None) -> int:
        """Delete an object and return the status: 200, 404 or 409."""
        old = self._objects.get((kind, name))
        if old is None:
            return 404
        if not _matches(old, revision):
            return 409
        self.revision += 1
        del self._objects[(kind, name)]
        metadata = {**old["metadata"], "revision": self.revision, "deleting": True}
        last = {**old, "metadata": metadata}
        self._record(Change(self.revision, kind, True, last))
        return 200

    def compact(self) -> None:
        """Forget the history: watches from older revisions are refused with 410."""
        self._history.clear()
        self._oldest = self.revision

    def is_kept(self, revision: int) -> bool:
        """Tell whether all changes after a revision are known."""
        return revision >= self._oldest

    def changes(self, kind: str, revision: int) -> list[Change]:
        """Return the changes of a kind after a revision, in order."""
        return [c for c in self._history if c.revision > revision and c.kind == kind]

    async def wait_change(self) -> None:
        """Wait for the next change of any object."""
        await self._changed.wait()

    def _record(self, change: Change) -> None:
        self._history.append(change)
        if len(self._history) > HISTORY_LIMIT:
            self._oldest = self._history.pop(0).revision
        self._changed.set()
        self._changed = anyio.Event()


def _matches(stored: Stored | None, revision: int | None) -> bool:
    found = 0 if stored is None else stored["metadata"]["revision"]
    return revision is None or revision == found

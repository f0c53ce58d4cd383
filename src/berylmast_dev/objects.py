"""In-memory objects with revisions and a bounded change history.

Follows the semantics of the platform's object store.
"""

from dataclasses import dataclass
from typing import Any

import anyio

MAX_HISTORY_CHANGES = 10_000

ObjectJson = dict[str, Any]
"""One object as JSON: ``metadata``, ``spec`` and ``status``."""


@dataclass(frozen=True, slots=True)
class Change:
    """One change of an object, as watches report it."""

    revision: int
    kind: str
    deleted: bool
    object: ObjectJson


@dataclass(frozen=True, slots=True)
class TableCopy:
    """The objects of a table at one revision."""

    revision: int
    objects: dict[tuple[str, str], ObjectJson]


class ObjectTable:
    """Objects by kind and name; each change increments the revision of the store.

    ``era`` rises each time the table is replaced by a copy.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self._objects: dict[tuple[str, str], ObjectJson] = {}
        self._history: list[Change] = []
        self._history_start = 1
        self._changed = anyio.Event()

    def get(self, kind: str, name: str) -> ObjectJson | None:
        """Return an object, or None if it does not exist."""
        return self._objects.get((kind, name))

    def list_objects(self, kind: str) -> list[ObjectJson]:
        """Return the objects of a kind, sorted by name."""
        found = [o for (k, _), o in self._objects.items() if k == kind]
        return sorted(found, key=lambda o: str(o["metadata"]["name"]))

    def put(
        self, kind: str, name: str, spec: object, revision: int | None
    ) -> ObjectJson | None:
        """Store an object if ``revision`` matches the stored one; None on a conflict.

        Revision 0 means that the object must not exist; None writes unconditionally. A
        write with an unchanged spec does not increment the revision.
        """
        old = self._objects.get((kind, name))
        if not _matches_revision(old, revision):
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
        """Delete an object and return the HTTP status: 200, 404 or 409."""
        old = self._objects.get((kind, name))
        if old is None:
            return 404
        if not _matches_revision(old, revision):
            return 409
        self.revision += 1
        del self._objects[(kind, name)]
        metadata = {**old["metadata"], "revision": self.revision, "deleting": True}
        last = {**old, "metadata": metadata}
        self._record(Change(self.revision, kind, True, last))
        return 200

    def copy(self) -> TableCopy:
        """Return a copy to go back to."""
        return TableCopy(self.revision, dict(self._objects))

    def restore(self, copy: TableCopy) -> None:
        """Go back to a copy; what was written since is lost.

        Revisions since the copy are assigned again.
        """
        self.era += 1
        self.revision = copy.revision
        self._objects = dict(copy.objects)
        self._history = [c for c in self._history if c.revision <= copy.revision]
        self._history_start = min(self._history_start, copy.revision)
        self._changed.set()
        self._changed = anyio.Event()

    def compact(self) -> None:
        """Discard the history: watches from older revisions get status 410."""
        self._history.clear()
        self._history_start = self.revision

    def has_history_since(self, revision: int) -> bool:
        """Return whether the history holds all changes after a revision."""
        return self._history_start <= revision <= self.revision

    def get_changes_since(self, kind: str, revision: int) -> list[Change]:
        """Return the changes of a kind after a revision, oldest first."""
        return [c for c in self._history if c.revision > revision and c.kind == kind]

    async def wait_for_change(self) -> None:
        """Wait for the next change of any object."""
        await self._changed.wait()

    def _record(self, change: Change) -> None:
        self._history.append(change)
        if len(self._history) > MAX_HISTORY_CHANGES:
            self._history_start = self._history.pop(0).revision
        self._changed.set()
        self._changed = anyio.Event()


def _matches_revision(stored: ObjectJson | None, revision: int | None) -> bool:
    found = 0 if stored is None else stored["metadata"]["revision"]
    return revision is None or revision == found

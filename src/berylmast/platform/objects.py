"""Interface of the platform's object store: its data classes, errors and calls."""

from dataclasses import dataclass
from typing import Any, Protocol


class PlatformUnavailable(Exception):
    """The platform did not respond, or not with a valid response.

    The outcome of the call is unknown. ``sent`` is False if the call is known not to
    have reached the platform.
    """

    def __init__(self, detail: str, *, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class Conflict(Exception):
    """The stored revision of the object differs from the expected one."""


class RevisionExpired(Exception):
    """The store no longer keeps the changes since this revision; list again."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store at the revision of its last change.

    ``deleting`` is set while its deletion waits for other programs.
    """

    name: str
    revision: int
    spec: Any
    deleting: bool = False


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """An object after a change, or its last content if it was deleted."""

    object: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one store revision, from which a watch can start.

    Revisions are comparable only within one ``era`` of the store, which rises whenever
    the store comes back from a copy of its data.
    """

    revision: int
    items: tuple[StoredObject, ...]
    era: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes to objects of a kind; the next watch continues from ``revision``.

    ``era`` as in ``Listing``.
    """

    revision: int
    changes: tuple[ObjectChange, ...]
    era: int = 0


class ObjectStore(Protocol):
    """Client interface of the object store.

    All calls but ``wait_changes`` return within seconds. Every call raises
    PlatformUnavailable if its outcome is unknown.
    """

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object; None if it does not exist."""

    async def list(
        self, kind: str, *, stale: bool = False, timeout_s: float | None = None
    ) -> Listing:
        """Read all objects of a kind.

        A ``stale`` read costs a tenth and may return data that is seconds old.
        ``timeout_s`` replaces the time within which each page must arrive.
        """

    async def put(
        self, kind: str, name: str, spec: object, revision: int | None
    ) -> StoredObject:
        """Write one object if its stored revision is ``revision``.

        0 requires that the object does not exist, None writes unconditionally. Raises
        Conflict if the stored revision differs.
        """

    async def delete(self, kind: str, name: str, revision: int | None) -> None:
        """Delete one object if its stored revision is ``revision``.

        None deletes unconditionally. Raises Conflict if the stored revision differs.
        """

    async def wait_changes(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait up to ``wait_s`` seconds for changes after a revision.

        Raises RevisionExpired if the store no longer keeps that part of its history.
        """

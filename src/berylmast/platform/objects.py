"""Objects of the platform's store, its errors, and the interface of a client."""

from dataclasses import dataclass
from typing import Any, Protocol


class PlatformUnavailable(Exception):
    """The platform did not answer, or not as published: the outcome is unknown.

    ``sent`` is False if the call provably never reached the platform.
    """

    def __init__(self, detail: str, *, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class Conflict(Exception):
    """The object has another revision than the one that the update was based on."""


class VersionTooOld(Exception):
    """The store no longer keeps the changes since a revision: list again."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store at the revision of its last change."""

    name: str
    revision: int
    spec: Any


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """An object after a change, or as it was before it was deleted."""

    object: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one revision of the store, where a watch may start."""

    revision: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a kind; a watch may go on from ``revision``."""

    revision: int
    changes: tuple[ObjectChange, ...]


class ObjectStore(Protocol):
    """The calls of the object store; all but ``wait_changes`` return within seconds.

    Every call raises PlatformUnavailable if the outcome is unknown.
    """

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object, None if it does not exist."""

    async def list(self, kind: str) -> Listing:
        """Read all objects of a kind."""

    async def put(
        self, kind: str, name: str, spec: object, revision: int | None
    ) -> StoredObject:
        """Write one object; ``revision`` is the one it must have now, 0 for none.

        None writes whatever the revision is. Raises Conflict if another is stored.
        """

    async def delete(self, kind: str, name: str, revision: int | None) -> None:
        """Delete one object; raises Conflict if another revision is stored."""

    async def wait_changes(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision; raises VersionTooOld if it is gone."""

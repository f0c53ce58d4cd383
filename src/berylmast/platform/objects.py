"""Objects of the platform's store, its errors, and the interface of a client."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from pydantic import BaseModel, ConfigDict, Field


class PlatformUnavailable(Exception):
    """The platform did not answer, or not as published: the outcome is unknown.

    ``sent`` is False if the call provably never reached the platform.
    """

    def __init__(self, detail: str, *, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class Conflict(Exception):
    """The object has another version than the one that the update was based on."""


class VersionTooOld(Exception):
    """The platform no longer keeps the changes since a version: list again."""


class Metadata(BaseModel):
    """Name and version of an object; the version is opaque but for equality."""

    model_config = ConfigDict(extra="ignore", populate_by_name=True)
    name: str
    resource_version: int = Field(0, alias="resourceVersion")


class PlatformObject(BaseModel):
    """One object of the platform's store."""

    model_config = ConfigDict(extra="ignore")
    kind: str
    metadata: Metadata
    spec: dict[str, Any]


class EventType(StrEnum):
    """What a watch reports; BOOKMARK carries a version and no change."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


class WatchEvent(BaseModel):
    """One event of a watch; ``object`` is None for a bookmark."""

    model_config = ConfigDict(extra="ignore")
    type: EventType
    version: int
    object: PlatformObject | None = None


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind at one version of the store, where a watch may start."""

    version: int
    items: tuple[PlatformObject, ...]


class Platform(Protocol):
    """The calls of the object API; all but ``watch`` return within seconds.

    Every call raises PlatformUnavailable if the outcome is unknown.
    """

    calls: int

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        """Read one object, None if it does not exist."""

    async def list(self, kind: str, name: str | None = None) -> Listing:
        """Read all objects of a kind, or the one of that name."""

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], version: int | None
    ) -> PlatformObject:
        """Write one object; ``version`` is the one it must have now, 0 for none.

        None writes whatever the version is. Raises Conflict if another is stored.
        """

    async def delete(self, kind: str, name: str, version: int | None) -> None:
        """Delete one object; raises Conflict if another version is stored."""

    def watch(
        self, kind: str, version: int, name: str | None = None
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes after a version; raises VersionTooOld if it is gone."""


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
class StoredListing:
    """All objects of a kind at one revision of the store, where a watch may start."""

    version: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a kind; a watch may go on from ``revision``."""

    revision: int
    changes: tuple[ObjectChange, ...]

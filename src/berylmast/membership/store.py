"""The port to the store, which anchors what must outlive the daemons."""

from dataclasses import dataclass
from typing import Protocol

from ..model import Endpoint


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """The configuration as decoded JSON, None where there is none or none newer.

    A wait for the next one goes on from ``revision``.
    """

    revision: int
    spec: object | None


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """An endpoint record at the revision of its last change."""

    endpoint: Endpoint
    revision: int


class Store(Protocol):
    """The calls that a daemon makes; each counts against the fleet's rates.

    All raise PlatformUnavailable if the outcome is unknown or nothing was done.
    """

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""

    async def read_document(self) -> StoredDocument:
        """Read the configuration."""

    async def wait_document(self, revision: int, wait_s: float) -> StoredDocument:
        """Wait at most ``wait_s`` seconds for a change of the configuration.

        Raises VersionTooOld if the store no longer knows the revision.
        """

    async def list_records(self) -> list[StoredRecord]:
        """Read all endpoint records that can be read."""

    async def read_record(self, backend: str) -> StoredRecord | None:
        """Read one endpoint record."""

    async def put_record(self, endpoint: Endpoint, revision: int) -> int:
        """Write a record that must be at a revision, 0 for none; return the new one.

        Raises Conflict if another revision is stored.
        """

    async def delete_record(self, backend: str, revision: int) -> None:
        """Delete a record that must be at a revision; raises Conflict."""

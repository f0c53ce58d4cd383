"""Interface to the store, which persists what must outlive the daemons."""

from dataclasses import dataclass
from typing import Protocol

from ..model import Endpoint, Evacuations
from ..platform.store_era import StoreEra


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """The configuration in the store.

    ``spec`` is the decoded JSON, None if there is no configuration or no newer one.
    ``revision`` is the one from which to wait for the next change, None if a stale read
    found no configuration. ``era`` is the era of the store that the revision belongs to
    (see ``platform.objects.Listing``). ``expired`` is set if a watch ended without any
    change.
    """

    revision: int | None
    spec: object | None
    era: int = 0
    expired: bool = False


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """An endpoint record in the store, with the revision of its last change."""

    endpoint: Endpoint
    revision: int


@dataclass(frozen=True, slots=True)
class UndecodedRecord:
    """A record in the store that cannot be decoded."""

    revision: int
    endpoint: None = None


class Store(Protocol):
    """The calls of a daemon to the store; each counts against the fleet's rate limits.

    All raise PlatformUnavailable if the call was not carried out or its outcome is
    unknown.
    """

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""

    @property
    def era(self) -> StoreEra:
        """Return the era that the responses have named."""

    async def read_document(
        self, *, stale: bool = False, timeout_s: float | None = None
    ) -> StoredDocument:
        """Read the configuration.

        With ``stale``, what is read may be seconds old, which is cheaper. ``timeout_s``
        replaces the time within which the store must answer.
        """

    async def wait_document(self, revision: int, wait_s: float) -> StoredDocument:
        """Wait at most ``wait_s`` seconds for a change of the configuration.

        Raises RevisionExpired if the store no longer knows the revision, or if its era
        rises meanwhile.
        """

    async def read_evacuations(self, *, stale: bool = False) -> Evacuations:
        """Read which failure domains are evacuated.

        What is read with ``stale`` may be seconds old, which is cheaper; its revision
        is 0, because its age is unknown.
        """

    async def wait_evacuations(self, known: Evacuations, wait_s: float) -> Evacuations:
        """Wait at most ``wait_s`` seconds for a change; return what then holds.

        Raises RevisionExpired if the store no longer knows the revision of ``known``,
        or answers from another era.
        """

    async def list_records(self, *, stale: bool = False) -> list[StoredRecord]:
        """Read all endpoint records; those that cannot be decoded are left out.

        With ``stale``, what is read may be seconds old, which is cheaper.
        """

    async def read_record(self, backend: str) -> StoredRecord | UndecodedRecord | None:
        """Read one endpoint record; None if there is none."""

    async def put_record(self, endpoint: Endpoint, revision: int) -> int:
        """Write a record if the stored one has the given revision; return the new one.

        Revision 0 stands for no stored record. Raises Conflict if the stored record has
        another revision.
        """

    async def delete_record(self, backend: str, revision: int) -> None:
        """Delete a record if the stored one has the given revision.

        Raises Conflict if it has another one.
        """

"""Implements the daemon's ``Store`` interface with the platform's object store."""

import anyio

from ..identifiers import MAX_ID_LENGTH
from ..membership.store import StoredDocument, StoredRecord, UndecodedRecord
from ..model import Endpoint, Evacuations
from ..telemetry import escape_text, log_event
from . import records
from .evacuations import make_evacuations
from .objects import ObjectStore, RevisionExpired, StoredObject


class PlatformStore:
    """Reads and writes endpoint records and reads one configuration object.

    Without ``evacuation_kind``, no failure domain is ever evacuated.
    """

    def __init__(
        self,
        client: ObjectStore,
        kind: str,
        name: str,
        evacuation_kind: str | None = None,
    ) -> None:
        self._client = client
        self._kind = kind
        self._name = name
        self._evacuation_kind = evacuation_kind

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""
        return self._client.calls

    async def read_document(
        self, *, stale: bool = False, timeout_s: float | None = None
    ) -> StoredDocument:
        """Read the configuration object."""
        listing = await self._client.list(self._kind, stale=stale, timeout_s=timeout_s)
        found = [item for item in listing.items if item.name == self._name]
        if not found:
            revision = None if stale else listing.revision
            return StoredDocument(revision, None, listing.era)
        # The store may name its present revision beside stale items. A watch from there
        # would miss the changes between.
        revision = found[0].revision if stale else listing.revision
        return StoredDocument(revision, found[0].spec, listing.era)

    async def wait_document(self, revision: int, wait_s: float) -> StoredDocument:
        """Wait for a change of the configuration object."""
        changes = await self._client.wait_changes(self._kind, revision, wait_s)
        specs = [
            change.object.spec
            for change in changes.changes
            if change.object.name == self._name and not change.deleted
        ]
        return StoredDocument(
            changes.revision,
            specs[-1] if specs else None,
            changes.era,
            expired=not changes.changes,
        )

    async def read_evacuations(self, *, stale: bool = False) -> Evacuations:
        """Read the objects of evacuated failure domains."""
        if self._evacuation_kind is None:
            return Evacuations(0, 0)
        listing = await self._client.list(self._evacuation_kind, stale=stale)
        names = [item.name for item in listing.items if not item.deleting]
        revision = 0 if stale else listing.revision
        return make_evacuations(listing.era, revision, names)

    async def wait_evacuations(self, known: Evacuations, wait_s: float) -> Evacuations:
        """Wait for a change of the objects of evacuated failure domains."""
        if self._evacuation_kind is None:
            await anyio.sleep(wait_s)
            return known
        changes = await self._client.wait_changes(
            self._evacuation_kind, known.revision, wait_s
        )
        if changes.era != known.era:
            raise RevisionExpired(f"revision {known.revision} is of another era")
        names = set(known.failure_domains)
        for change in changes.changes:
            if change.deleted or change.object.deleting:
                names.discard(change.object.name)
            else:
                names.add(change.object.name)
        revision = max(changes.revision, known.revision)
        return make_evacuations(known.era, revision, names)

    async def list_records(self, *, stale: bool = False) -> list[StoredRecord]:
        """Read all valid endpoint records; log and skip the others."""
        listing = await self._client.list(records.ENDPOINT_KIND, stale=stale)
        found = [_parse_stored_record(item) for item in listing.items]
        return [record for record in found if record is not None]

    async def read_record(self, backend: str) -> StoredRecord | UndecodedRecord | None:
        """Read one endpoint record; None if absent."""
        item = await self._client.get(records.ENDPOINT_KIND, backend)
        if item is None:
            return None
        return _parse_stored_record(item) or UndecodedRecord(item.revision)

    async def put_record(self, endpoint: Endpoint, revision: int) -> int:
        """Write a record if its stored revision matches; return the new revision.

        Revision 0 requires that the record does not exist.
        """
        spec = records.format_record(endpoint)
        stored = await self._client.put(
            records.ENDPOINT_KIND, endpoint.backend, spec, revision
        )
        return stored.revision

    async def delete_record(self, backend: str, revision: int) -> None:
        """Delete a record if its stored revision matches."""
        await self._client.delete(records.ENDPOINT_KIND, backend, revision)


def _parse_stored_record(item: StoredObject) -> StoredRecord | None:
    parsed = records.parse_object(item)
    if parsed.is_err():
        name = escape_text(item.name, MAX_ID_LENGTH)
        log_event("record_unreadable", backend=name, reason=parsed.unwrap_err())
        return None
    return StoredRecord(parsed.unwrap(), item.revision)

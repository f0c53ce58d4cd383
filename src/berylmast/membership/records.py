"""Endpoint records: their order, their wire form, and their table."""

from collections.abc import Iterable
from dataclasses import astuple

from ..daemons.frames import EndpointRecord
from ..model import Endpoint, EndpointState

MAX_GONE = 20_000
"""Records kept of backend servers that are gone, about five days of replacements.

They keep a stale copy elsewhere from bringing a dead backend server back.
"""

RECORDS_PER_FRAME = 500
"""Bounds an ``Endpoints`` frame to about 75 KB; a frame may have 256 KiB."""


def supersedes(new: Endpoint, old: Endpoint | None) -> bool:
    """Tell whether a record replaces another one of the same backend server.

    A daemon that misses another one sets its record to GONE without raising ``seq``:
    this replaces the same record, and the other's next announcement replaces it.
    """
    if old is None or new.order > old.order:
        return True
    gone = EndpointState.GONE
    return new.order == old.order and new.state is gone and old.state is not gone


def pack_record(endpoint: Endpoint) -> EndpointRecord:
    """Return the wire form of a record."""
    fields: EndpointRecord = astuple(endpoint)
    return (*fields[:8], str(fields[8]))


def unpack_record(record: EndpointRecord) -> Endpoint:
    """Return the record of a wire form; raises ValueError for an unknown state."""
    return Endpoint(*record[:8], EndpointState(record[8]))


def unpack_records(records: Iterable[EndpointRecord]) -> list[Endpoint]:
    """Return the records that this version understands."""
    states = set(EndpointState)
    return [unpack_record(record) for record in records if record[8] in states]


def cut_records(records: Iterable[Endpoint]) -> list[tuple[EndpointRecord, ...]]:
    """Return wire forms in parts that fit into a frame."""
    packed = [pack_record(record) for record in records]
    step = RECORDS_PER_FRAME
    return [tuple(packed[i : i + step]) for i in range(0, len(packed), step)]


class RecordTable:
    """The newest record of each backend server, by service."""

    def __init__(self) -> None:
        self._records: dict[str, Endpoint] = {}
        self._services: dict[str, dict[str, Endpoint]] = {}
        self._gone: dict[str, None] = {}

    def get(self, backend: str) -> Endpoint | None:
        """Return the newest record of a backend server."""
        return self._records.get(backend)

    def __len__(self) -> int:
        return len(self._records) - len(self._gone)

    def all(self) -> list[Endpoint]:
        """Return all records, those of gone backend servers too."""
        return list(self._records.values())

    def of_service(self, service: str) -> list[Endpoint]:
        """Return all records of a service, those of gone backend servers too."""
        return list(self._services.get(service, {}).values())

    def merge(self, records: Iterable[Endpoint]) -> list[Endpoint]:
        """Adopt the records that replace known ones, and return those."""
        changed = [record for record in records if self._adopt(record)]
        while len(self._gone) > MAX_GONE:
            self._forget(next(iter(self._gone)))
        return changed

    def _adopt(self, new: Endpoint) -> bool:
        old = self._records.get(new.backend)
        if not supersedes(new, old):
            return False
        if old is not None and old.service != new.service:
            del self._services[old.service][old.backend]
        self._records[new.backend] = new
        self._services.setdefault(new.service, {})[new.backend] = new
        self._gone.pop(new.backend, None)
        if new.state is EndpointState.GONE:
            self._gone[new.backend] = None
        return True

    def _forget(self, backend: str) -> None:
        del self._gone[backend]
        record = self._records.pop(backend)
        del self._services[record.service][backend]

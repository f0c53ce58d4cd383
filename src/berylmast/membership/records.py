"""Endpoint records: which one supersedes another, their wire format and a table."""

from collections.abc import Iterable
from dataclasses import astuple

from pydantic import TypeAdapter
from pydantic_core import ArgsKwargs

from ..daemons.frames import EndpointRecord
from ..identifiers import MAX_ID_LENGTH
from ..model import Endpoint, EndpointState
from ..telemetry import escape_text, log_event

_ENDPOINT_ADAPTER = TypeAdapter(Endpoint)

MAX_GONE_RECORDS = 20_000
"""Maximum number of records kept of backend servers that are gone.

Without its record, an older copy from another daemon would make such a backend server
available again. The number covers about five days of replaced backend servers.
"""

RECORDS_PER_FRAME = 500
"""Limits an ``Endpoints`` frame to about 75 KB; the maximum frame size is 256 KiB."""


def supersedes(new: Endpoint, old: Endpoint | None) -> bool:
    """Return whether a record replaces another one of the same backend server.

    A daemon that finds another daemon's backend server gone sets its record to GONE
    without raising ``seq``. GONE therefore replaces another state of the same order,
    and the next record that the other daemon announces replaces GONE.
    """
    if old is None or new.order > old.order:
        return True
    gone = EndpointState.GONE
    return new.order == old.order and new.state is gone and old.state is not gone


def pack_record(endpoint: Endpoint) -> EndpointRecord:
    """Convert a record to its wire format."""
    fields: EndpointRecord = astuple(endpoint)
    return (*fields[:8], str(fields[8]))


def unpack_record(record: EndpointRecord) -> Endpoint:
    """Convert a record from its wire format; raises ValueError for an invalid one."""
    return _ENDPOINT_ADAPTER.validate_python(ArgsKwargs(record))


def unpack_records(records: Iterable[EndpointRecord]) -> list[Endpoint]:
    """Convert records from the wire format, without invalid ones.

    A daemon of another version may send what this one can't use.
    """
    endpoints = []
    for record in records:
        try:
            endpoints.append(unpack_record(record))
        except ValueError as exc:
            name = escape_text(record[0], MAX_ID_LENGTH)
            reason = str(exc).splitlines()[0]
            log_event("record_unreadable", backend=name, reason=reason)
    return endpoints


def split_records(records: Iterable[Endpoint]) -> list[tuple[EndpointRecord, ...]]:
    """Convert records to the wire format, in parts that each fit into a frame."""
    packed = [pack_record(record) for record in records]
    size = RECORDS_PER_FRAME
    return [tuple(packed[i : i + size]) for i in range(0, len(packed), size)]


class RecordTable:
    """The newest record of each backend server, by service."""

    def __init__(self) -> None:
        self._records: dict[str, Endpoint] = {}
        self._services: dict[str, dict[str, Endpoint]] = {}
        self._gone: dict[str, None] = {}

    def get(self, backend: str) -> Endpoint | None:
        """Return the newest record of a backend server, None if there is none."""
        return self._records.get(backend)

    def __len__(self) -> int:
        return len(self._records) - len(self._gone)

    @property
    def total_count(self) -> int:
        """Return the number of records, including those that are gone."""
        return len(self._records)

    def all(self) -> list[Endpoint]:
        """Return all records, including those of backend servers that are gone."""
        return list(self._records.values())

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the records of a service, including those that are gone."""
        return list(self._services.get(service, {}).values())

    def merge(self, records: Iterable[Endpoint]) -> list[Endpoint]:
        """Store the records that are new or supersede known ones, and return them."""
        changed = [record for record in records if self._put(record)]
        while len(self._gone) > MAX_GONE_RECORDS:
            self._forget(next(iter(self._gone)))
        return changed

    def _put(self, new: Endpoint) -> bool:
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

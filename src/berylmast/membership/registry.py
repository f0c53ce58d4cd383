"""The endpoint records of the fleet that are known to this daemon."""

from collections.abc import Container, Iterable
from dataclasses import replace

from ..model import Endpoint, EndpointState
from .digest import Digest, DigestTable, get_bucket
from .directory import Directory
from .peers import PeerAddress, PeerIndex, index_peers
from .records import RecordTable

MAX_RECENT_RECORDS = 32
"""Changed records that are sent to a daemon that may not have heard of them."""


class EndpointRegistry:
    """Keeps the newest record of every backend server and updates the directory.

    A record that is not GONE sets the records of earlier backend servers at the same
    peer address to GONE, because an address belongs to one machine at a time.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._table = RecordTable()
        self._backends_by_address: dict[PeerAddress, set[str]] = {}
        self._digests = DigestTable()
        self._digest: Digest | None = None
        self._recent: dict[str, None] = {}
        self._peers: tuple[PeerAddress, PeerIndex] | None = None

    def get(self, backend: str) -> Endpoint | None:
        """Return the newest record of a backend server, None if there is none."""
        return self._table.get(backend)

    def records(self) -> list[Endpoint]:
        """Return all records, including those of backend servers that are gone."""
        return self._table.all()

    def merge(self, records: Iterable[Endpoint]) -> list[Endpoint]:
        """Store the records that are new or supersede known ones.

        Returns all changed records, including those that became GONE because their
        address is now used by another backend server.
        """
        changed = self._table.merge(records)
        for record in changed:
            address = (record.host, record.port)
            self._backends_by_address.setdefault(address, set()).add(record.backend)
        # A later one of the given records may have superseded an earlier one.
        newest = [r for r in changed if self._table.get(r.backend) is r]
        for record in newest:
            changed += self._table.merge(self._list_replaced_as_gone(record))
        if not changed:
            return []
        self._record_changes(changed)
        return changed

    def find_newer(
        self, given: Iterable[Endpoint], buckets: Container[int]
    ) -> list[Endpoint]:
        """Return the records that supersede given ones or are missing among them.

        Only records in the given buckets of the digest are returned.
        """
        table = RecordTable()
        table.merge(given)
        return table.merge(self.list_buckets(buckets))

    def peers(self, own_address: PeerAddress) -> PeerIndex:
        """Return the other daemons, leaving out those that are gone."""
        if self._peers is None or self._peers[0] != own_address:
            self._peers = (own_address, index_peers(self.records(), own_address))
        return self._peers[1]

    def knows_daemon(self, address: PeerAddress) -> bool:
        """Return whether a record makes other daemons count the one at an address."""
        records = map(self._table.get, self._backends_by_address.get(address, ()))
        return any(
            record is not None
            and (record.host, record.port) == address
            and record.state is not EndpointState.GONE
            for record in records
        )

    @property
    def digest(self) -> Digest:
        """Return a digest that is equal on daemons that hold the same records."""
        if self._digest is None:
            self._digest = self._digests.get_digest()
        return self._digest

    def list_recent(self) -> list[Endpoint]:
        """Return the records that changed last, the newest ones at the end."""
        recent = [self._table.get(backend) for backend in self._recent]
        return [record for record in recent if record is not None]

    def list_buckets(self, buckets: Container[int]) -> list[Endpoint]:
        """Return the records in the given buckets of the digest."""
        return [r for r in self.records() if get_bucket(r.backend) in buckets]

    def _record_changes(self, changed: list[Endpoint]) -> None:
        for record in changed:
            self._directory.put_endpoint(record)
            self._digests.put(record)
            self._recent.pop(record.backend, None)
            self._recent[record.backend] = None
        while len(self._recent) > MAX_RECENT_RECORDS:
            del self._recent[next(iter(self._recent))]
        if len(self._digests) != self._table.total_count:
            # The table has forgotten the oldest departed backend servers.
            self._digests = DigestTable(self.records())
        self._digest = None
        self._peers = None

    def _list_replaced_as_gone(self, new: Endpoint) -> list[Endpoint]:
        if new.state is EndpointState.GONE:
            return []
        replaced_backends = self._backends_by_address.get(
            (new.host, new.port), set()
        ) - {new.backend}
        replaced_records = [self._table.get(name) for name in sorted(replaced_backends)]
        return [
            replace(old, state=EndpointState.GONE)
            for old in replaced_records
            if old is not None
            and (old.host, old.port) == (new.host, new.port)
            and old.incarnation <= new.incarnation
            and old.state is not EndpointState.GONE
        ]

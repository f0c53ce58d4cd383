"""The endpoint records of the fleet that are known to this daemon."""

from collections.abc import Iterable
from dataclasses import replace
from hashlib import blake2b

from ..model import Endpoint, EndpointState
from .directory import Directory
from .peers import PeerAddress, PeerIndex, index_peers
from .records import RecordTable


class EndpointRegistry:
    """Keeps the newest record of every backend server and updates the directory.

    A record that is not GONE sets the records of earlier backend servers at the same
    peer address to GONE, because an address belongs to one machine at a time.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._table = RecordTable()
        self._backends_by_address: dict[PeerAddress, set[str]] = {}
        self._digest: str | None = None
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
        for record in list(changed):
            changed += self._table.merge(self._list_replaced_as_gone(record))
        if not changed:
            return []
        self._digest = None
        self._peers = None
        for record in changed:
            self._directory.put_endpoint(record)
        return changed

    def find_newer(self, records: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the records that supersede given ones or are missing among them."""
        given = RecordTable()
        given.merge(records)
        return given.merge(self.records())

    def peers(self, own_address: PeerAddress) -> PeerIndex:
        """Return the other daemons, leaving out those that are gone."""
        if self._peers is None or self._peers[0] != own_address:
            self._peers = (own_address, index_peers(self.records(), own_address))
        return self._peers[1]

    @property
    def digest(self) -> str:
        """Return a digest that is equal on daemons that hold the same records."""
        if self._digest is None:
            state = blake2b(digest_size=8)
            for record in sorted(self.records(), key=lambda r: r.backend):
                state.update(f"{record.backend} {record.order} {record.state}".encode())
            self._digest = state.hexdigest()
        return self._digest

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

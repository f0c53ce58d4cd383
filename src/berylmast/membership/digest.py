"""Digests by which two daemons find the records that differ between them.

The records are divided into buckets by the names of their backend servers. Daemons
whose records are equal exchange only the total; otherwise the digests of the buckets
show which records to send, instead of all of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from zlib import crc32

from ..model import Endpoint

BUCKET_COUNT = 32
"""About six records a bucket in a fleet of 200 daemons."""

_TOTAL_HEX_DIGITS = 16
_BUCKET_HEX_DIGITS = 8
_SEPARATOR = "/"


@dataclass(frozen=True, slots=True)
class Digest:
    """The digest of all records, and those of the buckets if they are known.

    On the wire it is a text, hexadecimal. Peers of earlier versions send another text,
    which differs from every total.
    """

    total: str
    buckets: tuple[str, ...] = ()

    def format(self, *, with_buckets: bool) -> str:
        """Return the text that is sent to another daemon."""
        if not with_buckets:
            return self.total
        return _SEPARATOR.join([self.total, "".join(self.buckets)])

    def find_differing_buckets(self, other: "Digest") -> frozenset[int]:
        """Return the buckets whose records differ, all of them if that is not known."""
        if self.total == other.total:
            return frozenset()
        if not (self.buckets and other.buckets):
            return frozenset(range(BUCKET_COUNT))
        pairs = zip(self.buckets, other.buckets, strict=True)
        return frozenset(number for number, (a, b) in enumerate(pairs) if a != b)


def parse_digest(text: str) -> Digest:
    """Read the text of a digest; one of an unknown form has no buckets."""
    total, _, rest = text.partition(_SEPARATOR)
    width = _BUCKET_HEX_DIGITS
    if len(rest) != BUCKET_COUNT * width:
        return Digest(total)
    buckets = tuple(rest[i : i + width] for i in range(0, len(rest), width))
    return Digest(total, buckets)


def get_bucket(backend: str) -> int:
    """Return the number of the bucket that holds the record of a backend server."""
    return crc32(backend.encode()) % BUCKET_COUNT


class DigestTable:
    """Keeps the digest of a set of records, which changes by one record at a time."""

    def __init__(self, records: Iterable[Endpoint] = ()) -> None:
        self._hashes: dict[str, int] = {}
        self._bucket_hashes = [0] * BUCKET_COUNT
        for record in records:
            self.put(record)

    def __len__(self) -> int:
        return len(self._hashes)

    def put(self, record: Endpoint) -> None:
        """Add a record, or replace the one of the same backend server."""
        new = _hash_record(record)
        old = self._hashes.get(record.backend, 0)
        self._hashes[record.backend] = new
        self._bucket_hashes[get_bucket(record.backend)] ^= old ^ new

    def get_digest(self) -> Digest:
        """Return the current digest."""
        # The hashes of the records are combined by exclusive or: it does not depend on
        # their order, and a record can be taken out again.
        total = blake2b(digest_size=_TOTAL_HEX_DIGITS // 2)
        for value in self._bucket_hashes:
            total.update(value.to_bytes(8))
        shift = 64 - 4 * _BUCKET_HEX_DIGITS
        buckets = tuple(
            f"{value >> shift:0{_BUCKET_HEX_DIGITS}x}" for value in self._bucket_hashes
        )
        return Digest(total.hexdigest(), buckets)


def _hash_record(record: Endpoint) -> int:
    text = f"{record.backend} {record.order} {record.state}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())

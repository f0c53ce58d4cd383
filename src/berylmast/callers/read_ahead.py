"""Bounds the memory of request bodies that are read before a backend server takes them.

Load pattern: many uploads wait for admission at once, and their callers leave. The
close follows the body, so it is noticed only once the whole body has been read.
"""

READ_AHEAD_BYTES = 64 * 1024
"""Bytes of each body that may be read ahead in any case."""

SHARED_READ_AHEAD_BYTES = 32 * 1024 * 1024
"""Bytes that all waiting bodies together may read ahead beyond that."""


class ReadAheadPool:
    """Counts the bytes that the bodies of one daemon hold in memory."""

    def __init__(self, capacity_bytes: int = SHARED_READ_AHEAD_BYTES) -> None:
        self._capacity_bytes = capacity_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Return the number of bytes that are held now."""
        return self._used_bytes

    @property
    def has_room(self) -> bool:
        """Return whether a body may hold more than ``READ_AHEAD_BYTES``."""
        return self._used_bytes < self._capacity_bytes

    def add(self, size: int) -> None:
        """Count bytes that are held, or no longer held if ``size`` is negative."""
        self._used_bytes += size

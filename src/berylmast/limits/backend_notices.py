"""What admission control reads of the statements of the local backend server."""

from typing import Protocol


class BackendNotices(Protocol):
    """The current statements of the backend server."""

    @property
    def rate_limit(self) -> float | None:
        """Return the limit in requests per second, None if there is none."""

    @property
    def leaving(self) -> bool:
        """Return whether the server has stated that it is shutting down."""


class NoNotices:
    """For backend servers that state nothing."""

    @property
    def rate_limit(self) -> float | None:
        """Return None."""
        return None

    @property
    def leaving(self) -> bool:
        """Return False."""
        return False

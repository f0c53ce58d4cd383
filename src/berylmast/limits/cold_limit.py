"""What admission control reads of the bound on requests to a cold server."""

from collections.abc import Callable
from typing import Protocol


class ColdLimit(Protocol):
    """The bound on starts while the server is cold or may have become cold."""

    def get_rate_limit(self) -> float | None:
        """Return the limit in requests per second, None if the server is warm."""

    def get_wait_s(self, now_s: float) -> float:
        """Return the time in seconds until the bound allows a start."""

    def get_expected_wait_s(self, now_s: float) -> float:
        """Return the expected time until a start.

        It is shorter than ``get_wait_s`` while a query may end the wait.
        """

    def record_start(self, now_s: float) -> None:
        """Count a start."""

    def set_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when requests that wait may be allowed to start."""


class NoColdLimit:
    """For servers that are never limited while cold."""

    def get_rate_limit(self) -> float | None:
        """Return None."""
        return None

    def get_wait_s(self, now_s: float) -> float:
        """Return 0."""
        return 0.0

    def get_expected_wait_s(self, now_s: float) -> float:
        """Return 0."""
        return 0.0

    def record_start(self, now_s: float) -> None:
        """Do nothing."""

    def set_listener(self, listener: Callable[[], None]) -> None:
        """Do nothing."""

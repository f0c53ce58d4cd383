"""What admission control reads of the current slowdown of the backend server."""

from typing import Protocol


class SlowdownMeter(Protocol):
    """Measures the current slowdown of the backend server."""

    async def refresh(self) -> None:
        """Query the backend server unless a recent value is known.

        Returns within milliseconds.
        """

    def get_slowdown(self, max_age_s: float) -> float:
        """Return the service time relative to normal.

        Returns 1.0 if there is no measurement within ``max_age_s``.
        """


class NoSlowdownMeter:
    """Reports no slowdown, for backend servers that do not report their load."""

    async def refresh(self) -> None:
        """Do nothing."""

    def get_slowdown(self, max_age_s: float) -> float:
        """Return 1.0."""
        return 1.0

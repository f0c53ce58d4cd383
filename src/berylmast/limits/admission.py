"""Admission of requests to the local backend server."""

from collections.abc import Callable

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..model import AttemptResult, LoadReport, RequestHead, ServiceSlice

MAX_QUEUE_WAIT_S = 0.25
"""Longest wait for a slot; beyond it another backend server serves sooner."""

_LATENCY_WEIGHT = 0.1
_ERROR_WEIGHT = 0.1


class Permit:
    """The right to send one request to the backend server; released exactly once."""

    def __init__(self, release: Callable[[AttemptResult], None]) -> None:
        self._release: Callable[[AttemptResult], None] | None = release

    def release(self, result: AttemptResult) -> None:
        """Give the slot back and count the result; later calls do nothing."""
        if self._release is not None:
            release, self._release = self._release, None
            release(result)


class AdmissionController:
    """Counts requests in flight and admits new ones within the slots."""

    def __init__(
        self, backend: str, incarnation: int, get_slice: Callable[[], ServiceSlice]
    ) -> None:
        self.draining = False
        self._backend = backend
        self._incarnation = incarnation
        self._get_slice = get_slice
        self._in_flight = 0
        self._queued = 0
        self._seq = 0
        self._latency_ms = 0.0
        self._error_rate = 0.0
        self._freed = anyio.Event()

    async def acquire(self, head: RequestHead) -> Result[Permit, Refusal]:
        """Wait shortly for a slot.

        Refuses while draining, and when no slot frees up before the queue limit or the
        request's deadline.
        """
        if self.draining:
            return Err(Refusal(ErrorKind.DRAINING, "the backend server is draining"))
        self._queued += 1
        try:
            with anyio.move_on_after(min(MAX_QUEUE_WAIT_S, head.deadline_ms / 1000)):
                while self._in_flight >= self._get_slice().slots:
                    await self._freed.wait()
                self._in_flight += 1
                return Ok(Permit(self._release))
        finally:
            self._queued -= 1
        return Err(Refusal(ErrorKind.OVERLOADED, "no slot became free in time"))

    def _release(self, result: AttemptResult) -> None:
        self._in_flight -= 1
        latency_ms = result.latency_s * 1000
        self._latency_ms += _LATENCY_WEIGHT * (latency_ms - self._latency_ms)
        self._error_rate += _ERROR_WEIGHT * ((not result.ok) - self._error_rate)
        self._freed.set()
        self._freed = anyio.Event()

    def report(self) -> LoadReport:
        """Return the load of the backend server now."""
        self._seq += 1
        return LoadReport(
            backend=self._backend,
            incarnation=self._incarnation,
            seq=self._seq,
            in_flight=self._in_flight,
            queued=self._queued,
            limit=self._get_slice().slots,
            latency_ms=self._latency_ms,
            error_rate=self._error_rate,
            draining=self.draining,
        )

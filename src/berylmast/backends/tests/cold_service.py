"""A backend server that becomes cold, its owner's admission, and callers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, cast

import anyio

from ...errors import Refusal
from ...http_client import HttpClient, HttpResponse
from ...limits.slot_admission import SlotAdmission
from ...model import AttemptResult, Headers, ServiceSlice
from ...platform.requests import read_cold_statement
from ...settings import Address, ColdServerSettings
from ...tests.fake_parts import make_head, make_slice
from ..backend_state import BackendReport
from ..cold_start_guard import ColdStartGuard
from ..load_monitor import LoadMonitor
from .test_backend_state import make_report

BACKEND = make_report().backend
REPORT_INTERVAL_S = 1.5
HEALTH_TIMEOUT_S = 0.2
SETTINGS = ColdServerSettings()


@dataclass(slots=True)
class ColdServer:
    """A server that is cold until ``cold_until_s`` and counts what it gets.

    ``health_s`` is the time until a health response, which has the headers of
    ``health_headers`` if these are set. ``cold_arrivals_s`` are the times at which
    requests arrived while it was cold.
    """

    cold_until_s: float = 0.0
    service_time_s: float = 0.01
    health_s: float = 0.001
    health_headers: Headers | None = None
    health_calls: int = 0
    arrivals_s: list[float] = field(default_factory=list)
    cold_arrivals_s: list[float] = field(default_factory=list)

    @asynccontextmanager
    async def send(self, *args: Any) -> AsyncIterator[HttpResponse]:
        self.health_calls += 1
        await anyio.sleep(self.health_s)

        async def no_body() -> AsyncIterator[bytes]:
            return
            yield

        yield HttpResponse(200, self._make_health_headers(), no_body())

    def _make_health_headers(self) -> Headers:
        if self.health_headers is not None:
            return self.health_headers
        cold_ms = self.cold_left_s * 1000
        return [
            (b"x-instance-id", BACKEND.encode()),
            (b"x-cold-ms", str(cold_ms).encode()),
        ]

    @property
    def cold_left_s(self) -> float:
        return max(0.0, self.cold_until_s - anyio.current_time())

    async def run_request(self) -> None:
        now_s = anyio.current_time()
        self.arrivals_s.append(now_s)
        if now_s < self.cold_until_s:
            self.cold_arrivals_s.append(now_s)
        await anyio.sleep(self.service_time_s)

    def count_most_in_a_second(self) -> int:
        """Return the most requests in any second while cold."""
        times_s = self.cold_arrivals_s
        return max(
            (sum(1 for t in times_s if first <= t < first + 1) for first in times_s),
            default=0,
        )


class OwnerRun:
    """One run of the owner of a server: admission, guard and health queries."""

    def __init__(
        self,
        server: ColdServer,
        rate_per_s: float | None = 10.0,
        settings: ColdServerSettings | None = SETTINGS,
        slots: int = 5,
        health_path: str = "/healthz",
    ) -> None:
        self.service: ServiceSlice = make_slice(
            slots=slots, cold_rate_per_s=rate_per_s, health_path=health_path
        )
        self.server = server
        client = cast(HttpClient, server)
        self.monitor = LoadMonitor(
            Address(host="h", port=1),
            client,
            lambda: self.service.health_path,
            lambda _headers: None,
            on_health=self._record_health,
        )
        self.guard: ColdStartGuard | None = None
        if settings is not None:
            self.guard = ColdStartGuard(
                settings,
                lambda: self.service,
                lambda: self.monitor.query(HEALTH_TIMEOUT_S),
                anyio.current_time(),
            )
        self.admission = SlotAdmission(
            BACKEND, 1, lambda: self.service, rng=Random(1), cold_limit=self.guard
        )
        self.refusals: list[Refusal] = []
        self.longest_refusal_s = 0.0
        self.served = 0

    def _record_health(self, sent_s: float, status: int, headers: Headers) -> None:
        if self.guard is not None:
            self.guard.record_health(
                read_cold_statement(BACKEND, status, headers), sent_s
            )

    async def run(self) -> None:
        """Run the guard, if there is one."""
        if self.guard is not None:
            await self.guard.run()

    async def report(self, *, sequence: int = 1) -> None:
        """Let the server report now and every ``REPORT_INTERVAL_S``."""
        while True:
            self.send_report(sequence, self.server.cold_left_s)
            sequence += 1
            await anyio.sleep(REPORT_INTERVAL_S)

    def send_report(self, sequence: int, cold_left_s: float) -> None:
        """Deliver one report."""
        report: BackendReport = replace(
            make_report(sequence=sequence), cold_left_s=cold_left_s
        )
        if self.guard is not None:
            self.guard.record_report(report)

    async def send(self, per_s: float, for_s: float, deadline_ms: int = 500) -> None:
        """Send requests at an even rate, and wait until all have ended."""
        async with anyio.create_task_group() as tg:
            for _ in range(round(per_s * for_s)):
                tg.start_soon(self._request, deadline_ms)
                await anyio.sleep(1 / per_s)

    async def _request(self, deadline_ms: int) -> None:
        arrived_s = anyio.current_time()
        head = make_head(deadline_ms=deadline_ms, target_ms=deadline_ms)
        admitted = await self.admission.acquire(head)
        if admitted.is_err():
            self.refusals.append(admitted.unwrap_err())
            waited_s = anyio.current_time() - arrived_s
            self.longest_refusal_s = max(self.longest_refusal_s, waited_s)
            return
        await self.server.run_request()
        self.served += 1
        latency_s = self.server.service_time_s
        admitted.unwrap().release(AttemptResult(True, False, latency_s))

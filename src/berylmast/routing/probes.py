"""Background probes that request load reports, limited by a budget."""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from weakref import WeakSet

import anyio

from ..daemons import ConnectionLost, Exchange, ExchangeLost, PeerConnection, PeerPool
from ..daemons.codec import encode_frame
from ..daemons.frames import Hello, Load, Probe
from ..model import Budgets, Endpoint, LoadReport
from ..supervision import run_logged
from ._bucket import TokenBucket

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.5
STALE_REPORT_AGE_S = 0.5
"""Age from which a report is refreshed by a probe.

Responses also carry load reports; probing at a lower age would add little to those.
"""

BURST_S = 1.0
BURST_PROBES = 5.0
RESERVED_BYTES = 512
"""Bytes reserved before a probe and replaced by the actual number after it."""


class ProbeBudget:
    """Limits probes by bytes per second and by a ratio to requests."""

    def __init__(self) -> None:
        self.probes = 0
        self.bytes_used = 0
        self.requests = 0
        self._byte_tokens = TokenBucket()
        self._probe_tokens = TokenBucket()
        self._budgets = Budgets(probe_bytes_per_s=0, probe_ratio=0)

    def record_request(self, budgets: Budgets) -> None:
        """Count a request and add the fraction of a probe that it allows."""
        self.requests += 1
        self._budgets = budgets
        self._probe_tokens.add_tokens(budgets.probe_ratio, BURST_PROBES)

    def try_reserve(self, now_s: float) -> bool:
        """Reserve one probe; return False if the budget does not allow one now."""
        rate = self._budgets.probe_bytes_per_s
        self._byte_tokens.refill(now_s, rate, rate * BURST_S)
        if self._byte_tokens.tokens < RESERVED_BYTES or self._probe_tokens.tokens < 1:
            return False
        self._byte_tokens.remove_tokens(RESERVED_BYTES)
        self._probe_tokens.remove_tokens(1)
        self.probes += 1
        return True

    def reconcile(self, size: int) -> None:
        """Replace one reservation by the bytes that were sent and received."""
        self._byte_tokens.remove_tokens(size - RESERVED_BYTES)
        self.bytes_used += size


class Prober:
    """Requests load reports for endpoints whose last report is stale.

    ``record_load`` is called with each report and the incarnation of the daemon that
    sent it.
    """

    def __init__(
        self,
        pool: PeerPool,
        budget: ProbeBudget,
        *,
        find_stale_endpoints: Callable[[], Sequence[Endpoint]],
        record_load: Callable[[LoadReport, int | None], None],
        rng: Random,
    ) -> None:
        self._pool = pool
        self._budget = budget
        self._find_stale_endpoints = find_stale_endpoints
        self._record_load = record_load
        self._rng = rng
        self._pending: set[str] = set()
        self._counted_connections: WeakSet[PeerConnection] = WeakSet()

    async def run(self) -> None:
        """Send probes periodically until cancelled."""
        async with anyio.create_task_group() as tg:
            while True:
                self._start_probes(tg)
                await anyio.sleep(PROBE_INTERVAL_S)

    def _start_probes(self, tg: anyio.abc.TaskGroup) -> None:
        stale = [
            e for e in self._find_stale_endpoints() if e.backend not in self._pending
        ]
        self._rng.shuffle(stale)
        for endpoint in stale:
            if not self._budget.try_reserve(anyio.current_time()):
                return
            self._pending.add(endpoint.backend)
            tg.start_soon(run_logged, "prober", partial(self._probe, endpoint))

    async def _probe(self, endpoint: Endpoint) -> None:
        size = 0
        try:
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                conn = await self._pool.connect(endpoint)
                size += self._count_hello_bytes(conn)
                exchange = conn.open_exchange()
                try:
                    size += await self._send_probe(exchange)
                finally:
                    conn.close_exchange(exchange)
        except (ConnectionLost, ExchangeLost):
            # The existing report keeps aging. Failures to reach an owner are recorded
            # by attempts, not by probes.
            pass
        finally:
            self._budget.reconcile(size or RESERVED_BYTES)
            self._pending.discard(endpoint.backend)

    async def _send_probe(self, exchange: Exchange) -> int:
        probe = Probe(exchange.id)
        await exchange.send(probe)
        frame = await exchange.receive()
        if isinstance(frame, Load):
            self._record_load(frame.load, exchange.peer_incarnation)
        return len(encode_frame(probe)) + len(encode_frame(frame))

    def _count_hello_bytes(self, conn: PeerConnection) -> int:
        """Return the size of both Hello frames at the first probe on a connection.

        The connection may have been opened for that probe.
        """
        if conn in self._counted_connections or conn.peer is None:
            return 0
        self._counted_connections.add(conn)
        hello = Hello(0, 1, conn.peer.daemon, conn.peer.incarnation)
        return 2 * len(encode_frame(hello))

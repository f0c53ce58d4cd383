"""A simulation of two services on a mock clock: reads call the orders service.

Each server has the ``SlotAdmission`` of its owner. As at the users' backend servers, a
read holds its slot while its nested calls run and fails if one of them fails. A server
whose slots are all in use slows down by ``full_factor``.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from statistics import median

import anyio
from anyio.abc import TaskGroup
from result import Err, Ok, Result

from ...errors import ErrorKind, Refusal
from ...model import AttemptResult, LoadReport, RequestHead
from ...tests.fake_parts import make_head, make_slice
from ..slot_admission import SlotAdmission

MAX_SPILLS = 2
MAX_OWNERS_TRIED = 4
MAX_ATTEMPTS = 3
SERVICE_TIME_LOG_STDDEV = 0.3
"""Standard deviation of the logarithm of the service time."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request; all times are in seconds.

    Each of the ``calls`` nested calls is made with probability ``call_share``, one
    after the other.
    """

    path: str
    rank: int
    service_time_s: float
    target_s: float
    deadline_s: float
    calls: int = 0
    call_share: float = 0.0


READ = RequestKind("/read/", 0, 0.30, 1.0, 6.0, calls=2, call_share=0.7)
ORDER = RequestKind("/order/", 1, 0.40, 1.2, 8.0)
STATUS = RequestKind("/status/", 1, 0.07, 0.15, 0.9)


@dataclass(slots=True)
class Server:
    """A simulated backend server with the admission of its owner."""

    slots: int
    full_factor: float
    get_median_full_slowdown: Callable[[], float]
    admission: SlotAdmission = field(init=False)
    report: LoadReport | None = None
    seed: int = 0

    def __post_init__(self) -> None:
        service = make_slice(slots=self.slots)
        self.admission = SlotAdmission(
            "b",
            1,
            lambda: service,
            rng=Random(self.seed),
            get_median_full_slowdown=self.get_median_full_slowdown,
        )

    def update_load(self) -> float:
        """Store the owner's load report; return the requests per usable slot."""
        self.report = self.admission.report()
        return (self.report.in_flight + self.report.queued) / self.report.limit


class TwoServiceSimulation:
    """Simulates reads at one service; orders and nested calls at the other."""

    def __init__(self, tg: TaskGroup, seed: int, full_factor: float) -> None:
        self.sent_reads: defaultdict[int, int] = defaultdict(int)
        self.reads_on_time: defaultdict[int, int] = defaultdict(int)
        self._tg = tg
        self._rng = Random(seed)
        self._orders = [
            Server(3, full_factor, self._get_median_full_slowdown, seed=n)
            for n in range(6)
        ]
        self._reads = [
            Server(3, full_factor, self._get_median_full_slowdown, seed=n)
            for n in range(8)
        ]

    async def generate_arrivals(
        self, kind: RequestKind, rate_per_s: float, duration_s: float
    ) -> None:
        """Generate Poisson arrivals of one kind of request for some time."""
        end_s = anyio.current_time() + duration_s
        while True:
            await anyio.sleep(self._rng.expovariate(rate_per_s))
            if anyio.current_time() >= end_s:
                return
            self._tg.start_soon(self._send_request, kind)

    def get_on_time_share(self, start_s: int, end_s: int) -> float:
        """Return the share of reads sent in a time span that were answered on time."""
        sent = sum(self.sent_reads[second] for second in range(start_s, end_s))
        return (
            sum(self.reads_on_time[second] for second in range(start_s, end_s)) / sent
        )

    def _get_median_full_slowdown(self) -> float:
        """Return the slowdown that an entry derives from reports of orders servers."""
        reports = [server.report for server in self._orders if server.report]
        known = [r.full_slowdown for r in reports if r.full_slowdown]
        return median(known or [0.0])

    async def _send_request(self, kind: RequestKind) -> None:
        """Send one request as a caller that retries after refusals and failures."""
        started_s = anyio.current_time()
        second = int(started_s)
        self.sent_reads[second] += kind is READ
        for _ in range(MAX_ATTEMPTS):
            left_s = started_s + kind.deadline_s - anyio.current_time()
            left_s = min(left_s, kind.deadline_s / 2)
            target_s = started_s + kind.target_s
            result = await self._serve(kind, left_s, target_s)
            now_s = anyio.current_time()
            if result.is_ok():
                on_time = now_s - started_s <= kind.target_s
                self.reads_on_time[second] += on_time and kind is READ
                return
            left_s = started_s + kind.deadline_s - now_s
            if left_s <= 0:
                return
            await anyio.sleep(min(result.unwrap_err().retry_delay_s, left_s / 3))

    async def _serve(
        self, kind: RequestKind, left_s: float, target_s: float
    ) -> Result[None, Refusal]:
        """Try owners one after the other, as an entry does.

        The first ``MAX_SPILLS`` owners may refuse the request because they are busy.
        """
        servers = self._reads if kind is READ else self._orders
        deadline_s = anyio.current_time() + left_s
        refusal = Refusal(ErrorKind.OVERLOADED, "no owner was tried")
        busy: list[Server] = []
        for tried in range(MAX_OWNERS_TRIED):
            may_spill = tried < MAX_SPILLS
            candidates = [s for s in servers if not may_spill or s not in busy]
            server = min(
                candidates, key=lambda s: (s.update_load(), self._rng.random())
            )
            remaining_s = deadline_s - anyio.current_time()
            if remaining_s <= 0:
                break
            head = replace(
                self._make_head(kind),
                deadline_ms=int(remaining_s * 1000),
                target_ms=int((target_s - anyio.current_time()) * 1000),
                may_spill=may_spill,
            )
            permit = await server.admission.acquire(head)
            if permit.is_err():
                refusal = permit.unwrap_err()
                busy.append(server)
                continue
            run_started_s = anyio.current_time()
            ok = False
            with anyio.move_on_after(remaining_s):
                ok = await self._run(kind, server)
            latency_s = anyio.current_time() - run_started_s
            permit.unwrap().release(AttemptResult(ok, False, latency_s))
            return Ok(None) if ok else Err(Refusal(ErrorKind.BACKEND_CUT, "failed"))
        return Err(refusal)

    async def _run(self, kind: RequestKind, server: Server) -> bool:
        all_in_use = server.admission.in_flight >= server.slots
        service_time_s = kind.service_time_s * self._rng.lognormvariate(
            0, SERVICE_TIME_LOG_STDDEV
        )
        await anyio.sleep(service_time_s * (server.full_factor if all_in_use else 1.0))
        for _ in range(kind.calls):
            if self._rng.random() >= kind.call_share:
                continue
            target_s = anyio.current_time() + STATUS.target_s
            if (await self._serve(STATUS, STATUS.deadline_s, target_s)).is_err():
                return False
        return True

    def _make_head(self, kind: RequestKind) -> RequestHead:
        return replace(make_head(), target=kind.path, rank=kind.rank)

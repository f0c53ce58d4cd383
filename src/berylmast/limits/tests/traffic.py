"""Simulated traffic for tests of admission on a mock clock."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import anyio

from ...errors import ErrorKind
from ...model import AttemptId, AttemptResult, Priority, RequestHead, ServiceSlice
from ..admission import AdaptiveAdmission

PRIORITIES = (Priority("urgent", 0.5), Priority("normal", 0.2), Priority("browse", 0.1))
SLICE = ServiceSlice(
    service="orders",
    version=1,
    hosts=frozenset(),
    routes=(),
    priorities=PRIORITIES,
    policy="random",
    slots=6,
    connections=260,
)
HEAD = RequestHead(
    request_id="r",
    attempt=AttemptId("e", 1, 1),
    service="orders",
    priority="urgent",
    tenant="a",
    idempotent=True,
    idempotency_key=None,
    deadline_ms=2_000,
    retry=False,
    method="GET",
    target="/orders/1",
    headers=(),
    has_body=False,
)


def make_adaptive_admission(**changes: object) -> AdaptiveAdmission:
    """Return an adaptive admission for ``SLICE`` with some fields replaced."""
    service = replace(SLICE, **changes)  # type: ignore[arg-type]
    return AdaptiveAdmission("b1", 1, lambda: service)


@dataclass
class Flow:
    """Poisson arrivals of one priority and tenant; gamma-distributed service times.

    ``rate`` is in requests per second. The other fields, from ``offered`` on, are
    results: ``slot_s`` is the total slot time in seconds.
    """

    priority: str
    rate: float
    mean_s: float = 0.04
    tenant: str = "a"
    target: str = "/orders/1"
    deadline_ms: int = 2_000
    start_s: float = 0.0
    offered: int = 0
    answered: int = 0
    refused: Counter[ErrorKind] = field(default_factory=Counter)
    waits_s: list[float] = field(default_factory=list)
    slot_s: float = 0.0

    @property
    def share(self) -> float:
        """Return the share of offered requests that were answered."""
        return self.answered / self.offered


async def run_flows(
    admission: AdaptiveAdmission,
    flows: list[Flow],
    seconds: float,
    slowdown: Callable[[], float] = lambda: 1.0,
    ok: Callable[[], bool] = lambda: True,
) -> None:
    """Generate all flows for some seconds and wait until every request has ended."""
    async with anyio.create_task_group() as tg:
        for index, flow in enumerate(flows):
            rng = Random(index)
            tg.start_soon(_run_flow, admission, flow, seconds, rng, slowdown, ok)


async def _run_flow(
    admission: AdaptiveAdmission,
    flow: Flow,
    seconds: float,
    rng: Random,
    slowdown: Callable[[], float],
    ok: Callable[[], bool],
) -> None:
    async def run_request(service_s: float) -> None:
        arrived_s = anyio.current_time()
        head = replace(
            HEAD,
            priority=flow.priority,
            tenant=flow.tenant,
            target=flow.target,
            deadline_ms=flow.deadline_ms,
        )
        admitted = await admission.acquire(head)
        if admitted.is_err():
            flow.refused[admitted.unwrap_err().kind] += 1
            return
        flow.waits_s.append(anyio.current_time() - arrived_s)
        ok_result = ok()
        held_s = service_s * slowdown() if ok_result else 0.001
        await anyio.sleep(held_s)
        flow.slot_s += held_s
        flow.answered += 1
        admitted.unwrap().release(AttemptResult(ok_result, False, held_s))

    await anyio.sleep(flow.start_s)
    end_s = anyio.current_time() + seconds - flow.start_s
    async with anyio.create_task_group() as tg:
        while True:
            await anyio.sleep(rng.expovariate(flow.rate))
            if anyio.current_time() >= end_s:
                return
            flow.offered += 1
            tg.start_soon(run_request, rng.gammavariate(4, flow.mean_s / 4))

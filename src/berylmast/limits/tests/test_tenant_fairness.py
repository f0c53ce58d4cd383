"""Guards against a tenant that starves others at a server that reports its slots."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import anyio
import pytest

from ...model import AttemptResult
from ...tests.fake_parts import make_head, make_slice
from ..request_queue import RequestQueue
from ..scheduling import QueuedRequest
from ..slot_admission import SlotAdmission

pytestmark = pytest.mark.anyio

SLOTS = 4
SERVICE_TIME_S = 0.1


def make_queue(
    tenants: Iterable[str], **changes: object
) -> RequestQueue[QueuedRequest]:
    """Return a queue to which requests of the given tenants came one after another."""
    queue: RequestQueue[QueuedRequest] = RequestQueue()
    for number, tenant in enumerate(tenants):
        request = QueuedRequest(0, 0.1, number / 1000, 10.0, 20.0, tenant=tenant)
        queue.add(replace(request, **changes), 0.01)  # type: ignore[arg-type]
    return queue


def start_all(queue: RequestQueue[QueuedRequest]) -> str:
    """Start all requests in turn; return their tenants."""
    tenants = ""
    while len(queue):
        heads = queue.list_heads(0.01)
        first = min(heads, key=lambda r: (queue.get_tag(r), -r.arrived_s))
        queue.start(first)
        tenants += first.tenant
    return tenants


@pytest.mark.parametrize(
    ("arrived", "started"),
    [("aaaaaabbb", "bababaaaa"), ("baaaa", "abaaa"), ("abc", "cba")],
)
def test_tenants_take_turns(arrived: str, started: str) -> None:
    expected = [r.tenant for r in make_queue(arrived).list_in_order(0.01)]
    assert start_all(make_queue(arrived)) == "".join(expected) == started


def test_the_expected_waits_are_longest_for_the_tenant_with_the_most_requests() -> None:
    """Requests at the end are refused first when not all can be served."""
    ordered = make_queue("b" + 8 * "a" + "cc").list_in_order(0.01)
    assert {request.tenant for request in ordered[-5:]} == {"a"}


def test_long_requests_count_for_more() -> None:
    queue = make_queue("aaaa")
    for number in range(4):
        queue.add(QueuedRequest(0, 0.3, number / 1000, 10.0, 20.0, tenant="b"), 0.01)
    assert start_all(queue).count("a", 0, 4) == 3


def test_requests_without_a_tenant_that_wait_already_are_counted() -> None:
    expected = [r.tenant for r in make_queue(["", "", "", "a"]).list_in_order(0.01)]
    assert expected == ["a", "", "", ""]
    assert start_all(make_queue(["", "", "", "a"])) == "a"


def test_a_nested_call_is_not_held_back() -> None:
    """Its caller's request holds a slot meanwhile."""
    queue = make_queue("aabb")
    nested = QueuedRequest(0, 0.01, 0.0, 10.0, 20.0, short=True)
    queue.add(nested, 0.01)
    for _ in range(50):
        other = QueuedRequest(0, 0.01, 0.0, 10.0, 20.0, short=True)
        queue.add(other, 0.01)
        queue.start(other)
    assert queue.list_in_order(0.01)[0] is nested


def test_a_rank_does_not_count_for_another() -> None:
    queue = make_queue("ab", rank=1)
    for _ in range(20):
        urgent = QueuedRequest(0, 0.1, 0.0, 10.0, 20.0, tenant="a")
        queue.add(urgent, 0.01)
        queue.start(urgent)
    queue.add(QueuedRequest(1, 0.1, 0.005, 10.0, 20.0, tenant="c"), 0.01)
    assert [r.tenant for r in queue.list_in_order(0.01)] == ["c", "b", "a"]


@pytest.mark.parametrize("flood_factor", [3, 20])
async def test_a_flood_of_one_tenant_leaves_the_others_their_share(
    flood_factor: int,
) -> None:
    """Newest first, the others' share was that of all requests or below."""
    service = make_slice(slots=SLOTS)
    admission = SlotAdmission("b1", 1, lambda: service)
    sent: Counter[str] = Counter()
    served: Counter[str] = Counter()
    capacity_per_s = SLOTS / SERVICE_TIME_S
    rates = {"a": capacity_per_s * flood_factor, "b": 10.0, "c": 10.0}

    async def call(tenant: str) -> None:
        sent[tenant] += 1
        head = make_head(tenant=tenant, deadline_ms=2000, target_ms=400, rank=0)
        result = await admission.acquire(head)
        if result.is_err():
            return
        await anyio.sleep(SERVICE_TIME_S)
        served[tenant] += 1
        result.unwrap().release(
            AttemptResult(ok=True, refused=False, latency_s=SERVICE_TIME_S)
        )

    async def send(tenant: str) -> None:
        while True:
            tg.start_soon(call, tenant)
            await anyio.sleep(1 / rates[tenant])

    async with anyio.create_task_group() as tg:
        for tenant in rates:
            tg.start_soon(send, tenant)
        await anyio.sleep(8.0)
        tg.cancel_scope.cancel()
    assert min(served[tenant] / sent[tenant] for tenant in "bc") >= 0.9
    assert served.total() >= 0.9 * capacity_per_s * 8.0

"""Tests of fairness between tenants and of the bound on tracked tenants."""

import pytest

from ..fair_tags import MAX_TENANTS
from ..floors import count_reserved_slots
from ..tenant_queue import TenantQueue, Waiter

pytestmark = pytest.mark.anyio


async def test_tenants_alternate_whatever_their_backlogs() -> None:
    queue = TenantQueue()
    for tenant in "aaaaaabbb":
        queue.push(Waiter("p", tenant))
    assert "".join(queue.pop(1.0).tenant for _ in range(9)) == "abababaaa"


async def test_cost_is_slot_time_not_number_of_requests() -> None:
    """A tenant with long requests must not get more than its share of slot time."""
    queue = TenantQueue()
    for tenant in "aaaabbbb":
        queue.push(Waiter("p", tenant))
    served_tenants = []
    for _ in range(5):
        served_tenants.append(queue.pop(0.1).tenant)
        queue.correct_charge(
            served_tenants[-1], 0.2 if served_tenants[-1] == "a" else 0.0
        )
    assert "".join(served_tenants) == "abbba"


async def test_use_without_contention_is_not_charged() -> None:
    queue = TenantQueue()
    for _ in range(100):
        queue.push(Waiter("p", "a"))
        queue.pop(1.0)
    for tenant in "bbab":
        queue.push(Waiter("p", tenant))
    assert "".join(queue.pop(1.0).tenant for _ in range(4)) in ("bbab", "baba", "babb")


async def test_tracked_tenants_are_bounded() -> None:
    queue = TenantQueue()
    for number in range(20 * MAX_TENANTS):
        queue.push(Waiter("p", f"t{number}"))
        queue.pop(0.04)
    assert queue.tracked_tenants <= MAX_TENANTS


async def test_removed_request_is_not_served() -> None:
    queue = TenantQueue()
    waiters = [Waiter("p", "a"), Waiter("p", "a")]
    for waiter in waiters:
        queue.push(waiter)
    for _ in range(2):
        queue.remove(waiters[0])
    assert (len(queue), queue.pop(1.0)) == (1, waiters[1])


@pytest.mark.parametrize(
    ("limit", "reserved"),
    [
        (1, [0, 0, 0]),
        (2, [1, 0, 0]),
        (3, [2, 0, 0]),
        (6, [3, 1, 1]),
        (9, [5, 2, 1]),
        (100, [50, 20, 10]),
    ],
)
def test_floors_round_to_whole_slots(limit: int, reserved: list[int]) -> None:
    assert count_reserved_slots(limit, [0.5, 0.2, 0.1]) == reserved

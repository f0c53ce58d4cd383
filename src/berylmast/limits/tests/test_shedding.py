"""Tests of load shedding and the retry budget at the entry.

An entry must not amplify a flood, and must not shed requests without overload.
"""

from random import Random

import anyio
import pytest

from ...errors import ErrorKind
from ..retry_budget import RetryBudget
from ..shedder import MAX_WINDOWS, WINDOW_S, AdaptiveShedder

pytestmark = pytest.mark.anyio


async def offer(
    shedder: AdaptiveShedder,
    seconds: float,
    rate_per_s: int,
    accepted_per_s: float,
    *,
    priority: str = "browse",
    tenant: str = "a",
    kind: ErrorKind | None = ErrorKind.OVERLOADED,
) -> tuple[int, int]:
    """Offer requests and return how many were forwarded and how many accepted.

    ``rate_per_s`` and ``accepted_per_s`` are in requests per second.
    """
    forwarded = accepted = 0
    capacity = 0.0
    for _ in range(int(seconds * rate_per_s)):
        await anyio.sleep(1 / rate_per_s)
        capacity = min(capacity + accepted_per_s / rate_per_s, 5.0)
        if not shedder.admit("s", priority, tenant):
            continue
        forwarded += 1
        fits = capacity >= 1
        capacity -= fits
        accepted += fits
        shedder.record("s", priority, tenant, None if fits else kind)
    return forwarded, accepted


async def test_flood_is_shed_down_to_near_the_accepted_rate() -> None:
    shedder = AdaptiveShedder(Random(1))
    await offer(shedder, 5, 400, 100)
    forwarded, accepted = await offer(shedder, 10, 400, 100)
    assert forwarded < 1_800, (
        "4,000 offered and 1,000 accepted allow about 1,500 with K = 1.5"
    )
    assert accepted > 950, "the available capacity was not used"


async def test_some_requests_pass_total_refusal_and_load_recovers() -> None:
    shedder = AdaptiveShedder(Random(1))
    await offer(shedder, 10, 200, 0)
    forwarded, _ = await offer(shedder, 5, 200, 0)
    assert 50 < forwarded < 150
    await offer(shedder, 3 * WINDOW_S, 50, 1_000)
    assert await offer(shedder, 5, 50, 1_000) == (250, 250)


@pytest.mark.parametrize("other", [("urgent", "a"), ("browse", "b")])
async def test_others_are_not_shed_with_a_flood(other: tuple[str, str]) -> None:
    """Other priorities and tenants must not be shed because of the flood of one."""
    shedder = AdaptiveShedder(Random(1))
    await offer(shedder, 10, 400, 20)
    priority, tenant = other
    served = await offer(shedder, 5, 20, 1_000, priority=priority, tenant=tenant)
    assert served == (100, 100)


@pytest.mark.parametrize(
    "kind", [ErrorKind.BACKEND_CUT, ErrorKind.DEADLINE_UNKNOWN, ErrorKind.DRAINING]
)
async def test_errors_other_than_overload_do_not_cause_shedding(
    kind: ErrorKind,
) -> None:
    shedder = AdaptiveShedder(Random(1))
    assert await offer(shedder, 5, 100, 0, kind=kind) == (500, 0)


async def test_memory_is_bounded() -> None:
    shedder = AdaptiveShedder(Random(1))
    for number in range(3 * MAX_WINDOWS):
        shedder.record(f"s{number}", "browse", "a", ErrorKind.OVERLOADED)
    assert len(shedder._windows) == MAX_WINDOWS
    for number in range(3 * MAX_WINDOWS):
        shedder.record("one", "browse", f"t{number}", ErrorKind.OVERLOADED)
    assert sum(key[0] == "one" for key in shedder._windows) <= 64


def test_retries_of_one_priority_stay_within_its_budget() -> None:
    """Retries of a low priority must not use up the budget of a more urgent one."""
    budget = RetryBudget()
    spent = 0
    for _ in range(1_000):
        budget.record_first_attempt("s", "browse", 0.1)
        spent += budget.try_spend("s", "browse")
        spent += budget.try_spend("s", "browse")
    assert spent == pytest.approx(110, abs=2)
    assert budget.try_spend("s", "urgent")

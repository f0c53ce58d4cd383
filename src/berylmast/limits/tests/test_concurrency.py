"""Tests that the limit shrinks in a fault, and only then."""

from random import Random

import anyio
import pytest

from ..admission import AdaptiveAdmission
from ..concurrency import AdaptiveLimit
from .traffic import Flow, make_adaptive_admission, run_flows

pytestmark = pytest.mark.anyio


async def record_limits(
    admission: AdaptiveAdmission, flows: list[Flow], seconds: float, **faults: object
) -> list[int]:
    """Return the limit every 0.1 s while the flows run."""
    limits: list[int] = []
    async with anyio.create_task_group() as tg:

        async def sample() -> None:
            while True:
                await anyio.sleep(0.1)
                limits.append(admission.report().limit)

        tg.start_soon(sample)
        await run_flows(admission, flows, seconds, **faults)  # type: ignore[arg-type]
        tg.cancel_scope.cancel()
    return limits


@pytest.mark.parametrize(
    "flows",
    [
        [Flow("urgent", 140)],
        [Flow("urgent", 300)],
        [Flow("urgent", 20), Flow("browse", 5, mean_s=0.8)],
        # Different kinds of requests of one priority, distinguished by the path only.
        [
            Flow("browse", 100, mean_s=0.005, target="/a/1"),
            Flow("browse", 5, mean_s=0.5, target="/b/1", start_s=10.0),
        ],
    ],
)
async def test_limit_does_not_shrink_without_a_fault(flows: list[Flow]) -> None:
    """Varying service times, or several kinds of requests, are not a fault."""
    limits = await record_limits(make_adaptive_admission(), flows, 30.0)
    assert sum(limits) / len(limits) > 5.8
    assert min(limits) >= 3


@pytest.mark.parametrize(
    ("slowdown_factor", "error_share", "max_limit"),
    [(10.0, 0.0, 2), (1.0, 0.9, 2), (1.0, 0.02, 6)],
)
async def test_limit_shrinks_during_a_fault_and_recovers(
    slowdown_factor: float, error_share: float, max_limit: int
) -> None:
    rng = Random(1)
    started_s = anyio.current_time()

    def is_faulty() -> bool:
        return 10.0 <= anyio.current_time() - started_s < 25.0

    limits = await record_limits(
        make_adaptive_admission(),
        [Flow("urgent", 100)],
        40.0,
        slowdown=lambda: slowdown_factor if is_faulty() else 1.0,
        ok=lambda: not (is_faulty() and rng.random() < error_share),
    )
    assert min(limits[:95]) >= 5
    assert limits[200] <= max_limit
    assert limits[-1] == 6


def test_memory_is_bounded_for_many_kinds() -> None:
    limit = AdaptiveLimit()
    for number in range(5_000):
        limit.record_success(f"GET {number}", 0.01, limit_used=True)
    assert len(limit._baselines) <= 100
    assert limit.get_limit(6) == 6


def test_limit_follows_the_document() -> None:
    limit = AdaptiveLimit()
    assert [limit.get_limit(slots) for slots in (6, 2, 9)] == [6, 2, 2]

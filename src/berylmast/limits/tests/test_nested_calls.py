"""Tests that an overload does not persist after its cause has ended."""

import anyio
import pytest

from .nested_calls import ORDER, READ, TwoServiceSimulation

pytestmark = pytest.mark.anyio

READS_PER_S = 29.0
ORDERS_PER_S = 12.0
BURST_FACTOR = 4.0
BASELINE_S = 4
BURST_S = 6
RECOVERY_S = 5
AFTER_S = 10


@pytest.mark.parametrize("full_factor", [1.0, 1.7], ids=["even", "slow-when-full"])
@pytest.mark.parametrize("seed", range(3))
async def test_callers_recover_after_burst_at_called_service(
    seed: int, full_factor: float
) -> None:
    """Reads must recover after a burst at the service that they call.

    If nested calls had to wait behind new requests, the callers' requests would hold
    their slots meanwhile, and both services would stay overloaded.
    """
    async with anyio.create_task_group() as tg:
        simulation = TwoServiceSimulation(tg, seed, full_factor)
        duration_s = BASELINE_S + BURST_S + RECOVERY_S + AFTER_S
        tg.start_soon(simulation.generate_arrivals, READ, READS_PER_S, duration_s)
        tg.start_soon(simulation.generate_arrivals, ORDER, ORDERS_PER_S, duration_s)
        await anyio.sleep(BASELINE_S)
        extra_per_s = (BURST_FACTOR - 1) * ORDERS_PER_S
        tg.start_soon(simulation.generate_arrivals, ORDER, extra_per_s, BURST_S)
    share_before = simulation.get_on_time_share(0, BASELINE_S)
    share_after = simulation.get_on_time_share(duration_s - AFTER_S, duration_s)
    assert share_after >= 0.9 * share_before

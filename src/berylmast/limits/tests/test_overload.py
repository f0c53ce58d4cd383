"""Tests that an overload does not persist after its cause has ended."""

import anyio
import pytest

from .two_services import ORDER, READ, TwoServices

pytestmark = pytest.mark.anyio

READS_PER_S = 29.0
ORDERS_PER_S = 12.0
BURST_FACTOR = 4.0
CALM_S = 4
BURST_S = 6
PAUSE_S = 5
AFTER_S = 10


@pytest.mark.parametrize("full_factor", [1.0, 1.7], ids=["even", "slow-when-full"])
@pytest.mark.parametrize("seed", range(3))
async def test_burst_at_a_called_service_ends_for_its_callers(
    seed: int, full_factor: float
) -> None:
    """Reads must recover after a burst at the service that they call.

    If nested calls had to wait behind new requests, the callers' requests would hold
    their slots meanwhile, and both services would stay overloaded.
    """
    async with anyio.create_task_group() as tg:
        replay = TwoServices(tg, seed, full_factor)
        length_s = CALM_S + BURST_S + PAUSE_S + AFTER_S
        tg.start_soon(replay.offer, READ, READS_PER_S, length_s)
        tg.start_soon(replay.offer, ORDER, ORDERS_PER_S, length_s)
        await anyio.sleep(CALM_S)
        extra_per_s = (BURST_FACTOR - 1) * ORDERS_PER_S
        tg.start_soon(replay.offer, ORDER, extra_per_s, BURST_S)
    before = replay.get_share(0, CALM_S)
    after = replay.get_share(length_s - AFTER_S, length_s)
    assert after >= 0.9 * before

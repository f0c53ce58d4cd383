"""Guards against a daemon that ends because of an error in a background task."""

import itertools
import logging

import anyio
import pytest

from ..supervision import RESTART_DELAY_S, run_logged, run_supervised

pytestmark = pytest.mark.anyio


async def test_failed_task_is_logged_and_runs_again(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "berylmast")
    starts_s: list[float] = []

    async def run() -> None:
        starts_s.append(anyio.current_time())
        if len(starts_s) < 3:
            async with anyio.create_task_group():
                raise RuntimeError("unexpected")

    await run_supervised("gossip", run)
    pauses_s = [b - a for a, b in itertools.pairwise(starts_s)]
    assert pauses_s == pytest.approx([RESTART_DELAY_S, RESTART_DELAY_S])
    assert caplog.messages.count("task_failed") == 2


async def test_cancelled_task_is_not_run_again() -> None:
    starts = 0

    async def run() -> None:
        nonlocal starts
        starts += 1
        await anyio.sleep_forever()

    with anyio.move_on_after(1):
        await run_supervised("gossip", run)
    assert starts == 1


async def test_failed_task_of_a_shared_group_ends_alone(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "berylmast")

    async def fail() -> None:
        raise RuntimeError("unexpected")

    async with anyio.create_task_group() as tg:
        tg.start_soon(run_logged, "report_handler", fail)
        await anyio.sleep(1)
    assert caplog.messages.count("task_failed") == 1

"""Guards against requests that run twice and wrong outcomes under random faults."""

from functools import partial
from random import Random

import anyio
import pytest

from ...daemons.frames import Frame
from ...tests.fakes import Call, FailurePoint, FakeFleet, FakeStream, run_fleet
from .test_at_most_once import FAULTS

pytestmark = pytest.mark.anyio

NAMES = ("b1", "b2", "b3")
CALLS_PER_SEED = 12
SEEDS = 60
FAULT_RATE = 0.04


def inject_random_faults(fleet: FakeFleet, rng: Random, faults: list[str]) -> None:
    """Inject faults at random frames, and drop half of these frames."""

    def on_frame(link: FakeStream, frame: Frame) -> bool:
        if rng.random() >= FAULT_RATE:
            return True
        FAULTS[rng.choice(faults)](fleet, link)
        return rng.random() < 0.5

    fleet.on_frame = on_frame


def change_backend_states(fleet: FakeFleet, rng: Random) -> None:
    """Make a random backend server fail or recover; restart its owner if stopped."""
    name = rng.choice(NAMES)
    if name in fleet.unreachable:
        fleet.restart(name)
    backend = fleet.backends[name]
    backend.cut_at = rng.choice([None, FailurePoint.CONNECT, *FailurePoint])
    backend.stall_at = rng.choice(
        [None, None, None, FailurePoint.RUN, FailurePoint.RESPONSE]
    )


async def run_calls(
    fleet: FakeFleet, rng: Random, calls: dict[str, Call], key: str | None
) -> None:
    entries = [fleet.entry("e1"), fleet.entry("e2"), fleet.entry("e3", local="b1")]

    async def run(request_id: str) -> None:
        call = partial(rng.choice(entries).call, idempotency_key=key)
        calls[request_id] = await call(request_id=request_id, deadline_ms=4000)

    async with anyio.create_task_group() as tg:
        for number in range(CALLS_PER_SEED):
            tg.start_soon(run, f"r{number}")
            await anyio.sleep(rng.random())
            change_backend_states(fleet, rng)
    await anyio.sleep(30)


async def test_no_request_runs_twice_or_runs_when_reported_not_run() -> None:
    outcomes: set[str] = set()
    for seed in range(SEEDS):
        rng = Random(seed)
        calls: dict[str, Call] = {}
        async with run_fleet(*NAMES) as fleet:
            inject_random_faults(fleet, rng, list(FAULTS))
            await run_calls(fleet, rng, calls, None)
            runs = fleet.count_runs()
        for request_id, call in calls.items():
            outcomes.add(call.outcome)
            assert runs[request_id] <= 1, (seed, request_id)
            assert call.duration_s <= 4.001, (seed, request_id)
            if call.outcome == "not-run":
                assert runs[request_id] == 0, (seed, request_id)
            if call.outcome in ("answered", "failed"):
                assert runs[request_id] == 1, (seed, request_id)
    assert outcomes >= {"answered", "not-run", "unknown"}


async def test_duplicates_of_one_key_run_once_while_its_holders_live() -> None:
    for seed in range(SEEDS):
        rng = Random(seed)
        calls: dict[str, Call] = {}
        async with run_fleet(*NAMES) as fleet:
            inject_random_faults(fleet, rng, ["cut", "silent"])
            await run_calls(fleet, rng, calls, "k1")
            runs = fleet.count_runs()
        assert runs.total() <= 1, seed
        for request_id, call in calls.items():
            if call.outcome == "not-run":
                assert runs[request_id] == 0, (seed, request_id)
            if call.outcome == "answered":
                assert call.response.body == b"onetwo", (seed, request_id)
                assert runs.total() == 1, (seed, request_id)

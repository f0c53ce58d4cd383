"""Runs one cell: injects faults at a step, then checks the invariants."""

from collections.abc import Callable, Sequence

import anyio
import trio._core._run as trio_run
from trio.testing import MockClock

from berylmast.daemons.frames import Body, Continue, End, Frame, Request
from berylmast.tests.fakes import FakeStream

from .checks import Verdict, check_all
from .faults import FAULTS
from .world import STRUCK, World, run_world

REQUEST_STEPS: dict[str, type[Frame]] = {
    "before dispatch": Request,
    "after dispatch": Continue,
    "during response": Body,
    "response lost": End,
}
DOCUMENT_STEPS = ("before commit", "during commit", "after commit", "during rollout")
ADOPTION_LIMIT_S = 9.0
SECOND_FAULT_S = 0.3
STEP_LIMIT_S = 10.0
REPEAT_PAUSE_S = 0.2
CHANGE_DELAY_S = 0.5
CHANGE_TRIES = 3


def run_cell(faults: Sequence[str], step: str, seed: int) -> Verdict:
    """Run one cell on a simulated clock; the seed determines trio's task order."""
    trio_run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(
        _run, tuple(faults), step, backend="trio", backend_options={"clock": clock}
    )


async def _run(faults: tuple[str, ...], step: str) -> Verdict:
    async with run_world() as world:
        rounds = [faults]
        if len(faults) == 2 and faults[0] == faults[1]:
            rounds = [faults[:1], faults[:1]]
        for names in rounds:
            await _run_round(world, names, step)
            await anyio.sleep(REPEAT_PAUSE_S)
        ended_s = anyio.current_time()
        world.calling = False
        await _ensure_change(world)
        last_s = max(ended_s, max(a.ended_s for a in world.operators.reports))
        await anyio.sleep(last_s + ADOPTION_LIMIT_S - anyio.current_time())
        return check_all(world, faults, step)


async def _run_round(world: World, faults: tuple[str, ...], step: str) -> None:
    """Inject the faults once; wait until they and a document change have ended."""
    async with anyio.create_task_group() as tg:

        def strike(target: str) -> None:
            for number, name in enumerate(faults):
                tg.start_soon(_run_fault, world, name, target, number * SECOND_FAULT_S)
            if "store down" in faults and not any(FAULTS[f].breaks for f in faults):
                tg.start_soon(_note_outage, world)

        if step in REQUEST_STEPS:
            await _strike_request(world, faults[0], step, strike)
            await anyio.sleep(CHANGE_DELAY_S)
            await world.operators.apply()
        else:
            await _strike_change(world, faults[0], step, strike)


async def _run_fault(world: World, name: str, target: str, delay_s: float) -> None:
    fault = FAULTS[name]
    if delay_s:
        await anyio.sleep(delay_s)
        fault.begin(world, target)
    await anyio.sleep(fault.duration_s)
    fault.end(world, target)


async def _note_outage(world: World) -> None:
    """Record the active versions late in an outage, when peers have exchanged them."""
    await anyio.sleep(ADOPTION_LIMIT_S)
    world.outage_versions = world.members.versions()


async def _strike_request(
    world: World, fault: str, step: str, strike: Callable[[str], None]
) -> None:
    """Begin the fault when a request that is not idempotent reaches the step."""
    struck = anyio.Event()
    watched: set[tuple[int, int]] = set()

    def on_frame(link: FakeStream, frame: Frame) -> bool:
        key = (id(link if link.to_owner else link.other), frame.exchange)
        if isinstance(frame, Request) and not frame.head.idempotent:
            watched.add(key)
        reached = isinstance(frame, REQUEST_STEPS[step]) and key in watched
        if struck.is_set() or not reached:
            return True
        struck.set()
        FAULTS[fault].begin(world, link.owner)
        strike(link.owner)
        if step == "response lost":
            link.cut()
        return True

    world.on_frame = on_frame
    with anyio.fail_after(STEP_LIMIT_S):
        await struck.wait()


async def _strike_change(
    world: World, fault: str, step: str, strike: Callable[[str], None]
) -> None:
    """Begin the fault at a step of a document change."""
    struck = anyio.Event()
    base = world.operators.stored_version

    def begin() -> None:
        if not struck.is_set():
            struck.set()
            target = STRUCK
            FAULTS[fault].begin(world, target)
            strike(target)

    def see_adopted(version: int) -> None:
        if version > base:
            begin()

    if step == "before commit":
        begin()
        await anyio.sleep(CHANGE_DELAY_S)
    world.operators.platform.on_put = begin if step == "during commit" else None
    world.on_adopted = see_adopted if step == "during rollout" else None
    await world.operators.apply()
    if step == "after commit":
        begin()
    with anyio.fail_after(STEP_LIMIT_S):
        await struck.wait()


async def _ensure_change(world: World) -> None:
    """Apply a change after the faults, so that there is one to adopt."""
    for _ in range(CHANGE_TRIES):
        if await world.operators.apply():
            return

"""Runs one cell: injects faults at a step, then checks the invariants."""

from collections.abc import Callable, Sequence

import anyio
import trio._core._run as trio_run
from trio.testing import MockClock

from berylmast.daemons.frames import Body, Continue, End, Frame, Request
from berylmast.tests.fakes import FakeStream

from .faults import FAULTS
from .invariants import CellViolations, check_all
from .simulation import FAULT_TARGET, Simulation, run_simulation

REQUEST_STEPS: dict[str, type[Frame]] = {
    "before dispatch": Request,
    "after dispatch": Continue,
    "during response": Body,
    "response lost": End,
}
DOCUMENT_STEPS = ("before commit", "during commit", "after commit", "during rollout")
ADOPTION_LIMIT_S = 9.0
SECOND_FAULT_DELAY_S = 0.3
STEP_TIMEOUT_S = 10.0
REPEAT_PAUSE_S = 0.2
CHANGE_DELAY_S = 0.5
CHANGE_ATTEMPTS = 3


def run_cell(faults: Sequence[str], step: str, seed: int) -> CellViolations:
    """Run one cell on a mock clock; the seed determines trio's task order."""
    trio_run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(
        _run, tuple(faults), step, backend="trio", backend_options={"clock": clock}
    )


async def _run(faults: tuple[str, ...], step: str) -> CellViolations:
    async with run_simulation() as simulation:
        rounds = [faults]
        if len(faults) == 2 and faults[0] == faults[1]:
            rounds = [faults[:1], faults[:1]]
        for names in rounds:
            await _run_round(simulation, names, step)
            await anyio.sleep(REPEAT_PAUSE_S)
        ended_s = anyio.current_time()
        simulation.sends_traffic = False
        await _apply_final_change(simulation)
        last_change_s = max(
            ended_s, max(a.ended_s for a in simulation.operators.results)
        )
        await anyio.sleep(last_change_s + ADOPTION_LIMIT_S - anyio.current_time())
        return check_all(simulation, faults, step)


async def _run_round(
    simulation: Simulation, faults: tuple[str, ...], step: str
) -> None:
    """Inject the faults once; wait until they and a document change have ended."""
    async with anyio.create_task_group() as tg:

        def inject(target: str) -> None:
            for number, name in enumerate(faults):
                tg.start_soon(
                    _run_fault, simulation, name, target, number * SECOND_FAULT_DELAY_S
                )
            if "store down" in faults and not any(
                FAULTS[f].breaks_links for f in faults
            ):
                tg.start_soon(_record_outage_versions, simulation)

        if step in REQUEST_STEPS:
            await _inject_at_request_step(simulation, faults[0], step, inject)
            await anyio.sleep(CHANGE_DELAY_S)
            await simulation.operators.apply()
        else:
            await _inject_at_change_step(simulation, faults[0], step, inject)


async def _run_fault(
    simulation: Simulation, name: str, target: str, delay_s: float
) -> None:
    fault = FAULTS[name]
    if delay_s:
        await anyio.sleep(delay_s)
        fault.begin(simulation, target)
    await anyio.sleep(fault.duration_s)
    fault.end(simulation, target)


async def _record_outage_versions(simulation: Simulation) -> None:
    """Record the active versions late in an outage, when peers have exchanged them."""
    await anyio.sleep(ADOPTION_LIMIT_S)
    simulation.outage_versions = simulation.membership.versions()


async def _inject_at_request_step(
    simulation: Simulation, fault: str, step: str, inject: Callable[[str], None]
) -> None:
    """Begin the fault when a request that is not idempotent reaches the step."""
    injected = anyio.Event()
    watched_exchanges: set[tuple[int, int]] = set()

    def on_frame(link: FakeStream, frame: Frame) -> bool:
        key = (id(link if link.to_owner else link.other), frame.exchange)
        if isinstance(frame, Request) and not frame.head.idempotent:
            watched_exchanges.add(key)
        reached = isinstance(frame, REQUEST_STEPS[step]) and key in watched_exchanges
        if injected.is_set() or not reached:
            return True
        injected.set()
        FAULTS[fault].begin(simulation, link.owner)
        inject(link.owner)
        if step == "response lost":
            link.cut()
        return True

    simulation.on_frame = on_frame
    with anyio.fail_after(STEP_TIMEOUT_S):
        await injected.wait()


async def _inject_at_change_step(
    simulation: Simulation, fault: str, step: str, inject: Callable[[str], None]
) -> None:
    """Begin the fault at a step of a document change."""
    injected = anyio.Event()
    base = simulation.operators.stored_version

    def begin() -> None:
        if not injected.is_set():
            injected.set()
            target = FAULT_TARGET
            FAULTS[fault].begin(simulation, target)
            inject(target)

    def handle_adopted(version: int) -> None:
        if version > base:
            begin()

    if step == "before commit":
        begin()
        await anyio.sleep(CHANGE_DELAY_S)
    simulation.operators.platform.on_put = begin if step == "during commit" else None
    simulation.on_adopted = handle_adopted if step == "during rollout" else None
    await simulation.operators.apply()
    if step == "after commit":
        begin()
    with anyio.fail_after(STEP_TIMEOUT_S):
        await injected.wait()


async def _apply_final_change(simulation: Simulation) -> None:
    """Apply a change after the faults, so that there is one to adopt."""
    for _ in range(CHANGE_ATTEMPTS):
        if await simulation.operators.apply():
            return

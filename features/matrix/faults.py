"""The faults of the matrix."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from berylmast.model import EndpointState

from .world import OWNERS, STRUCK, Drain, World

SLOWDOWN = 10
FLOOD_S = 1.5
FLOOD_CALLS_PER_S = 180
"""Four times the capacity of 3 backend servers with 6 slots and 0.4 s per request."""

SLOW_STORE_S = 1.5
RACING_OPERATORS = 3

SPREAD_S = 5.0
"""Within this time a change reaches every daemon that is not isolated."""

LATE_S = 0.2
"""Longer than the entry takes to query an outcome over a new connection."""

Act = Callable[[World, str], None]


@dataclass(frozen=True)
class Fault:
    """One fault: ``begin`` and ``end`` are called with the name of a daemon.

    ``breaks`` says whether the fault breaks connections, so that running requests may
    fail.
    """

    begin: Act
    end: Act = lambda world, target: None
    duration_s: float = 0.0
    breaks: bool = False


def _slow(world: World, target: str) -> None:
    backend = world.requests.backends[target]
    backend.service_time_s, backend.part_pause_s = 0.2 * SLOWDOWN, 0.1 * SLOWDOWN


def _restore(world: World, target: str) -> None:
    backend = world.requests.backends[target]
    backend.service_time_s, backend.part_pause_s, backend.status = 0.2, 0.1, 200


def _drain(world: World, target: str) -> None:
    ledger = world.requests.backends[target].ledger
    running = [run.request_id for run in ledger if not run.completed]
    world.drains.append(Drain(target, anyio.current_time(), running))
    world.requests.admissions[target].draining = True
    world.members.daemons[target].announce_state(EndpointState.DRAINING)
    world.requests.send_goaway(target)


def _end_drain(world: World, target: str) -> None:
    for drain in world.drains:
        drain.ended_s = min(drain.ended_s, anyio.current_time())
    world.requests.admissions[target].draining = False
    daemon = world.members.daemons.get(target)
    if daemon is not None:
        daemon.announce_state(EndpointState.READY)


def _fail_fast(world: World, target: str) -> None:
    backend = world.requests.backends[target]
    backend.service_time_s, backend.part_pause_s, backend.status = 0.001, 0.0, 500


def _flood(priority: str) -> Act:
    async def flood(world: World) -> None:
        for _ in range(int(FLOOD_S * FLOOD_CALLS_PER_S)):
            world.tg.start_soon(world.ask, priority, True)
            await anyio.sleep(1 / FLOOD_CALLS_PER_S)

    def act(world: World, target: str) -> None:
        world.tg.start_soon(flood, world)

    return act


def _set_down(down: bool) -> Act:
    def act(world: World, target: str) -> None:
        world.members.set_store_down(down)
        world.operators.platform.down = down

    return act


def _set_delay(delay_s: float) -> Act:
    def act(world: World, target: str) -> None:
        world.operators.platform.delay_s = delay_s
        for daemon in world.members.daemons.values():
            daemon.platform.delay_s = delay_s

    return act


def _lose_answers(world: World, target: str) -> None:
    world.operators.platform.put_responses_to_lose = 1
    for daemon in world.members.daemons.values():
        daemon.platform.put_responses_to_lose = 1


def _race(world: World, target: str) -> None:
    base = world.operators.stored_version
    for _ in range(RACING_OPERATORS):
        world.tg.start_soon(world.operators.apply, base)


def _pairs(world: World, name: str) -> set[frozenset[str]]:
    return {frozenset({name, other}) for other in (*world.members.daemons, name)}


def _pause(world: World, target: str) -> None:
    """Isolate a daemon: to the others, a paused process does not respond."""
    name = world.paused = STRUCK
    world.members.cut |= _pairs(world, name)
    world.members.daemons[name].platform.down = True
    if name in OWNERS:
        world.requests.silence(name)
        world.requests.unreachable.add(name)


def _resume(world: World, target: str) -> None:
    name = world.paused
    world.members.cut -= _pairs(world, name)
    world.members.daemons[name].platform.down = False
    world.requests.unreachable.discard(name)


def _isolate_peer(world: World, target: str) -> None:
    """Isolate a daemon from changes, then make it the only peer of another daemon.

    Both are cut off from the store, so the other daemon learns only outdated state.
    """
    stale, other = STRUCK, "d1"
    world.paused = stale
    world.members.daemons[stale].platform.down = True
    world.members.cut |= _pairs(world, stale)

    async def leave_stale() -> None:
        await anyio.sleep(SPREAD_S)
        world.members.daemons[other].platform.down = True
        world.members.cut |= _pairs(world, other)
        world.members.cut.discard(frozenset({stale, other}))

    world.tg.start_soon(leave_stale)


def _join_peers(world: World, target: str) -> None:
    for name in (world.paused, "d1"):
        world.members.daemons[name].platform.down = False
    world.members.cut.clear()


def _silence(world: World, target: str) -> None:
    world.members.silence(target)
    if target in OWNERS:
        world.requests.silence(target)


def _cut(world: World, target: str) -> None:
    world.members.cut_links(target)
    if target in OWNERS:
        world.requests.cut(target)


def _cut_late(world: World, target: str) -> None:
    world.members.cut_links(target)
    if target in OWNERS:
        world.requests.cut_late(target)


def _deliver_late(world: World, target: str) -> None:
    # Ending the link at once would cancel the late requests before their admission.
    world.tg.start_soon(world.requests.deliver_late, LATE_S)


def _kill(world: World, target: str) -> None:
    for drain in world.drains:
        drain.ended_s = min(drain.ended_s, anyio.current_time())
    world.stop_member(target)


def _start_again(world: World, target: str) -> None:
    world.start_member(target)
    store = world.operators.platform
    platform = world.members.daemons[target].platform
    platform.down, platform.delay_s = store.down, store.delay_s


FAULTS: dict[str, Fault] = {
    "slow backend": Fault(_slow, _restore, 4.0),
    "draining backend": Fault(_drain, _end_drain, 8.0),
    "fast errors": Fault(_fail_fast, _restore, 4.0),
    "low-priority flood": Fault(_flood("browse"), duration_s=FLOOD_S),
    "high-priority flood": Fault(_flood("urgent"), duration_s=FLOOD_S),
    "store down": Fault(_set_down(True), _set_down(False), 12.0),
    "store slow": Fault(_set_delay(SLOW_STORE_S), _set_delay(0.005), 12.0),
    "write response lost": Fault(_lose_answers),
    "daemon paused": Fault(_pause, _resume, 30.0, breaks=True),
    "stale peer": Fault(_isolate_peer, _join_peers, 20.0),
    "concurrent operators": Fault(_race, duration_s=0.5),
    "connection silent": Fault(_silence, breaks=True),
    "connection closed": Fault(_cut, breaks=True),
    "closed, data late": Fault(_cut_late, _deliver_late, LATE_S, breaks=True),
    "owner killed": Fault(_kill, _start_again, 1.0, breaks=True),
}

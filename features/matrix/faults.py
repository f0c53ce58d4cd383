"""The faults of the matrix."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from berylmast.model import EndpointState

from .simulation import FAULT_TARGET, OWNER_DOMAINS, Drain, Simulation

SLOWDOWN_FACTOR = 10
FLOOD_DURATION_S = 1.5
FLOOD_CALLS_PER_S = 180
"""Four times the capacity of 3 backend servers with 6 slots and 0.4 s per request."""

SLOW_STORE_DELAY_S = 1.5
CONCURRENT_OPERATORS = 3

ROLLOUT_LIMIT_S = 5.0
"""Within this time a change reaches every daemon that is not isolated."""

LATE_DELIVERY_S = 0.2
"""Longer than the entry takes to query an outcome over a new connection."""

FaultAction = Callable[[Simulation, str], None]


@dataclass(frozen=True)
class Fault:
    """One fault; ``end`` is called ``duration_s`` after ``begin``.

    Both are called with the name of a daemon; some faults affect others or all.

    ``breaks_links`` says whether the fault breaks connections, so that running
    requests may fail.
    """

    begin: FaultAction
    end: FaultAction = lambda simulation, target: None
    duration_s: float = 0.0
    breaks_links: bool = False


def _slow_backend(simulation: Simulation, target: str) -> None:
    backend = simulation.requests.backends[target]
    backend.service_time_s, backend.part_pause_s = (
        0.2 * SLOWDOWN_FACTOR,
        0.1 * SLOWDOWN_FACTOR,
    )


def _restore_backend(simulation: Simulation, target: str) -> None:
    backend = simulation.requests.backends[target]
    backend.service_time_s, backend.part_pause_s, backend.status = 0.2, 0.1, 200


def _start_drain(simulation: Simulation, target: str) -> None:
    ledger = simulation.requests.backends[target].ledger
    running = [run.request_id for run in ledger if not run.completed]
    simulation.drains.append(Drain(target, anyio.current_time(), running))
    simulation.requests.admissions[target].draining = True
    simulation.membership.daemons[target].announce_state(EndpointState.DRAINING)
    simulation.requests.send_goaway(target)


def _end_drain(simulation: Simulation, target: str) -> None:
    for drain in simulation.drains:
        drain.ended_s = min(drain.ended_s, anyio.current_time())
    simulation.requests.admissions[target].draining = False
    daemon = simulation.membership.daemons.get(target)
    if daemon is not None:
        daemon.announce_state(EndpointState.READY)


def _return_fast_errors(simulation: Simulation, target: str) -> None:
    backend = simulation.requests.backends[target]
    backend.service_time_s, backend.part_pause_s, backend.status = 0.001, 0.0, 500


def _flood(priority: str) -> FaultAction:
    async def flood(simulation: Simulation) -> None:
        for _ in range(int(FLOOD_DURATION_S * FLOOD_CALLS_PER_S)):
            simulation.tg.start_soon(simulation.send_request, priority, True)
            await anyio.sleep(1 / FLOOD_CALLS_PER_S)

    def change_fleet(simulation: Simulation, target: str) -> None:
        simulation.tg.start_soon(flood, simulation)

    return change_fleet


def _set_store_down(down: bool) -> FaultAction:
    def change_fleet(simulation: Simulation, target: str) -> None:
        simulation.membership.set_store_down(down)
        simulation.operators.platform.down = down

    return change_fleet


def _set_store_delay(delay_s: float) -> FaultAction:
    def change_fleet(simulation: Simulation, target: str) -> None:
        simulation.operators.platform.delay_s = delay_s
        for daemon in simulation.membership.daemons.values():
            daemon.platform.delay_s = delay_s

    return change_fleet


def _lose_write_response(simulation: Simulation, target: str) -> None:
    simulation.operators.platform.put_responses_to_lose = 1
    for daemon in simulation.membership.daemons.values():
        daemon.platform.put_responses_to_lose = 1


def _apply_concurrently(simulation: Simulation, target: str) -> None:
    base = simulation.operators.stored_version
    for _ in range(CONCURRENT_OPERATORS):
        simulation.tg.start_soon(simulation.operators.apply, base)


def _make_pairs(simulation: Simulation, name: str) -> set[frozenset[str]]:
    return {
        frozenset({name, other}) for other in (*simulation.membership.daemons, name)
    }


def _isolate_daemon(simulation: Simulation, target: str) -> None:
    """Isolate a daemon: to the others, a paused process does not respond."""
    name = simulation.isolated_daemon = FAULT_TARGET
    simulation.membership.cut |= _make_pairs(simulation, name)
    simulation.membership.daemons[name].platform.down = True
    if name in OWNER_DOMAINS:
        simulation.requests.silence(name)
        simulation.requests.unreachable.add(name)


def _reconnect_daemon(simulation: Simulation, target: str) -> None:
    name = simulation.isolated_daemon
    simulation.membership.cut -= _make_pairs(simulation, name)
    simulation.membership.daemons[name].platform.down = False
    simulation.requests.unreachable.discard(name)


def _isolate_stale_peer(simulation: Simulation, target: str) -> None:
    """Isolate a daemon from changes, then make it the only peer of another daemon.

    Both are cut off from the store, so the other daemon learns only outdated state.
    """
    stale, other = FAULT_TARGET, "d1"
    simulation.isolated_daemon = stale
    simulation.membership.daemons[stale].platform.down = True
    simulation.membership.cut |= _make_pairs(simulation, stale)

    async def connect_to_stale_peer() -> None:
        await anyio.sleep(ROLLOUT_LIMIT_S)
        simulation.membership.daemons[other].platform.down = True
        simulation.membership.cut |= _make_pairs(simulation, other)
        simulation.membership.cut.discard(frozenset({stale, other}))

    simulation.tg.start_soon(connect_to_stale_peer)


def _reconnect_peers(simulation: Simulation, target: str) -> None:
    for name in (simulation.isolated_daemon, "d1"):
        simulation.membership.daemons[name].platform.down = False
    simulation.membership.cut.clear()


def _silence_links(simulation: Simulation, target: str) -> None:
    simulation.membership.silence(target)
    if target in OWNER_DOMAINS:
        simulation.requests.silence(target)


def _close_links(simulation: Simulation, target: str) -> None:
    simulation.membership.cut_links(target)
    if target in OWNER_DOMAINS:
        simulation.requests.cut(target)


def _close_links_with_late_data(simulation: Simulation, target: str) -> None:
    simulation.membership.cut_links(target)
    if target in OWNER_DOMAINS:
        simulation.requests.cut_late(target)


def _deliver_late_data(simulation: Simulation, target: str) -> None:
    # Ending the link at once would cancel the late requests before their admission.
    simulation.tg.start_soon(simulation.requests.deliver_late, LATE_DELIVERY_S)


def _kill_owner(simulation: Simulation, target: str) -> None:
    for drain in simulation.drains:
        drain.ended_s = min(drain.ended_s, anyio.current_time())
    simulation.kill_daemon(target)


def _restart_owner(simulation: Simulation, target: str) -> None:
    simulation.start_daemon(target)
    store = simulation.operators.platform
    platform = simulation.membership.daemons[target].platform
    platform.down, platform.delay_s = store.down, store.delay_s


FAULTS: dict[str, Fault] = {
    "slow backend": Fault(_slow_backend, _restore_backend, 4.0),
    "draining backend": Fault(_start_drain, _end_drain, 8.0),
    "fast errors": Fault(_return_fast_errors, _restore_backend, 4.0),
    "low-priority flood": Fault(_flood("browse"), duration_s=FLOOD_DURATION_S),
    "high-priority flood": Fault(_flood("urgent"), duration_s=FLOOD_DURATION_S),
    "store down": Fault(_set_store_down(True), _set_store_down(False), 12.0),
    "store slow": Fault(
        _set_store_delay(SLOW_STORE_DELAY_S), _set_store_delay(0.005), 12.0
    ),
    "write response lost": Fault(_lose_write_response),
    "daemon paused": Fault(_isolate_daemon, _reconnect_daemon, 30.0, breaks_links=True),
    "stale peer": Fault(_isolate_stale_peer, _reconnect_peers, 20.0),
    "concurrent operators": Fault(_apply_concurrently, duration_s=0.5),
    "connection silent": Fault(_silence_links, breaks_links=True),
    "connection closed": Fault(_close_links, breaks_links=True),
    "closed, data late": Fault(
        _close_links_with_late_data,
        _deliver_late_data,
        LATE_DELIVERY_S,
        breaks_links=True,
    ),
    "owner killed": Fault(_kill_owner, _restart_owner, 1.0, breaks_links=True),
}

"""Injects the generated faults into the processes of one run."""

import json
import signal
from collections.abc import Awaitable, Callable

import anyio
import httpcore

from ..fleet import HOST
from ..platform_fleet import PlatformMember, wait_ready
from .configurations import Configurations
from .layout import SoakFleet, find_source
from .links import LinkState, Mode
from .promises import STORE, Leave
from .schedule import Fault, Kind

Control = dict[str, object]

CONTROL_S = 1.0
START_S = 8.0
LEAVE_POLL_S = 0.05
LEAVE_WAIT_S = 5.0
LINK_DELAY_S = 0.15
CLOCK_STEP_S = 3.0
SLOW_BY = 6.0
STORE_CONTROLS: dict[str, Control] = {
    "refuse": {"outage": "refuse"},
    "limit": {"outage": "limit"},
    "hang": {"outage": "hang"},
    "refuse_some": {"outage": "refuse"},
    "limit_some": {"outage": "limit"},
    "hang_some": {"outage": "hang"},
    "slow": {"slow_s": 0.3},
    "lose": {"lose_answers": 3},
    "late": {"lose_answers": 3, "late_s": 2.0},
    "compact": {"compact": True},
    "silent_watches": {"silent_watches": True},
}
STORE_CALM: Control = {
    "outage": "",
    "hosts": (),
    "slow_s": 0.0,
    "lose_answers": 0,
    "late_s": 0.0,
}


class Striker:
    """Begins and ends each fault.

    Faults that stop, suspend, replace or reload one process wait for each other, and so
    do faults on one link and on the store. Clock steps and slow or garbled responses
    take no lock, so the end of one also ends another of the same kind.
    """

    def __init__(self, fleet: SoakFleet, configurations: Configurations) -> None:
        self.leaves: list[Leave] = []
        self._fleet = fleet
        self._configurations = configurations
        self._strikes: dict[Kind, Callable[[Fault, PlatformMember], Awaitable[None]]]
        self._strikes = {
            Kind.DAEMON_KILL: self._kill_daemon,
            Kind.DAEMON_STOP: self._stop_daemon,
            Kind.DAEMON_FREEZE: self._freeze_daemon,
            Kind.DAEMON_HUP: self._reload_daemon,
            Kind.DAEMONS_KILL: self._kill_daemons,
            Kind.CLOCK_STEP: self._step_clock,
            Kind.BACKEND_KILL: self._kill_backend,
            Kind.BACKEND_FREEZE: self._freeze_backend,
            Kind.BACKEND_LEAVE: self._leave,
            Kind.BACKEND_SLOW: self._spoil_backend,
            Kind.BACKEND_GARBLE: self._spoil_backend,
            Kind.STORE_FREEZE: self._freeze_store,
            Kind.STORE_FAULT: self._spoil_store,
            Kind.LINK_HOLD: self._harm_link,
            Kind.LINK_DELAY: self._harm_link,
            Kind.LINK_REFUSE: self._harm_link,
            Kind.LINK_RESET: self._reset_link,
            Kind.CONFIGURATION: self._configure,
        }

    async def strike(self, fault: Fault, start_s: float) -> None:
        """Wait for the start time of a fault, inject it and end it."""
        await anyio.sleep_until(start_s + fault.at_s)
        member = self._fleet.members[fault.member]
        await self._strikes[fault.kind](fault, member)

    async def _kill_daemon(self, fault: Fault, member: PlatformMember) -> None:
        name = f"daemon-{member.name}"
        async with self._fleet.locks[name]:
            with self._fleet.disturb(member.name):
                await self._fleet.kill(name)
                await self._start_daemon(fault, member)

    async def _start_daemon(self, fault: Fault, member: PlatformMember) -> None:
        """Start a daemon after the fault's duration and wait until it is ready.

        The fault counts until then: on a busy machine a start took 5 s.
        """
        await anyio.sleep(fault.for_s)
        self._fleet.start_platform_daemon(member)
        with anyio.move_on_after(START_S):
            await wait_ready(member)

    async def _stop_daemon(self, fault: Fault, member: PlatformMember) -> None:
        name = f"daemon-{member.name}"
        async with self._fleet.locks[name]:
            with self._fleet.disturb(member.name):
                await self._fleet.stop(name)
                await self._start_daemon(fault, member)

    async def _kill_daemons(self, fault: Fault, _member: PlatformMember) -> None:
        async with anyio.create_task_group() as tg:
            for member in self._fleet.members:
                tg.start_soon(self._kill_daemon, fault, member)

    async def _freeze_daemon(self, fault: Fault, member: PlatformMember) -> None:
        name = f"daemon-{member.name}"
        async with self._fleet.locks[name]:
            with self._fleet.disturb(member.name), self._fleet.frozen(name):
                await anyio.sleep(fault.for_s)

    async def _reload_daemon(self, _fault: Fault, member: PlatformMember) -> None:
        name = f"daemon-{member.name}"
        async with self._fleet.locks[name]:
            # Before the daemon installs a handler, SIGHUP would terminate it.
            await self._wait_handler(name)
            self._fleet.processes[name].send_signal(signal.SIGHUP)

    async def _wait_handler(self, name: str) -> None:
        with anyio.move_on_after(CONTROL_S):
            while not _handles_hangup(self._fleet.processes[name].pid):
                await anyio.sleep(LEAVE_POLL_S)

    async def _step_clock(self, fault: Fault, member: PlatformMember) -> None:
        sign = 1 if fault.how == "ahead" else -1
        with self._fleet.disturb(member.name):
            self._fleet.step_clock(member, sign * CLOCK_STEP_S)
            await anyio.sleep(fault.for_s)
            self._fleet.step_clock(member, 0.0)

    async def _kill_backend(self, fault: Fault, member: PlatformMember) -> None:
        name = f"backend-{member.name}"
        async with self._fleet.locks[name]:
            with self._fleet.disturb(member.name):
                await self._fleet.kill(name)
                await anyio.sleep(fault.for_s)
                self._fleet.start_platform_backend(member)

    async def _freeze_backend(self, fault: Fault, member: PlatformMember) -> None:
        name = f"backend-{member.name}"
        async with self._fleet.locks[name]:
            with self._fleet.disturb(member.name), self._fleet.frozen(name):
                await anyio.sleep(fault.for_s)

    async def _leave(self, fault: Fault, member: PlatformMember) -> None:
        """Make a backend server report that it leaves, serve on, then replace it."""
        name = f"backend-{member.name}"
        async with self._fleet.locks[name]:
            await _call(member.backend, "_control", {"draining": True})
            server = self._fleet.get_server(member)
            with anyio.move_on_after(LEAVE_WAIT_S):
                while not (await _call(member.backend, "_state")).get("acknowledged"):
                    await anyio.sleep(LEAVE_POLL_S)
                self.leaves.append(Leave(server, anyio.current_time()))
            await anyio.sleep(LEAVE_WAIT_S - fault.for_s)
            await self._fleet.kill(name)
            self._fleet.start_platform_backend(member)

    async def _spoil_backend(self, fault: Fault, member: PlatformMember) -> None:
        slow = fault.kind is Kind.BACKEND_SLOW
        begin: Control = {"slow": SLOW_BY} if slow else {"garble": fault.how}
        end: Control = {"slow": 1.0} if slow else {"garble": ""}
        await _call(member.backend, "_control", begin)
        await anyio.sleep(fault.for_s)
        await _call(member.backend, "_control", end)

    async def _freeze_store(self, fault: Fault, _member: PlatformMember) -> None:
        async with self._fleet.locks[STORE]:
            with self._fleet.disturb(STORE), self._fleet.frozen("platform"):
                await anyio.sleep(fault.for_s)

    async def _spoil_store(self, fault: Fault, _member: PlatformMember) -> None:
        address = f"{HOST}:{self._fleet.platform_port}"
        async with self._fleet.locks[STORE]:
            with self._fleet.disturb(STORE):
                hosts = _find_hosts(fault, len(self._fleet.members))
                control = STORE_CONTROLS[fault.how] | {"hosts": hosts}
                await _call(address, "control", control)
                await anyio.sleep(fault.for_s)
                await _call(address, "control", STORE_CALM)

    async def _harm_link(self, fault: Fault, member: PlatformMember) -> None:
        link = self._fleet.links[member.name, fault.link]
        states = {
            Kind.LINK_DELAY: LinkState(delay_s=LINK_DELAY_S),
            Kind.LINK_REFUSE: LinkState(Mode.REFUSE),
        }
        async with self._fleet.locks[f"{member.name} {fault.link}"]:
            with self._fleet.disturb(member.name):
                link.set_state(states.get(fault.kind) or LinkState(Mode(fault.how)))
                await anyio.sleep(fault.for_s)
                link.set_state(LinkState())

    async def _reset_link(self, fault: Fault, member: PlatformMember) -> None:
        with self._fleet.disturb(member.name):
            await self._fleet.links[member.name, fault.link].reset()

    async def _configure(self, fault: Fault, _member: PlatformMember) -> None:
        await self._configurations.change(fault.how)


def _find_hosts(fault: Fault, members: int) -> list[str]:
    """Return the source addresses that a store fault affects; empty for all.

    Variants that end in "_some" affect half of the instances.
    """
    if not fault.how.endswith("_some"):
        return []
    return [
        find_source((fault.member + number) % members) for number in range(members // 2)
    ]


async def _call(address: str, path: str, change: Control | None = None) -> Control:
    """Call a simulated server's control interface; returns {} if it is unreachable."""
    method = "GET" if change is None else "POST"
    content = None if change is None else json.dumps(change).encode()
    try:
        with anyio.fail_after(CONTROL_S):
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}/{path}"
                res = await pool.request(method, url, content=content)
                found: Control = json.loads(res.content)
                return found
    except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError):
        # Another fault has stopped the server, so this one has no effect.
        return {}


def _handles_hangup(pid: int) -> bool:
    with open(f"/proc/{pid}/status") as file:
        fields = dict(line.split(":", 1) for line in file if ":" in line)
    return bool(int(fields["SigCgt"], 16) & (1 << (signal.SIGHUP - 1)))

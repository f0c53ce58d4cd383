"""Injects the generated faults into the processes of one run."""

import json
import signal
from collections.abc import Awaitable, Callable

import anyio
import httpcore

from ..fleet import HOST
from ..platform_fleet import PlatformMember, wait_until_ready
from .configuration_writer import ConfigurationWriter
from .fault_schedule import Fault, FaultKind
from .invariants import STORE, BackendLeave
from .link_proxy import LinkMode, LinkState
from .other_writer import make_entry, make_report
from .soak_fleet import SoakFleet, get_source_address

JsonObject = dict[str, object]

CONTROL_TIMEOUT_S = 1.0
START_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.05
LEAVE_TIMEOUT_S = 5.0
LINK_DELAY_S = 0.15
CLOCK_STEP_S = 3.0
SLOWDOWN_FACTOR = 6.0
STORE_FAULTS: dict[str, JsonObject] = {
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
STORE_WITHOUT_FAULT: JsonObject = {
    "outage": "",
    "hosts": (),
    "slow_s": 0.0,
    "lose_answers": 0,
    "late_s": 0.0,
}


class FaultInjector:
    """Begins and ends each fault.

    Faults that stop, suspend, replace or reload one process wait for each other, and so
    do faults on one link and on the store. Clock steps and slow or garbled responses
    take no lock, so the end of one also ends another of the same kind.
    """

    def __init__(
        self, fleet: SoakFleet, configuration_writer: ConfigurationWriter
    ) -> None:
        self.leaves: list[BackendLeave] = []
        self._entries: list[str] = []
        self._fleet = fleet
        self._configuration_writer = configuration_writer
        self._injectors: dict[
            FaultKind, Callable[[Fault, PlatformMember], Awaitable[None]]
        ]
        self._injectors = {
            FaultKind.DAEMON_KILL: self._kill_daemon,
            FaultKind.DAEMON_STOP: self._stop_daemon,
            FaultKind.DAEMON_FREEZE: self._freeze_daemon,
            FaultKind.DAEMON_HUP: self._reload_daemon,
            FaultKind.DAEMONS_KILL: self._kill_daemons,
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.BACKEND_KILL: self._kill_backend,
            FaultKind.BACKEND_FREEZE: self._freeze_backend,
            FaultKind.BACKEND_LEAVE: self._drain_and_replace_backend,
            FaultKind.BACKEND_SLOW: self._impair_backend,
            FaultKind.BACKEND_GARBLE: self._impair_backend,
            FaultKind.STORE_FREEZE: self._freeze_store,
            FaultKind.STORE_FAULT: self._impair_store,
            FaultKind.LINK_HOLD: self._impair_link,
            FaultKind.LINK_DELAY: self._impair_link,
            FaultKind.LINK_REFUSE: self._impair_link,
            FaultKind.LINK_RESET: self._reset_link,
            FaultKind.CONFIGURATION: self._change_configuration,
            FaultKind.OTHER_WRITER: self._write_as_another,
        }

    async def inject(self, fault: Fault, start_s: float) -> None:
        """Wait for the start time of a fault, inject it and end it."""
        await anyio.sleep_until(start_s + fault.at_s)
        member = self._fleet.members[fault.member]
        await self._injectors[fault.kind](fault, member)

    async def _kill_daemon(self, fault: Fault, member: PlatformMember) -> None:
        name = f"daemon-{member.name}"
        async with self._fleet.fault_locks[name]:
            with self._fleet.record_fault(member.name):
                await self._fleet.kill(name)
                await self._start_daemon(fault, member)

    async def _start_daemon(self, fault: Fault, member: PlatformMember) -> None:
        """Start a daemon after the fault's duration and wait until it is ready.

        The fault counts until then: on a busy machine a start took 5 s.
        """
        await anyio.sleep(fault.for_s)
        self._fleet.start_platform_daemon(member)
        with anyio.move_on_after(START_TIMEOUT_S):
            await wait_until_ready(member)

    async def _stop_daemon(self, fault: Fault, member: PlatformMember) -> None:
        name = f"daemon-{member.name}"
        async with self._fleet.fault_locks[name]:
            with self._fleet.record_fault(member.name):
                await self._fleet.stop(name)
                await self._start_daemon(fault, member)

    async def _kill_daemons(self, fault: Fault, _member: PlatformMember) -> None:
        async with anyio.create_task_group() as tg:
            for member in self._fleet.members:
                tg.start_soon(self._kill_daemon, fault, member)

    async def _freeze_daemon(self, fault: Fault, member: PlatformMember) -> None:
        name = f"daemon-{member.name}"
        async with self._fleet.fault_locks[name]:
            with self._fleet.record_fault(member.name), self._fleet.suspend(name):
                await anyio.sleep(fault.for_s)

    async def _reload_daemon(self, _fault: Fault, member: PlatformMember) -> None:
        name = f"daemon-{member.name}"
        async with self._fleet.fault_locks[name]:
            # Before the daemon installs a handler, SIGHUP would terminate it.
            await self._wait_for_hangup_handler(name)
            self._fleet.processes[name].send_signal(signal.SIGHUP)

    async def _wait_for_hangup_handler(self, name: str) -> None:
        with anyio.move_on_after(CONTROL_TIMEOUT_S):
            while not _handles_hangup(self._fleet.processes[name].pid):
                await anyio.sleep(POLL_INTERVAL_S)

    async def _step_clock(self, fault: Fault, member: PlatformMember) -> None:
        sign = 1 if fault.how == "ahead" else -1
        with self._fleet.record_fault(member.name):
            self._fleet.set_clock_offset(member, sign * CLOCK_STEP_S)
            await anyio.sleep(fault.for_s)
            self._fleet.set_clock_offset(member, 0.0)

    async def _kill_backend(self, fault: Fault, member: PlatformMember) -> None:
        name = f"backend-{member.name}"
        async with self._fleet.fault_locks[name]:
            with self._fleet.record_fault(member.name):
                await self._fleet.kill(name)
                await anyio.sleep(fault.for_s)
                self._fleet.start_platform_backend(member)

    async def _freeze_backend(self, fault: Fault, member: PlatformMember) -> None:
        name = f"backend-{member.name}"
        async with self._fleet.fault_locks[name]:
            with self._fleet.record_fault(member.name), self._fleet.suspend(name):
                await anyio.sleep(fault.for_s)

    async def _drain_and_replace_backend(
        self, fault: Fault, member: PlatformMember
    ) -> None:
        """Make a backend server report that it leaves, serve on, then replace it."""
        name = f"backend-{member.name}"
        async with self._fleet.fault_locks[name]:
            await _call_control_interface(
                member.backend_address, "_control", {"draining": True}
            )
            server = self._fleet.get_server_id(member)
            with anyio.move_on_after(LEAVE_TIMEOUT_S):
                while not (
                    await _call_control_interface(member.backend_address, "_state")
                ).get("acknowledged"):
                    await anyio.sleep(POLL_INTERVAL_S)
                self.leaves.append(BackendLeave(server, anyio.current_time()))
            await anyio.sleep(LEAVE_TIMEOUT_S - fault.for_s)
            await self._fleet.kill(name)
            self._fleet.start_platform_backend(member)

    async def _impair_backend(self, fault: Fault, member: PlatformMember) -> None:
        slow = fault.kind is FaultKind.BACKEND_SLOW
        begin: JsonObject = {"slow": SLOWDOWN_FACTOR} if slow else {"garble": fault.how}
        end: JsonObject = {"slow": 1.0} if slow else {"garble": ""}
        await _call_control_interface(member.backend_address, "_control", begin)
        await anyio.sleep(fault.for_s)
        await _call_control_interface(member.backend_address, "_control", end)

    async def _freeze_store(self, fault: Fault, _member: PlatformMember) -> None:
        async with self._fleet.fault_locks[STORE]:
            with self._fleet.record_fault(STORE), self._fleet.suspend("platform"):
                await anyio.sleep(fault.for_s)

    async def _impair_store(self, fault: Fault, _member: PlatformMember) -> None:
        address = f"{HOST}:{self._fleet.platform_port}"
        async with self._fleet.fault_locks[STORE]:
            with self._fleet.record_fault(STORE):
                hosts = _select_affected_sources(fault, len(self._fleet.members))
                control = STORE_FAULTS[fault.how] | {"hosts": hosts}
                await _call_control_interface(address, "control", control)
                await anyio.sleep(fault.for_s)
                await _call_control_interface(address, "control", STORE_WITHOUT_FAULT)

    async def _impair_link(self, fault: Fault, member: PlatformMember) -> None:
        link = self._fleet.link_proxies[member.name, fault.link]
        states = {
            FaultKind.LINK_DELAY: LinkState(delay_s=LINK_DELAY_S),
            FaultKind.LINK_REFUSE: LinkState(LinkMode.REFUSE),
        }
        async with self._fleet.fault_locks[f"{member.name} {fault.link}"]:
            with self._fleet.record_fault(member.name):
                link.set_state(states.get(fault.kind) or LinkState(LinkMode(fault.how)))
                await anyio.sleep(fault.for_s)
                link.set_state(LinkState())

    async def _reset_link(self, fault: Fault, member: PlatformMember) -> None:
        with self._fleet.record_fault(member.name):
            await self._fleet.link_proxies[member.name, fault.link].reset()

    async def _change_configuration(
        self, fault: Fault, _member: PlatformMember
    ) -> None:
        await self._configuration_writer.change(fault.how)

    async def _write_as_another(self, fault: Fault, member: PlatformMember) -> None:
        """Send a report, or store an entry that stays, of another writer."""
        if fault.how.startswith("entry"):
            self._entries.append(make_entry(fault.how, member.service))
            address = f"{HOST}:{self._fleet.platform_port}"
            change: JsonObject = {"other_entries": self._entries}
            await _call_control_interface(address, "control", change)
            return
        address = f"{HOST}:{self._fleet.get_link_port(member, 'backend')}"
        report = make_report(fault.how, member.service, address)
        await _post(f"http://{member.heartbeat_address}{report.path}", report.body)


def _select_affected_sources(fault: Fault, member_count: int) -> list[str]:
    """Return the source addresses that a store fault affects; empty for all.

    Variants that end in "_some" affect half of the instances.
    """
    if not fault.how.endswith("_some"):
        return []
    return [
        get_source_address((fault.member + number) % member_count)
        for number in range(member_count // 2)
    ]


async def _call_control_interface(
    address: str, path: str, change: JsonObject | None = None
) -> JsonObject:
    """Call a simulated server's control interface; returns {} if it is unreachable."""
    method = "GET" if change is None else "POST"
    content = None if change is None else json.dumps(change).encode()
    try:
        with anyio.fail_after(CONTROL_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}/{path}"
                res = await pool.request(method, url, content=content)
                found: JsonObject = json.loads(res.content)
                return found
    except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError):
        # Another fault has stopped the server, so this one has no effect.
        return {}


async def _post(url: str, content: bytes) -> None:
    """Send a request whose response doesn't matter."""
    try:
        with anyio.fail_after(CONTROL_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                await pool.request("POST", url, content=content)
    except (TimeoutError, httpcore.NetworkError, httpcore.ProtocolError):
        # Another fault has stopped the daemon.
        return


def _handles_hangup(pid: int) -> bool:
    with open(f"/proc/{pid}/status") as file:
        fields = dict(line.split(":", 1) for line in file if ":" in line)
    return bool(int(fields["SigCgt"], 16) & (1 << (signal.SIGHUP - 1)))

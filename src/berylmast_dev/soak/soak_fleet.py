"""The processes of one run, with a proxy in front of each address they connect to."""

import json
import os
import signal
import subprocess
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import anyio

from ..fleet import HOST, reserve_ports
from ..platform_fleet import PlatformFleet, PlatformMember
from .fault_schedule import LINKS
from .invariants import STORE, BackendRun
from .link_proxy import LinkProxy

FAILURE_DOMAINS = [("north", "n1"), ("north", "n2"), ("south", "s1")]
"""Regions and failure domains; each service has one instance in each."""

SKEW_FILE_VARIABLE = "BERYLMAST_SOAK_SKEW_FILE"
LEAVE_S = 2.0
STOP_TIMEOUT_S = 6.0
DAEMON_MODULE = "berylmast_dev.soak.skewed_daemon"


class SoakFleet(PlatformFleet):
    """Starts each process behind its proxies and reads the logs and runs it wrote.

    ``fault_periods`` holds the periods of the faults of each instance and the store.
    """

    def __init__(
        self, folder: Path, platform_port: int, members: list[PlatformMember]
    ) -> None:
        super().__init__(folder, platform_port, DAEMON_MODULE)
        self.members = members
        self.folder = folder
        self.link_proxies = {
            (member.name, link): LinkProxy(
                reserve_ports(1),
                _get_target_port(member, link, platform_port),
                get_source_address(number),
            )
            for number, member in enumerate(members)
            for link in LINKS
        }
        self.fault_periods: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.fault_locks: dict[str, anyio.Lock] = defaultdict(anyio.Lock)
        self.unexpected_exits: list[str] = []
        self._start_counts: dict[str, int] = defaultdict(int)

    def get_link_port(self, member: PlatformMember, link: str) -> int:
        """Return the port on which the proxy of a link listens."""
        return self.link_proxies[member.name, link].port

    def start_member(self, member: PlatformMember) -> None:
        """Start the backend server and the daemon of one instance."""
        self.start_platform_backend(member)
        self.start_platform_daemon(member)

    def start_platform_backend(self, member: PlatformMember) -> None:
        """Start a backend server under a new id; it writes its runs to a file."""
        self._start_counts[member.name] += 1
        args = [
            f"--name={self.get_server_id(member)}",
            f"--service={member.service}",
            f"--port={member.port + 4}",
            f"--address={HOST}:{self.get_link_port(member, 'backend')}",
            f"--control={HOST}:{self.get_link_port(member, 'reports')}",
            f"--slots={member.slots}",
            f"--mean-ms={member.mean_ms}",
            f"--ledger={self.folder / f'{member.name}.runs'}",
        ]
        if member.call:
            port = self.get_link_port(member, "callers")
            args.append(f"--call={HOST}:{port} {member.call}")
        name = f"backend-{member.name}"
        self.start_process(name, "berylmast_dev.platform_backend", *args)

    def get_server_id(self, member: PlatformMember) -> str:
        """Return the id of the backend server started last."""
        return f"i-{member.name}-{self._start_counts[member.name]}"

    def make_settings(self, member: PlatformMember) -> dict[str, Any]:
        """Return settings with the addresses of the proxies."""
        return super().make_settings(member) | {
            "backend": f"{HOST}:{self.get_link_port(member, 'backend')}",
            "advertised": f"{HOST}:{self.get_link_port(member, 'peers')}",
            "platform": f"{HOST}:{self.get_link_port(member, 'store')}",
            "leave_s": f"{LEAVE_S}s",
        }

    def start_platform_daemon(self, member: PlatformMember) -> None:
        """Start a daemon whose wall clock is offset by its instance's skew file."""
        os.environ[SKEW_FILE_VARIABLE] = str(self._get_skew_file(member))
        super().start_platform_daemon(member)

    def set_clock_offset(self, member: PlatformMember, offset_s: float) -> None:
        """Set the offset of a daemon's wall clock.

        The file is replaced atomically, since the daemon reads it at any time.
        """
        path = self._get_skew_file(member)
        path.with_suffix(".new").write_text(str(offset_s))
        path.with_suffix(".new").replace(path)

    def _get_skew_file(self, member: PlatformMember) -> Path:
        return self.folder / f"{member.name}.skew"

    @contextmanager
    def record_fault(self, name: str) -> Iterator[None]:
        """Record the block as a period of a fault on an instance or the store."""
        begin_s = anyio.current_time()
        periods = self.fault_periods[name]
        number = len(periods)
        periods.append((begin_s, float("inf")))
        try:
            yield
        finally:
            periods[number] = (begin_s, anyio.current_time())

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self._record_unexpected_exit(name)
        self.processes[name].kill()
        await self._wait_for_exit(name)

    async def stop(self, name: str) -> None:
        """Terminate a process; kill it if it runs longer than ``STOP_TIMEOUT_S``."""
        self._record_unexpected_exit(name)
        self.processes[name].terminate()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            await self._wait_for_exit(name)
            return
        await self.kill(name)

    @contextmanager
    def suspend(self, name: str) -> Iterator[None]:
        """Suspend a process for the length of the block."""
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            process.send_signal(signal.SIGCONT)

    def record_unexpected_exits(self) -> None:
        """Record the processes that exited although no fault stopped them."""
        for name in self.processes:
            self._record_unexpected_exit(name)

    def _record_unexpected_exit(self, name: str) -> None:
        status = self.processes[name].poll()
        if status is not None:
            self.unexpected_exits.append(f"{name} exited with status {status}")

    async def _wait_for_exit(self, name: str) -> None:
        process: subprocess.Popen[bytes] = self.processes[name]
        while process.poll() is None:
            await anyio.sleep(0.02)

    def read_runs(self) -> list[BackendRun]:
        """Return the runs of all backend servers, including those that were killed."""
        runs = []
        for member in self.members:
            path = self.folder / f"{member.name}.runs"
            lines = path.read_text().splitlines() if path.exists() else []
            runs += [
                BackendRun(instance=member.name, **json.loads(line)) for line in lines
            ]
        return runs

    def read_logs(self) -> dict[str, str]:
        """Return the logs by process name."""
        return {path.stem: path.read_text() for path in self.folder.glob("*.log")}


def get_source_address(number: int) -> str:
    """Return the loopback address from which an instance's proxies connect.

    The store tells instances apart by it.
    """
    return f"127.0.1.{number + 1}"


def _get_target_port(member: PlatformMember, link: str, platform_port: int) -> int:
    ports = {
        "callers": member.port,
        "peers": member.port + 1,
        "reports": member.port + 3,
        "backend": member.port + 4,
        STORE: platform_port,
    }
    return ports[link]

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

from ..fleet import HOST, find_ports
from ..platform_fleet import PlatformFleet, PlatformMember
from .links import Link
from .promises import STORE, Run
from .schedule import LINKS

ZONES = [("north", "n1"), ("north", "n2"), ("south", "s1")]
"""Regions and failure domains; each service has one instance in each."""

SKEW_FILE = "BERYLMAST_SOAK_SKEW_FILE"
LEAVE_S = 2.0
STOP_S = 6.0
DAEMON_MODULE = "berylmast_dev.soak.skewed_daemon"


class SoakFleet(PlatformFleet):
    """Starts each process behind its proxies and reads the logs and runs it wrote.

    ``disturbed`` holds, for each instance and the store, the periods in which a fault
    affected it.
    """

    def __init__(
        self, folder: Path, platform_port: int, members: list[PlatformMember]
    ) -> None:
        super().__init__(folder, platform_port, DAEMON_MODULE)
        self.members = members
        self.folder = folder
        self.links = {
            (member.name, link): Link(
                find_ports(1),
                _find_target(member, link, platform_port),
                find_source(number),
            )
            for number, member in enumerate(members)
            for link in LINKS
        }
        self.disturbed: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.locks: dict[str, anyio.Lock] = defaultdict(anyio.Lock)
        self.ended_by_themselves: list[str] = []
        self._starts: dict[str, int] = defaultdict(int)

    def get_port(self, member: PlatformMember, link: str) -> int:
        """Return the port on which the proxy of a link listens."""
        return self.links[member.name, link].port

    def start_member(self, member: PlatformMember) -> None:
        """Start the backend server and the daemon of one instance."""
        self.start_platform_backend(member)
        self.start_platform_daemon(member)

    def start_platform_backend(self, member: PlatformMember) -> None:
        """Start a backend server under a new id; it writes its runs to a file."""
        self._starts[member.name] += 1
        args = [
            f"--name={self.get_server(member)}",
            f"--service={member.service}",
            f"--port={member.port + 4}",
            f"--address={HOST}:{self.get_port(member, 'backend')}",
            f"--control={HOST}:{self.get_port(member, 'reports')}",
            f"--slots={member.slots}",
            f"--mean-ms={member.mean_ms}",
            f"--ledger={self.folder / f'{member.name}.runs'}",
        ]
        if member.call:
            port = self.get_port(member, "callers")
            args.append(f"--call={HOST}:{port} {member.call}")
        name = f"backend-{member.name}"
        self.start_process(name, "berylmast_dev.platform_backend", *args)

    def get_server(self, member: PlatformMember) -> str:
        """Return the id of the backend server started last."""
        return f"i-{member.name}-{self._starts[member.name]}"

    def make_settings(self, member: PlatformMember) -> dict[str, Any]:
        """Return settings with the addresses of the proxies."""
        return super().make_settings(member) | {
            "backend": f"{HOST}:{self.get_port(member, 'backend')}",
            "advertised": f"{HOST}:{self.get_port(member, 'peers')}",
            "platform": f"{HOST}:{self.get_port(member, 'store')}",
            "leave_s": f"{LEAVE_S}s",
        }

    def start_platform_daemon(self, member: PlatformMember) -> None:
        """Start a daemon whose wall clock is offset by its instance's skew file."""
        os.environ[SKEW_FILE] = str(self._find_skew_file(member))
        super().start_platform_daemon(member)

    def step_clock(self, member: PlatformMember, by_s: float) -> None:
        """Set the offset of a daemon's wall clock.

        The file is replaced atomically, since the daemon reads it at any time.
        """
        path = self._find_skew_file(member)
        path.with_suffix(".new").write_text(str(by_s))
        path.with_suffix(".new").replace(path)

    def _find_skew_file(self, member: PlatformMember) -> Path:
        return self.folder / f"{member.name}.skew"

    @contextmanager
    def disturb(self, name: str) -> Iterator[None]:
        """Record the block as a period of a fault on an instance or the store."""
        begin_s = anyio.current_time()
        spans = self.disturbed[name]
        number = len(spans)
        spans.append((begin_s, float("inf")))
        try:
            yield
        finally:
            spans[number] = (begin_s, anyio.current_time())

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self._note_own_end(name)
        self.processes[name].kill()
        await self._wait_end(name)

    async def stop(self, name: str) -> None:
        """Terminate a process; kill it if it does not exit within ``STOP_S``."""
        self._note_own_end(name)
        self.processes[name].terminate()
        with anyio.move_on_after(STOP_S):
            await self._wait_end(name)
            return
        await self.kill(name)

    @contextmanager
    def frozen(self, name: str) -> Iterator[None]:
        """Suspend a process for the length of the block."""
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            process.send_signal(signal.SIGCONT)

    def note_own_ends(self) -> None:
        """Record the processes that exited although no fault stopped them."""
        for name in self.processes:
            self._note_own_end(name)

    def _note_own_end(self, name: str) -> None:
        status = self.processes[name].poll()
        if status is not None:
            self.ended_by_themselves.append(f"{name} exited with status {status}")

    async def _wait_end(self, name: str) -> None:
        process: subprocess.Popen[bytes] = self.processes[name]
        while process.poll() is None:
            await anyio.sleep(0.02)

    def read_runs(self) -> list[Run]:
        """Return the runs of all backend servers, including those that were killed."""
        runs = []
        for member in self.members:
            path = self.folder / f"{member.name}.runs"
            lines = path.read_text().splitlines() if path.exists() else []
            runs += [Run(instance=member.name, **json.loads(line)) for line in lines]
        return runs

    def read_logs(self) -> dict[str, str]:
        """Return the logs by process name."""
        return {path.stem: path.read_text() for path in self.folder.glob("*.log")}


def find_source(number: int) -> str:
    """Return the loopback address from which an instance's proxies connect.

    The store tells instances apart by it.
    """
    return f"127.0.1.{number + 1}"


def _find_target(member: PlatformMember, link: str, platform_port: int) -> int:
    ports = {
        "callers": member.port,
        "peers": member.port + 1,
        "reports": member.port + 3,
        "backend": member.port + 4,
        STORE: platform_port,
    }
    return ports[link]

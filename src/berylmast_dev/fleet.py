"""Starts daemons and the simulators around them as child processes."""

import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

import anyio
import httpcore

HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 5.0
LOG_TAIL_CHARS = 1_500
PORTS_PER_MEMBER = 4
DAEMON_MODULE = "berylmast.bin.berylmastd"
# Below the range from which the kernel assigns ports to outgoing connections.
_PORT_RANGE = range(20_000, 32_000)


@dataclass(frozen=True, slots=True)
class Member:
    """One instance: a backend server and the daemon beside it."""

    name: str
    service: str
    region: str
    failure_domain: str
    slots: int
    mean_ms: float
    port: int
    """First of four consecutive ports: callers, peers, admin, backend server."""

    health: bool = False
    """Whether the daemon polls the health endpoint of the backend server."""

    @property
    def caller_address(self) -> tuple[str, int]:
        """Return the address at which the daemon accepts callers."""
        return (HOST, self.port)

    @property
    def backend_address(self) -> tuple[str, int]:
        """Return the address of the backend server."""
        return (HOST, self.port + 3)


_reservations: list[socket.socket] = []


def reserve_ports(count: int) -> int:
    """Reserve ``count`` consecutive free ports and return the first.

    A port has no listener until its server starts, so a check for a listener alone
    could hand out the same port twice. The reservation is a UDP socket bound to the
    port until this process ends: other processes that call this function find the port
    taken, and the TCP server can still bind it.
    """
    rng = Random()
    while True:
        first = rng.randrange(_PORT_RANGE.start, _PORT_RANGE.stop - count)
        reservations = [_reserve_port(port) for port in range(first, first + count)]
        reserved = [
            reservation for reservation in reservations if reservation is not None
        ]
        if len(reserved) == count:
            _reservations.extend(reserved)
            return first
        for reservation in reserved:
            reservation.close()


def _reserve_port(port: int) -> socket.socket | None:
    """Return the socket that reserves a port, or None if the port is taken."""
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((HOST, port))
        with socket.socket() as sock:
            sock.bind((HOST, port))
    except OSError:
        reservation.close()
        return None
    return reservation


class Fleet:
    """The processes of one deployment; stops only those it started, by process id."""

    def __init__(
        self, folder: Path, platform_port: int, daemon_module: str = DAEMON_MODULE
    ) -> None:
        self.platform_port = platform_port
        self.daemon_module = daemon_module
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = folder

    def start_process(self, name: str, module: str, *args: str) -> None:
        """Start ``python -m module`` and append its output to ``name.log``."""
        log = (self._folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=dict(os.environ),
        )
        log.close()

    def start_platform(self) -> None:
        """Start the simulated platform store."""
        port = str(self.platform_port)
        self.start_process("platform", "berylmast_dev.store", "--port", port)

    def start_backend(self, member: Member) -> None:
        """Start the simulated backend server of one member."""
        self.start_process(
            f"backend-{member.name}",
            "berylmast_dev.backend",
            f"--port={member.port + 3}",
            f"--slots={member.slots}",
            f"--mean-ms={member.mean_ms}",
        )

    def start_daemon(self, member: Member) -> None:
        """Write the settings file of one daemon and start the daemon."""
        settings: dict[str, object] = {
            "daemon_id": member.name,
            "environment": "demo",
            "region": member.region,
            "failure_domain": member.failure_domain,
            "callers": {"host": HOST, "port": member.port},
            "peers": {"host": HOST, "port": member.port + 1},
            "admin": {"host": HOST, "port": member.port + 2},
            "service": member.service,
            "backend": {"host": HOST, "port": member.port + 3},
            "platform": {"host": HOST, "port": self.platform_port},
        }
        if member.health:
            settings["health"] = {"interval_s": 0.5}
        path = self.write_settings(member.name, settings)
        self.start_process(f"daemon-{member.name}", self.daemon_module, str(path))

    def write_settings(self, name: str, settings: Mapping[str, object]) -> Path:
        """Write the settings file of one daemon and return its path."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path

    async def wait_for_platform(self) -> None:
        """Wait until the simulated platform store answers."""
        await wait_until_ok((HOST, self.platform_port), "/calls")

    def apply_document(self, path: Path, base: int = 0) -> None:
        """Store a document with ``berylmastctl apply``, replacing version ``base``."""
        subprocess.run(
            [
                sys.executable,
                "-m",
                "berylmast.bin.berylmastctl",
                "apply",
                str(path),
                "--environment=demo",
                f"--platform={HOST}:{self.platform_port}",
                f"--base={base}",
            ],
            check=True,
        )

    def describe_processes(self) -> str:
        """Return the state and the last log lines of every process."""
        parts = []
        for name, process in self.processes.items():
            exit_status = process.poll()
            state = (
                "runs" if exit_status is None else f"exited with status {exit_status}"
            )
            log = self.read_log(name)[-LOG_TAIL_CHARS:]
            parts.append(f"{name} {state}:\n{log}")
        return "\n".join(parts)

    def read_log(self, name: str) -> str:
        """Return the complete log of a process."""
        return (self._folder / f"{name}.log").read_text()

    def stop_all(self) -> None:
        """Terminate every process and wait; kill it after STOP_TIMEOUT_S."""
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def wait_until_ok(address: tuple[str, int], path: str, host: str = "x") -> None:
    """Poll a path until the server answers with status 200.

    Raises TimeoutError after START_TIMEOUT_S.
    """
    with anyio.fail_after(START_TIMEOUT_S):
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                try:
                    res = await pool.request(
                        "GET",
                        f"http://{address[0]}:{address[1]}{path}",
                        headers={"host": host},
                    )
                    if res.status == 200:
                        return
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    pass
                await anyio.sleep(0.05)


async def control_backend(member: Member, **control: object) -> None:
    """Set the faults of one simulated backend server."""
    host, port = member.backend_address
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request(
            "POST",
            f"http://{host}:{port}/_control",
            content=json.dumps(control).encode(),
        )


async def read_executed_ids(member: Member) -> list[str]:
    """Return the ids of the requests that a backend server executed, in order."""
    host, port = member.backend_address
    async with httpcore.AsyncConnectionPool() as pool:
        res = await pool.request("GET", f"http://{host}:{port}/_ledger")
    ledger: list[str] = json.loads(res.content)
    return ledger


@asynccontextmanager
async def run_fleet(
    members: list[Member], document: Path, daemon_module: str = DAEMON_MODULE
) -> AsyncIterator[Fleet]:
    """Run a store, backend servers and daemons; stop them when the block ends."""
    with tempfile.TemporaryDirectory(prefix="berylmast-") as folder:
        fleet = Fleet(Path(folder), reserve_ports(1), daemon_module)
        try:
            fleet.start_platform()
            for member in members:
                fleet.start_backend(member)
            await fleet.wait_for_platform()
            fleet.apply_document(document)
            for member in members:
                fleet.start_daemon(member)
            for member in members:
                await wait_until_ok((HOST, member.port + 2), "/status")
            await anyio.sleep(1.5)
            yield fleet
        finally:
            fleet.stop_all()

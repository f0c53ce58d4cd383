"""Daemons of the membership benchmark: one store, one shared backend server."""

import json
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar

import anyio
import httpcore

from berylmast.platform import PlatformClient, put_confirmed
from berylmast.settings import Address

from .fleet import HOST, Fleet, find_ports, wait_answer
from .processes import ProcessFigures, read_process

DOMAINS = [("north", "n1"), ("north", "n2"), ("south", "s1"), ("south", "s2")]
DAEMONS_PER_SERVICE = 8
PORTS_PER_DAEMON = 3
POLL_S = 0.1
SETTLE_LIMIT_S = 120.0
MAX_DAEMONS = 160
"""At about 40 MB a daemon this stays under 8 GB of memory."""

ENVIRONMENT = "bench"


class NotSettled(Exception):
    """Some daemons ended or did not reach the expected state."""


@dataclass(frozen=True, slots=True)
class Sample:
    """One daemon's membership report and process figures at one moment."""

    report: dict[str, Any]
    process: ProcessFigures

    ZERO: ClassVar["Sample"]

    @property
    def is_registrar(self) -> bool:
        """Tell whether the daemon held a registrar role."""
        return self.report["role"] is not None


Sample.ZERO = Sample(
    {"control_bytes_sent": 0, "control_bytes_received": 0, "store_calls": 0},
    ProcessFigures(0.0, 0),
)


@dataclass(slots=True)
class ControlFleet:
    """The running daemons, by name with their first port."""

    fleet: Fleet
    folder: Path
    client: PlatformClient
    http: httpcore.AsyncConnectionPool
    backend_port: int
    spread_s: float
    ports: dict[str, int]
    version: int = 0

    def start_daemon(self, number: int) -> None:
        """Write the settings of one daemon and start it."""
        region, domain = DOMAINS[number % len(DOMAINS)]
        name, port = list(self.ports.items())[number]
        service = f"service-{number // DAEMONS_PER_SERVICE}"
        addresses = {
            "callers": port,
            "peers": port + 1,
            "admin": port + 2,
            "backend": self.backend_port,
            "platform": self.fleet.platform_port,
        }
        settings = {
            "daemon_id": name,
            "environment": ENVIRONMENT,
            "region": region,
            "failure_domain": domain,
            "service": service,
            "start_spread_s": self.spread_s,
            **{key: {"host": HOST, "port": p} for key, p in addresses.items()},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.fleet.start_process(name, "berylmast.bin.berylmastd", str(path))

    async def get_json(self, port: int, path: str) -> Any:
        """Read a JSON answer of a local server."""
        res = await self.http.request("GET", f"http://{HOST}:{port}{path}")
        return json.loads(res.content)

    async def apply(self) -> None:
        """Accept the next document: every service changes."""
        self.version += 1
        route = {"idempotent": True, "priority": "normal", "deadline_ms": 1000}
        services = {
            f"service-{n // DAEMONS_PER_SERVICE}": {
                "hosts": [f"service-{n // DAEMONS_PER_SERVICE}"],
                "slots": 4 + self.version,
                "routes": [route],
            }
            for n in range(len(self.ports))
        }
        text = json.dumps({"priorities": [{"name": "normal"}], "services": services})
        base = await self.client.get("documents", ENVIRONMENT)
        spec = {"version": self.version, "text": text}
        result = await put_confirmed(self.client, "documents", ENVIRONMENT, spec, base)
        result.expect("the document was not accepted")

    async def control(self, **faults: object) -> None:
        """Inject or end faults of the stand-in store."""
        port = self.fleet.platform_port
        await self.http.request(
            "POST", f"http://{HOST}:{port}/control", content=json.dumps(faults).encode()
        )

    async def sample(self) -> dict[str, Sample]:
        """Return the figures of every daemon."""
        samples = {}
        for name, port in self.ports.items():
            status = await self.get_json(port + 2, "/status")
            process = read_process(self.fleet.processes[name].pid)
            samples[name] = Sample(status["membership"], process)
        return samples

    async def wait_all(self, check: Callable[[dict[str, Any]], bool]) -> float:
        """Wait until the report of every daemon passes; return the seconds it took.

        Raises NotSettled with what is known of the others if some have ended, or have
        not passed after SETTLE_LIMIT_S.
        """
        started_s = time.monotonic()
        pending: dict[str, object] = dict.fromkeys(self.ports, "no answer")

        async def wait_one(name: str, port: int) -> None:
            process = self.fleet.processes[name]
            while process.poll() is None:
                try:
                    status = await self.get_json(port + 2, "/status")
                    pending[name] = status["membership"]
                    if check(status["membership"]):
                        del pending[name]
                        return
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    pass
                await anyio.sleep(POLL_S)
            log = (self.folder / f"{name}.log").read_text()[-500:]
            pending[name] = f"ended with {process.returncode}: {log}"

        with anyio.move_on_after(SETTLE_LIMIT_S):
            async with anyio.create_task_group() as tg:
                for name, port in self.ports.items():
                    tg.start_soon(wait_one, name, port)
        if pending:
            lines = [f"{name}: {state}" for name, state in pending.items()]
            raise NotSettled("\n".join(lines))
        return time.monotonic() - started_s

    async def wait_settled(self) -> float:
        """Wait until every daemon has the document and all endpoints it needs."""
        count = len(self.ports)
        wanted = min(count, DAEMONS_PER_SERVICE)
        last = count % DAEMONS_PER_SERVICE or wanted
        return await self.wait_all(
            lambda report: (
                report["version"] == self.version
                and report["registrar"] is not None
                and report["endpoints"] in (wanted, last)
            )
        )

    async def read_calls(self) -> Counter[str]:
        """Return the calls that the store has counted, by verb and kind."""
        answer = await self.get_json(self.fleet.platform_port, "/calls")
        return Counter(answer["by_call"])


@asynccontextmanager
async def run_control_fleet(
    daemons: int, spread_s: float
) -> AsyncIterator[ControlFleet]:
    """Start the store and all daemons; stop every process at the end."""
    first = find_ports(daemons * PORTS_PER_DAEMON + 2)
    ports = {f"d{n}": first + 2 + n * PORTS_PER_DAEMON for n in range(daemons)}
    with tempfile.TemporaryDirectory(prefix="berylmast-") as folder:
        fleet = Fleet(Path(folder), first)
        client = PlatformClient(Address(host=HOST, port=first))
        try:
            async with httpcore.AsyncConnectionPool(max_connections=daemons) as http:
                fleet.start_platform()
                fleet.start_process(
                    "backend", "berylmast_dev.backend", f"--port={first + 1}"
                )
                await wait_answer((HOST, first), "/calls")
                control = ControlFleet(
                    fleet, Path(folder), client, http, first + 1, spread_s, ports
                )
                await control.apply()
                for number in range(daemons):
                    control.start_daemon(number)
                yield control
        finally:
            fleet.stop_all()

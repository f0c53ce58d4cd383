"""Runs a deployment on the users' platform: store, backend servers and daemons."""

import json
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any
from uuid import uuid4

import anyio
import httpcore

from .fleet import HOST, Fleet, reserve_ports, wait_until_ok

PORTS_PER_MEMBER = 5
VIRTUAL_HOST = "shop.example"
REQUEST_TIMEOUT_MS = 2_000

Routes = dict[str, dict[str, Any]]


@dataclass(frozen=True, slots=True)
class PlatformMember:
    """One instance: a daemon and the backend server beside it.

    ``port`` is the first of five consecutive ports: callers, peers, readiness, reports,
    backend server. ``call`` is the nested call that each request makes, empty for none:
    "ENTRY HOST PATH", or only "HOST PATH" in a ``SoakFleet``, which adds the entry.
    """

    name: str
    service: str
    region: str
    zone: str
    port: int
    slots: int = 6
    mean_ms: float = 10.0
    call: str = ""

    @property
    def caller_address(self) -> str:
        """Return the address at which the daemon accepts callers."""
        return f"{HOST}:{self.port}"

    @property
    def ready_address(self) -> str:
        """Return the address of the daemon's readiness endpoint."""
        return f"{HOST}:{self.port + 2}"

    @property
    def heartbeat_address(self) -> str:
        """Return the address at which the daemon accepts heartbeats."""
        return f"{HOST}:{self.port + 3}"

    @property
    def backend_address(self) -> str:
        """Return the address of the backend server."""
        return f"{HOST}:{self.port + 4}"


def make_platform_members(
    services: dict[str, float], zones: list[tuple[str, str]]
) -> list[PlatformMember]:
    """Return one member of each service in each zone.

    ``services`` maps each service to its mean service time in milliseconds.
    """
    first = reserve_ports(len(services) * len(zones) * PORTS_PER_MEMBER)
    members: list[PlatformMember] = []
    for service, mean_ms in services.items():
        for region, zone in zones:
            port = first + PORTS_PER_MEMBER * len(members)
            name = f"{service}-{zone}"
            members.append(
                PlatformMember(name, service, region, zone, port, mean_ms=mean_ms)
            )
    return members


def make_route(service: str, path: str, *, idempotent: bool, **overrides: Any) -> Any:
    """Return a route of a configuration; ``overrides`` adds or replaces fields."""
    return {
        "name": f"r-{path.strip('/')}",
        "pathPrefix": path,
        "kind": "idempotent" if idempotent else "non_idempotent",
        "timeout": f"{REQUEST_TIMEOUT_MS}ms",
        "targetLatency": "500ms",
        "priority": 0,
        "maxAttempts": 2,
        "service": service,
        **overrides,
    }


def make_configuration(version: int, routes: list[Any]) -> Any:
    """Return a configuration with the given routes on the host VIRTUAL_HOST."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "services": [{"name": name, "healthPath": "/healthz"} for name in services],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "virtualHosts": [{"host": VIRTUAL_HOST, "routePaths": routes}],
    }


class FleetNotReady(Exception):
    """A daemon did not become ready; the message holds the logs of all processes."""


class PlatformFleet(Fleet):
    """The processes of one deployment on the platform; stopped by process id.

    ``sections`` are added to the settings of each daemon.
    """

    sections: Mapping[str, Any] = MappingProxyType({})

    def start_platform_backend(self, member: PlatformMember) -> None:
        """Start the simulated backend server of one member."""
        args = [
            f"--name=i-{member.name}",
            f"--service={member.service}",
            f"--port={member.port + 4}",
            f"--control={member.heartbeat_address}",
            f"--slots={member.slots}",
            f"--mean-ms={member.mean_ms}",
        ]
        if member.call:
            args.append(f"--call={member.call}")
        name = f"backend-{member.name}"
        self.start_process(name, "berylmast_dev.platform_backend", *args)

    def make_settings(self, member: PlatformMember) -> dict[str, Any]:
        """Return the contents of the settings file of one daemon."""
        return {
            "daemon_id": member.name,
            "environment": "platform",
            "interface": "platform",
            "region": member.region,
            "failure_domain": member.zone,
            "service": member.service,
            "backend": member.backend_address,
            "callers": member.caller_address,
            "peers": f"{HOST}:{member.port + 1}",
            "admin": member.ready_address,
            "announcements": member.heartbeat_address,
            "platform": f"{HOST}:{self.platform_port}",
            "drain": {"grace_s": "1000ms", "timeout_s": "3s"},
            "retries": {"ratio": 0.2, "slack": 64, "window_s": "10s"},
            **self.sections,
        }

    def start_platform_daemon(self, member: PlatformMember) -> None:
        """Write the settings file of one daemon and start the daemon."""
        settings = self.make_settings(member)
        path = self.write_settings(member.name, settings)
        self.start_process(f"daemon-{member.name}", self.daemon_module, str(path))

    async def put_configuration(self, spec: Any) -> bool:
        """Create or replace the configuration; return whether the store accepted it."""
        body = json.dumps({"metadata": {"name": "main"}, "spec": spec}).encode()
        base = f"http://{HOST}:{self.platform_port}/v1/objects/config"
        async with httpcore.AsyncConnectionPool() as pool:
            res = await pool.request("POST", base, content=body)
            if res.status == 409:
                res = await pool.request("PUT", f"{base}/main", content=body)
        return res.status in (200, 201)

    async def evacuate(self, zone: str) -> None:
        """Store the evacuation of a zone; return once the store has it."""
        body = json.dumps({"metadata": {"name": zone}, "spec": {}}).encode()
        await self._call_evacuations("POST", "", body)

    async def end_evacuation(self, zone: str) -> None:
        """Remove the evacuation of a zone; return once the store has done so."""
        await self._call_evacuations("DELETE", f"/{zone}", b"")

    async def _call_evacuations(self, method: str, path: str, body: bytes) -> None:
        base = f"http://{HOST}:{self.platform_port}/v1/objects/evacuations"
        async with httpcore.AsyncConnectionPool() as pool:
            res = await pool.request(method, base + path, content=body)
        assert res.status in (200, 201), res.status

    async def control_store(self, **control: object) -> None:
        """Set the faults of the simulated store."""
        url = f"http://{HOST}:{self.platform_port}/control"
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request("POST", url, content=json.dumps(control).encode())


async def wait_until_ready(member: PlatformMember) -> None:
    """Wait until a daemon reports that it is ready for callers."""
    await wait_until_ok((HOST, member.port + 2), "/v1/ready")


@asynccontextmanager
async def run_platform_fleet(
    members: list[PlatformMember],
    spec: Any,
    sections: Mapping[str, Any] = MappingProxyType({}),
) -> AsyncIterator[PlatformFleet]:
    """Run a store, backend servers and daemons; stop them when the block ends.

    ``sections`` are added to the settings of each daemon.
    Raises FleetNotReady if a daemon does not become ready.
    """
    with tempfile.TemporaryDirectory(prefix="berylmast-") as folder:
        fleet = PlatformFleet(Path(folder), reserve_ports(1))
        fleet.sections = sections
        try:
            fleet.start_platform()
            await fleet.wait_for_platform()
            await fleet.put_configuration(spec)
            for member in members:
                fleet.start_platform_backend(member)
                fleet.start_platform_daemon(member)
            try:
                for member in members:
                    await wait_until_ready(member)
            except TimeoutError as exc:
                raise FleetNotReady(fleet.describe_processes()) from exc
            await anyio.sleep(1.0)
            yield fleet
        finally:
            fleet.stop_all()


@dataclass(slots=True)
class PlatformLoadResult:
    """Results of one path; ``answered`` and ``refused`` hold attempt ids.

    ``statuses`` counts a lost connection as status 0. ``unsealed`` counts responses
    with status 200 but without a seal.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)
    answered: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    unsealed: int = 0


@dataclass(frozen=True, slots=True)
class PlatformLoad:
    """Requests for one path prefix; ``rate`` is their mean number per second."""

    path: str
    rate: float
    method: str = "GET"
    body: bytes = b""


async def run_platform_load(
    members: list[PlatformMember],
    loads: list[PlatformLoad],
    seconds: float,
    seed: int = 1,
) -> dict[str, PlatformLoadResult]:
    """Send each load at its rate to random entries and wait for the responses."""
    results = {load.path: PlatformLoadResult() for load in loads}
    async with httpcore.AsyncConnectionPool(max_connections=500) as pool:
        async with anyio.create_task_group() as tg:
            for number, load in enumerate(loads):
                rng = Random(seed * 1000 + number)
                tg.start_soon(
                    _send_load, pool, members, load, seconds, rng, results[load.path]
                )
    return results


async def _send_load(
    pool: httpcore.AsyncConnectionPool,
    members: list[PlatformMember],
    load: PlatformLoad,
    seconds: float,
    rng: Random,
    result: PlatformLoadResult,
) -> None:
    end_s = anyio.current_time() + seconds
    async with anyio.create_task_group() as tg:
        while anyio.current_time() < end_s:
            tg.start_soon(_send_one, pool, rng.choice(members), load, result)
            await anyio.sleep(rng.expovariate(load.rate))


async def _send_one(
    pool: httpcore.AsyncConnectionPool,
    member: PlatformMember,
    load: PlatformLoad,
    result: PlatformLoadResult,
) -> None:
    attempt = uuid4().hex
    headers = [
        ("host", VIRTUAL_HOST),
        ("x-attempt-id", attempt),
        ("x-deadline-ms", str(REQUEST_TIMEOUT_MS)),
    ]
    started_s = anyio.current_time()
    try:
        res = await pool.request(
            load.method,
            f"http://{member.caller_address}{load.path}item",
            headers=headers,
            content=load.body or None,
        )
    except (httpcore.NetworkError, httpcore.ProtocolError):
        result.statuses[0] += 1
        return
    result.statuses[res.status] += 1
    if res.status == 200:
        header_names = {name.lower() for name, _ in res.headers}
        result.unsealed += b"x-response-seal" not in header_names
        result.answered.append(attempt)
        result.latencies_ms.append((anyio.current_time() - started_s) * 1000)
    elif res.status in (429, 503):
        result.refused.append(attempt)


async def read_executed_attempts(member: PlatformMember) -> list[str]:
    """Return the ids of the attempts that a backend server executed, in order."""
    async with httpcore.AsyncConnectionPool() as pool:
        res = await pool.request("GET", f"http://{member.backend_address}/_ledger")
    runs: list[str] = json.loads(res.content)
    return runs


async def read_arrivals_s(member: PlatformMember) -> list[float]:
    """Return the monotonic times at which requests arrived at a backend server."""
    async with httpcore.AsyncConnectionPool() as pool:
        res = await pool.request("GET", f"http://{member.backend_address}/_arrivals")
    arrivals_s: list[float] = json.loads(res.content)
    return arrivals_s


async def control_platform_backend(member: PlatformMember, **control: object) -> None:
    """Set the faults of one simulated backend server."""
    content = json.dumps(control).encode()
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request(
            "POST", f"http://{member.backend_address}/_control", content=content
        )

"""Starts daemons of the deploy file and plays store, servers and clients for the cases.

Only the standard library is used. The daemons are separate processes; the store, the
servers and the clients are stand-ins in this process, which follow the users' pages.
All addresses are loopback addresses.
"""

import asyncio
import json
import os
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
HEARTBEAT_S = 1.5
READY_LIMIT_S = 25.0
MAX_HEAD = 64 * 1024

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunnable(Exception):
    """The case can't run here; the script then exits with 2."""


@dataclass
class Message:
    """A request or a response with its complete body."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length or in chunks; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(await reader.readline(), 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(lines[0], headers, body)


def format_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return a complete response with its length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def reserve_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """Writes ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self.started_s:8.3f} s  {text}"
        print(line, file=self.file, flush=True)


class Store:
    """The platform's store: objects with revisions, conditional writes and watches."""

    def __init__(self) -> None:
        self.ip = "127.0.0.1"
        self.port = reserve_port(self.ip)
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.busy = False
        self.era = 1

    def restore(self, copy: tuple[int, dict]) -> None:
        """Come back from a copy: what was written since is gone, the era rises."""
        self.revision, self.objects = copy[0], dict(copy[1])
        self.events.clear()
        self.era += 1
        self.busy = False

    def make_copy(self) -> tuple[int, dict]:
        return self.revision, dict(self.objects)

    async def start(self) -> None:
        await asyncio.start_server(self.serve, self.ip, self.port, limit=MAX_HEAD)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (req := await read_message(reader)) is not None:
                status, data = await self.answer(req)
                body = json.dumps(data).encode()
                writer.write(format_response(status, {"Store-Era": str(self.era)}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, req: Message) -> tuple[int, object]:
        if self.busy:
            return 503, {}
        url = urlsplit(req.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(p) for p in url.path.removeprefix("/v1/objects/").split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if req.method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["waitMs"]))
        if req.method == "GET" and not name:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "hasMore": False, "at": self.revision}
        if req.method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if req.method == "DELETE":
            return self.delete(kind, name, query)
        data = json.loads(req.body)
        name = name or data["metadata"]["name"]
        known = self.objects.get((kind, name))
        if req.method == "POST" and known:
            return 409, known
        if req.method == "PUT" and known is None:
            return 404, {}
        wanted = data["metadata"].get("revision")
        if known and wanted is not None and known["metadata"]["revision"] != wanted:
            return 409, known
        return 200, self.put(kind, name, data.get("spec"))

    def put(self, kind: str, name: str, spec: object) -> dict:
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": self.revision}
        metadata |= {"finalizers": [], "deleting": False}
        new = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = new
        self.add_event(kind, new, False)
        return new

    def delete(self, kind: str, name: str, query: dict) -> tuple[int, object]:
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        wanted = query.get("revision")
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        self.revision += 1
        del self.objects[kind, name]
        self.add_event(kind, known, True)
        return 200, known

    def add_event(self, kind: str, item: dict, deleted: bool) -> None:
        self.events.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, object]:
        if since > self.revision:
            return 410, {}
        limit_s = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self.events
                if k == kind and revision > since
            ]
            left_s = limit_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass


@dataclass
class Member:
    """One instance: the addresses of its daemon and its server, and the processes."""

    name: str
    service: str
    zone: str
    region: str
    ip: str
    ports: dict[str, int] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    def __post_init__(self) -> None:
        names = ("callers", "peers", "ready", "control", "app", "metrics")
        for name in names:
            self.ports[name] = reserve_port(self.ip)

    def address(self, name: str) -> str:
        return f"{self.ip}:{self.ports[name]}"


class Server:
    """A backend server: runs requests up to its slots and queues a few more.

    ``work_s`` is the time that a run takes. ``behave`` may replace ``serve_request``.
    """

    def __init__(
        self, case: "Case", member: Member, service: str, backend: str, **options: object
    ) -> None:
        self.case, self.member, self.service, self.id = case, member, service, backend
        self.slots = int(options.get("slots", 6))
        self.work_s = float(options.get("work_s", 0.02))
        self.born_ms = int(options.get("born_ms") or time.time() * 1000)
        self.state, self.sequence, self.running = "ready", 0, 0
        self.reporting = True
        self.acknowledged_s: dict[str, float] = {}
        self.beats: asyncio.Task | None = None
        self.listener: asyncio.Server | None = None
        self.behave = self.serve_request
        self.connections = 0
        self.readers: dict[int, asyncio.StreamReader] = {}

    async def start(self, *, listen: bool = True) -> None:
        if listen:
            self.listener = await asyncio.start_server(
                self.serve, self.member.ip, self.member.ports["app"], limit=MAX_HEAD
            )
        self.beats = asyncio.create_task(self.report())

    async def report(self) -> None:
        while True:
            if self.reporting:
                asyncio.get_running_loop().create_task(self.beat())
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> None:
        self.sequence += 1
        state = self.state
        body = self.make_beat(state, self.sequence)
        answer = await self.call("instances.heartbeat", body)
        if answer and state not in self.acknowledged_s:
            self.acknowledged_s[state] = time.monotonic()
            self.case.record.write(f"{self.id} has its state '{state}' acknowledged")

    def make_beat(self, state: str, sequence: int) -> dict:
        return {
            "address": self.member.address("app"),
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.member.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": sequence, "coldLeft": "0ms"},
        }

    async def call(self, call: str, body: dict) -> bool:
        """Send a report; return whether it was acknowledged within a second."""
        path = f"/v1/rpc?call={call}&of={self.id}"
        res = await send_request(
            self.member.address("control"),
            "POST",
            path,
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
            limit_s=1.0,
        )
        return res is not None and 200 <= res.status < 300

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        try:
            while (req := await read_message(reader)) is not None:
                self.readers[number] = reader
                await self.behave(req, writer, number)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def load(self) -> dict[str, str]:
        """Return the headers of all answers: the load, and whether the server leaves."""
        leaving = {} if self.state == "ready" else {"Server-Leaving": "1"}
        return {"X-Server-Load": f"{self.running},0,{self.slots},100"} | leaving

    async def serve_request(
        self, req: Message, writer: asyncio.StreamWriter, number: int
    ) -> None:
        if req.target == "/healthz":
            status = 200 if self.state == "ready" else 503
            headers = {"X-Instance-Id": self.id} | self.load()
            writer.write(format_response(status, headers))
            return
        attempt = req.headers.get("x-attempt-id", "")
        self.case.arrived(self, attempt, req)
        if req.headers.get("x-target-instance", self.id) != self.id:
            self.case.record.write(f"{self.id} rejects {attempt}: 421")
            writer.write(format_response(421, {"X-Instance-Id": self.id}))
            return
        if self.running >= self.slots:
            self.case.record.write(f"{self.id} sheds {attempt}: 503, X-Not-Executed")
            writer.write(format_response(503, {"X-Not-Executed": "1"}))
            return
        await self.run(req, writer)

    async def run(self, req: Message, writer: asyncio.StreamWriter) -> None:
        attempt = req.headers["x-attempt-id"]
        self.running += 1
        self.case.ran(self, attempt, req)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(self.format_answer(attempt))

    def format_answer(self, attempt: str) -> bytes:
        headers = {"X-Attempt-Id": attempt, "X-Response-Seal": f"seal.{self.id}"}
        return format_response(200, headers | self.load(), f"ran {attempt}".encode())


async def send_request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    limit_s: float = 10.0,
) -> Message | None:
    """Send a request on a new connection; None without a complete answer."""
    ip, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    data = "\r\n".join([*lines, "", ""]).encode() + body
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=MAX_HEAD)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Case:
    """The deployment of one case: store, members and what clients and servers saw."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self.store = Store()
        self.members: dict[str, Member] = {}
        self.runs: dict[str, list[str]] = {}
        self.run_list: list[tuple[float, Server, str, str]] = []
        self.arrivals: list[tuple[float, Server, str, str]] = []
        self.answers: dict[str, int | None] = {}
        self.sent_s: dict[str, float] = {}
        self.answered_s: dict[str, float] = {}
        self.sealed: dict[str, bool] = {}
        self.tmp = Path(tempfile.mkdtemp(prefix="berylmast-case-"))
        self.number = 0
        self.drain_s = "2000ms"
        self.additional_settings = "{ }"
        self.tenants: list[dict] = []

    def add(self, name: str, service: str, zone: str, region: str) -> Member:
        ip = f"127.0.0.{11 + len(self.members)}"
        member = self.members[name] = Member(name, service, zone, region, ip)
        return member

    def arrived(self, server: Server, attempt: str, req: Message) -> None:
        now_s = time.monotonic()
        self.arrivals.append((now_s, server, attempt, req.target))
        self.record.write(f"{server.id} ({server.service}) gets {attempt} {req.start}")

    def ran(self, server: Server, attempt: str, req: Message) -> None:
        self.runs.setdefault(attempt, []).append(server.id)
        self.run_list.append((time.monotonic(), server, req.target, attempt))
        self.record.write(f"{server.id} ({server.service}) runs {attempt} {req.start}")

    async def start(self, routes: list[dict]) -> None:
        deps = ROOT / "target" / "deps"
        if not deps.is_dir():
            raise NotRunnable("target/deps is missing: run the build of the deploy file")
        await self.store.start()
        configuration = make_configuration(7, routes)
        if self.tenants:
            configuration["tenants"] = self.tenants
        self.store.put("config", "main", configuration)
        await asyncio.gather(*(self.start_daemon(m) for m in self.members.values()))

    async def start_daemon(self, member: Member) -> None:
        path = self.tmp / f"{member.name}.json5"
        path.write_text(json.dumps(self.make_settings(member)))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["daemon"]["run"])
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        env |= {"BERYLMAST_SETTINGS": str(path), "BERYLMAST_ADDITIONAL_SETTINGS": self.additional_settings}
        log = (self.tmp / f"{member.name}.log").open("a")
        member.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )

    def make_settings(self, member: Member) -> dict:
        return {
            "daemon_id": member.name,
            "environment": "platform",
            "interface": "platform",
            "region": member.region,
            "failure_domain": member.zone,
            "service": member.service,
            "backend": member.address("app"),
            "callers": member.address("callers"),
            "admin": member.address("ready"),
            "announcements": member.address("control"),
            "peers": member.address("peers"),
            "metrics": {"host": member.ip, "port": member.ports["metrics"]},
            "platform": f"{self.store.ip}:{self.store.port}",
            "leave_s": self.drain_s,
            "drain": {"grace_s": 2.6, "kill_after_s": "6s"},
            "retries": {"ratio": 0.2, "slack": 62, "window_s": "10s"},
            "limits": {"max_header_bytes": 65536},
        }

    async def kill_all(self, down_s: float) -> None:
        """Kill the processes of all daemons and start them again after ``down_s``."""
        members = list(self.members.values())
        for member in members:
            member.process.kill()
        await asyncio.gather(*(member.process.wait() for member in members))
        self.record.write(f"all daemons are killed, for {down_s} s")
        await asyncio.sleep(down_s)
        await asyncio.gather(*(self.start_daemon(member) for member in members))
        self.record.write("all daemons are started again")

    async def wait_ready(
        self, path: str, members: list[Member] | None = None, key: str = ""
    ) -> None:
        """Wait until the daemons are ready and serve a request on ``path``."""
        limit_s = time.monotonic() + READY_LIMIT_S
        for member in members or list(self.members.values()):
            while True:
                res = await send_request(
                    member.address("ready"), "GET", "/v1/ready", {}, limit_s=1.0
                )
                if res is not None and res.status == 200:
                    status = await self.send(
                        member, "GET", path, 2000, note="warm-up", key=key
                    )
                    if status == 200:
                        break
                if time.monotonic() > limit_s:
                    raise NotRunnable(f"{member.name} does not become ready")
                await asyncio.sleep(0.2)

    async def send(
        self,
        member: Member,
        method: str,
        path: str,
        deadline_ms: int,
        *,
        body: bytes = b"",
        note: str = "",
        attempt: str = "",
        key: str = "",
    ) -> int | None:
        """Send a client's request; return the status, None without an answer."""
        self.number += 1
        attempt = attempt or f"a{self.number:04d}"
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["X-Api-Key"] = key
        self.record.write(f"client at {member.name} sends {attempt} {method} {path} {note}")
        self.sent_s[attempt] = time.monotonic()
        res = await send_request(
            member.address("callers"), method, path, headers, body, deadline_ms / 1000
        )
        status = None if res is None else res.status
        self.answers[attempt] = status
        self.answered_s[attempt] = time.monotonic()
        self.sealed[attempt] = res is not None and "x-response-seal" in res.headers
        outcome = "" if res is None else res.headers.get("berylmast-error", "")
        self.record.write(f"client at {member.name} gets {status} for {attempt} {outcome}")
        return status

    async def stop(self) -> None:
        for member in self.members.values():
            process = member.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.tmp}")
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


def make_route(name: str, prefix: str, kind: str, service: str, **fields: object) -> dict:
    route = {"name": name, "pathPrefix": prefix, "kind": kind, "service": service}
    route |= {"timeout": "8000ms", "targetLatency": "800ms", "priority": 1}
    return route | {"maxAttempts": 2} | fields


def make_configuration(version: int, routes: list[dict]) -> dict:
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "services": [
            {"name": s, "healthPath": "/healthz", "maxConns": 260, "protocol": "h1"}
            for s in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "virtualHosts": [{"host": HOST, "routePaths": routes}],
    }


def main(play) -> None:
    """Run a case. ``play`` gets the case and returns whether the rule held."""
    folder = Path(sys.argv[0]).resolve().parent

    async def run() -> int:
        case = Case(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                held = await play(case)
            case.record.write("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as exc:
            case.record.write(f"the case could not run: {exc!r}")
            return 2
        finally:
            await case.stop()

    sys.exit(asyncio.run(run()))

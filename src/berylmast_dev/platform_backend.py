"""Simulates a backend server on the users' platform."""

import json
import time
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from random import Random
from typing import Annotated, Any

import anyio
from cyclopts import App, Parameter

from ._asgi import IncompleteBody, read_body, send_json, serve_app
from .http_client import CONNECTION_ERRORS, Address, HttpClient

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
RESPONSE_BYTES = 2_000
HEALTH_PATH = "/healthz"

Headers = dict[bytes, bytes]


@dataclass(slots=True)
class NestedCall:
    """A nested call that each request makes through the daemon on the same machine."""

    entry: Address
    host: str
    path: str


@dataclass(slots=True)
class ServerState:
    """Faults set through ``/_control``, and the attempts that ``/_ledger`` lists.

    ``rate_limit`` (requests per second) and ``leaving`` are stated in all responses;
    the server does not enforce them. ``arrivals_s`` holds the monotonic times at which
    requests arrived, which ``/_arrivals`` returns. ``acknowledged`` is set once the
    daemon has accepted a heartbeat with the state "draining"; ``/_state`` returns it.
    The server states that it is cold until the monotonic time ``cold_until_s``, in
    heartbeats and health responses; it is as fast as otherwise.
    """

    draining: bool = False
    acknowledged: bool = False
    slow: float = 1.0
    garble: str = ""
    rate_limit: float | None = None
    leaving: bool = False
    cold_until_s: float = 0.0
    runs: list[str] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)

    @property
    def cold_left_ms(self) -> int:
        """Return how much longer the server is cold."""
        return max(0, round((self.cold_until_s - time.monotonic()) * 1000))


class PlatformBackend:
    """Executes requests up to its number of slots.

    Refuses requests without an attempt id, requests for another instance, and requests
    that find no free slot. ``garble`` in ``/_control`` corrupts responses: "unsealed"
    (no seal), "cut" (the connection closes within the body), "crossed" (the attempt id
    of another request, as if its late response came first) or "" (none).
    """

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        mean_ms: float,
        call: NestedCall | None,
        ledger: Path | None = None,
    ) -> None:
        self.state = ServerState()
        self.name = name
        self._service = service
        self._ledger_path = ledger
        self._slots = slots
        self._running = 0
        self._mean_service_time_s = mean_ms / 1000
        self._nested_call = call
        self._rng = Random(name)

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve requests over ASGI."""
        if scope["path"] == "/_control":
            for key, value in json.loads(await read_body(receive)).items():
                setattr(self.state, key, value)
            await send_json(send, 200, {})
        elif scope["path"] == "/_ledger":
            await send_json(send, 200, self.state.runs)
        elif scope["path"] == "/_arrivals":
            await send_json(send, 200, self.state.arrivals_s)
        elif scope["path"] == "/_state":
            await send_json(send, 200, {"acknowledged": self.state.acknowledged})
        elif scope["path"] == HEALTH_PATH:
            await self._send_health(send)
        else:
            await self._serve(scope, receive, send)

    async def _serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        self.state.arrivals_s.append(time.monotonic())
        headers: Headers = dict(scope["headers"])
        attempt = headers.get(b"x-attempt-id")
        try:
            body = await read_body(receive)
        except IncompleteBody:
            # A server executes only requests that it has received completely.
            return
        if attempt is None:
            await self._send_refusal(send, 400)
        elif (
            headers.get(b"x-target-instance", self.name.encode()) != self.name.encode()
        ):
            await self._send_refusal(send, 421)
        elif self._running >= self._slots:
            await self._send_refusal(send, 503)
        else:
            self._record_execution(attempt, scope["path"], headers, body)
            await self._execute(attempt, headers, body, send)

    def _record_execution(
        self, attempt: bytes, path: str, headers: Headers, body: bytes
    ) -> None:
        """Record an execution before it begins, so that the record survives a kill."""
        self.state.runs.append(attempt.decode())
        if self._ledger_path is None:
            return
        run = {
            "attempt": attempt.decode(),
            "server": self.name,
            "service": self._service,
            "caller_service": headers.get(b"x-caller-service", b"").decode(),
            "path": path,
            "body_digest": sha256(body).hexdigest(),
            "deadline_ms": int(headers.get(b"x-deadline-ms", b"0")),
            "at_s": time.monotonic(),
        }
        with self._ledger_path.open("a") as file:
            file.write(json.dumps(run) + "\n")

    async def _execute(
        self, attempt: bytes, headers: Headers, body: bytes, send: Any
    ) -> None:
        self._running += 1
        try:
            service_time_s = self._rng.gammavariate(4, self._mean_service_time_s / 4)
            await anyio.sleep(service_time_s * self.state.slow)
            deadline_ms = int(headers.get(b"x-deadline-ms", b"0"))
            if self._nested_call is not None and not await self._make_nested_call(
                attempt, deadline_ms
            ):
                await self._send_response(send, 500, attempt, b"a call failed")
                return
        finally:
            self._running -= 1
        digest = sha256(attempt + body).hexdigest().encode()
        await self._send_response(
            send, 200, attempt, digest.ljust(RESPONSE_BYTES, b".")
        )

    async def _make_nested_call(self, attempt: bytes, deadline_ms: int) -> bool:
        """Make the nested call; return whether it succeeded."""
        assert self._nested_call is not None
        headers = {
            "host": self._nested_call.host,
            "x-attempt-id": f"{attempt.decode()}-call",
            "x-deadline-ms": str(deadline_ms),
        }
        call = self._nested_call
        # A new client per call: a daemon that restarted has closed idle connections.
        client = HttpClient()
        try:
            res = await client.request(call.entry, "GET", call.path, headers, b"")
        except CONNECTION_ERRORS:
            # The daemon may be restarting; counts as a failed call.
            return False
        finally:
            await client.aclose()
        return res.status == 200

    async def _send_health(self, send: Any) -> None:
        headers = [
            (b"x-instance-id", self.name.encode()),
            (b"x-cold-ms", str(self.state.cold_left_ms).encode()),
            (b"content-length", b"0"),
            *self._make_notice_headers(),
        ]
        status = 503 if self.state.draining else 200
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})

    async def _send_refusal(self, send: Any, status: int) -> None:
        headers = [
            (b"x-not-executed", b"1"),
            (b"content-length", b"0"),
            *self._make_notice_headers(),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})

    async def _send_response(
        self, send: Any, status: int, attempt: bytes, body: bytes
    ) -> None:
        load = f"{self._running},0,{self._slots},100".encode()
        headers = [
            (b"x-attempt-id", b"other" if self.state.garble == "crossed" else attempt),
            (b"x-server-load", load),
            (b"content-length", str(len(body)).encode()),
            *self._make_notice_headers(),
        ]
        if self.state.garble != "unsealed":
            headers.append((b"x-response-seal", sha256(body).hexdigest().encode()))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        if self.state.garble == "cut":
            # The server closes the connection if the app returns before the body ends.
            chunk = {"type": "http.response.body", "body": body[:10], "more_body": True}
            await send(chunk)
            return
        await send({"type": "http.response.body", "body": body})

    def _make_notice_headers(self) -> list[tuple[bytes, bytes]]:
        headers = []
        if self.state.rate_limit is not None:
            headers.append((b"server-limit", str(self.state.rate_limit).encode()))
        if self.state.leaving:
            headers.append((b"server-leaving", b"1"))
        return headers

    async def send_heartbeats(self, control: str, address: str) -> None:
        """Send heartbeats to the daemon until cancelled."""
        sequence = 0
        started_ms = int(anyio.current_time() * 1000)
        path = f"/v1/rpc?call=instances.heartbeat&of={self.name}"
        daemon_address = _parse_address(control)
        headers = {"host": control, "content-type": "application/json"}
        client = HttpClient()
        while True:
            sequence += 1
            state = "draining" if self.state.draining else "ready"
            body = {
                "address": address,
                "born": started_ms,
                "info": {
                    "service": self._service,
                    "version": "v1",
                    "zone": "",
                    "slots": self._slots,
                },
                "status": {
                    "state": state,
                    "sequence": sequence,
                    "coldLeft": f"{self.state.cold_left_ms}ms",
                },
            }
            try:
                with anyio.move_on_after(HEARTBEAT_TIMEOUT_S):
                    content = json.dumps(body).encode()
                    res = await client.request(
                        daemon_address, "POST", path, headers, content
                    )
                    if state == "draining" and res.status == 200:
                        self.state.acknowledged = True
            except CONNECTION_ERRORS:
                # The daemon may be restarting; the next heartbeat is the retry.
                pass
            await anyio.sleep(HEARTBEAT_INTERVAL_S)


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


cli = App(name="platform_backend", help=__doc__)


@cli.default
def run(
    *,
    name: str,
    service: str,
    port: int,
    control: str,
    host: str = "127.0.0.1",
    slots: int = 6,
    mean_ms: float = 10.0,
    call: Annotated[str, Parameter(help="Nested call: ENTRY HOST PATH.")] = "",
    address: Annotated[
        str, Parameter(help="Address to report instead of HOST:PORT.")
    ] = "",
    ledger: Annotated[
        Path | None, Parameter(help="File to append executions to.")
    ] = None,
) -> None:
    """Run one simulated backend server that sends heartbeats to its daemon."""
    nested_call = None
    if call:
        entry, call_host, path = call.split()
        nested_call = NestedCall(_parse_address(entry), call_host, path)
    backend = PlatformBackend(name, service, slots, mean_ms, nested_call, ledger)
    heartbeats = backend.send_heartbeats(control, address or f"{host}:{port}")
    serve_app(backend.app, host, port, heartbeats)


if __name__ == "__main__":
    cli()

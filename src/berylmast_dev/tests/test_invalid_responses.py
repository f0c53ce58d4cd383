"""Guards callers against bytes of a backend server that are no response.

Runs real daemons; the backend server is a socket of the test that sends raw bytes.
"""

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from uuid import uuid4

import anyio
import httpcore
import pytest

from ..fleet import HOST, reserve_ports
from ..platform_backend import PlatformBackend
from ..platform_fleet import (
    REQUEST_TIMEOUT_MS,
    VIRTUAL_HOST,
    PlatformFleet,
    PlatformMember,
    make_configuration,
    make_platform_members,
    make_route,
    wait_until_ready,
)

pytestmark = pytest.mark.anyio

UPLOAD_BYTES = 800_000
BODY = b"x" * 40
MAX_DURATION_S = REQUEST_TIMEOUT_MS / 1000 / 2
"""A caller is told at once, not at its deadline."""

START_TIMEOUT_S = 15.0

ROUTES = [
    make_route("orders", "/orders/", idempotent=True),
    make_route("orders", "/pay/", idempotent=False),
]


@dataclass(frozen=True, slots=True)
class RawResponse:
    """Bytes that a server sends; ``%h`` stands for its headers, ``%b`` for a body."""

    text: bytes
    reset: bool = False

    def render(self, attempt: bytes) -> bytes:
        headers = b"X-Attempt-Id: " + attempt + b"\r\nX-Response-Seal: s\r\n"
        return self.text.replace(b"%h", headers).replace(b"%b", BODY)


WHOLE_BODY = b"%hContent-Length: 40\r\n\r\n%b"
VALID_RESPONSE = RawResponse(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + WHOLE_BODY)
RESPONSES = {
    "reset-during-upload": RawResponse(b"HTTP/1.1 200 OK\r\n%h\r\n%b", reset=True),
    "status-000": RawResponse(b"HTTP/1.1 000 X\r\n" + WHOLE_BODY),
    "status-000-then-200": RawResponse(
        b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + WHOLE_BODY
    ),
    "status-099": RawResponse(b"HTTP/1.1 099 X\r\n" + WHOLE_BODY),
    "status-600": RawResponse(b"HTTP/1.1 600 X\r\n" + WHOLE_BODY),
    "version-2.0": RawResponse(b"HTTP/2.0 200 OK\r\n" + WHOLE_BODY),
    "name-with-blank": RawResponse(b"HTTP/1.1 200 OK\r\nBad Name: x\r\n" + WHOLE_BODY),
    "name-with-control-byte": RawResponse(
        b"HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n" + WHOLE_BODY
    ),
    "name-with-nul": RawResponse(b"HTTP/1.1 200 OK\r\nBad\x00: x\r\n" + WHOLE_BODY),
    "name-with-blank-at-end": RawResponse(
        b"HTTP/1.1 200 OK\r\nName : x\r\n" + WHOLE_BODY
    ),
}


@pytest.fixture(scope="module")
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return ("asyncio", {"use_uvloop": True})


class RawServer:
    """A server at a member's address that answers with ``response``."""

    def __init__(self, member: PlatformMember) -> None:
        self.response = VALID_RESPONSE
        self._member = member

    async def run(self) -> None:
        port = int(self._member.backend_address.rpartition(":")[2])
        listener = socket.create_server((HOST, port))
        listener.setblocking(False)
        async with anyio.create_task_group() as tg:
            while True:
                await anyio.wait_readable(listener)
                sock, _ = listener.accept()
                sock.setblocking(False)
                tg.start_soon(self._serve, sock)

    async def _serve(self, sock: socket.socket) -> None:
        head = b""
        with sock:
            while b"\r\n\r\n" not in head:
                await anyio.wait_readable(sock)
                try:
                    data = sock.recv(4096)
                except OSError:
                    return
                if not data:
                    return
                head += data
            await self._respond(sock, head)

    async def _respond(self, sock: socket.socket, head: bytes) -> None:
        if head.startswith(b"GET /healthz"):
            name = f"i-{self._member.name}".encode()
            sock.send(b"HTTP/1.1 200 OK\r\nX-Instance-Id: %b\r\n" % name)
            sock.send(b"Connection: close\r\nContent-Length: 0\r\n\r\n")
            return
        lines = head.lower().split(b"\r\n")
        attempts = [li[14:] for li in lines if li.startswith(b"x-attempt-id: ")]
        sock.send(self.response.render(attempts[0]))
        if not self.response.reset:
            await anyio.sleep(REQUEST_TIMEOUT_MS / 1000)
            return
        await anyio.sleep(0.005)
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@dataclass(frozen=True, slots=True)
class Deployment:
    server: RawServer
    owner: PlatformMember
    entry: PlatformMember


@pytest.fixture(scope="module")
async def deployment(
    anyio_backend: object, tmp_path_factory: pytest.TempPathFactory
) -> AsyncIterator[Deployment]:
    async with run_deployment(tmp_path_factory.mktemp("fleet")) as running:
        yield running


@asynccontextmanager
async def run_deployment(folder: Path) -> AsyncIterator[Deployment]:
    """Run the daemon beside the raw server, and one of another service as an entry."""
    owner, entry = make_platform_members({"orders": 10.0, "shop": 10.0}, [("n", "n1")])
    fleet = PlatformFleet(folder, reserve_ports(1))
    server = RawServer(owner)
    reporter = PlatformBackend(f"i-{owner.name}", owner.service, 6, 10.0, None)
    try:
        fleet.start_platform()
        await fleet.wait_for_platform()
        await fleet.put_configuration(make_configuration(1, ROUTES))
        fleet.start_platform_backend(entry)
        async with anyio.create_task_group() as tg:
            tg.start_soon(server.run)
            for member in (owner, entry):
                fleet.start_platform_daemon(member)
            tg.start_soon(
                reporter.send_heartbeats, owner.heartbeat_address, owner.backend_address
            )
            for member in (owner, entry):
                await wait_until_ready(member)
            with anyio.fail_after(START_TIMEOUT_S):
                await wait_until_served(owner)
                await wait_until_served(entry)
            yield Deployment(server, owner, entry)
            tg.cancel_scope.cancel()
    finally:
        fleet.stop_all()


async def send_request(member: PlatformMember, path: str, content: bytes) -> Any:
    headers = [
        ("host", VIRTUAL_HOST),
        ("x-attempt-id", uuid4().hex),
        ("x-deadline-ms", str(REQUEST_TIMEOUT_MS)),
    ]
    url = f"http://{member.caller_address}{path}item"
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("POST", url, headers=headers, content=content or None)


async def wait_until_served(member: PlatformMember) -> None:
    """Wait until a daemon knows the backend server."""
    while (await send_request(member, "/orders/", b"")).status != 200:
        await anyio.sleep(0.1)


@pytest.mark.parametrize("place", ["owner", "entry"])
@pytest.mark.parametrize("path", ["/orders/", "/pay/"])
@pytest.mark.parametrize("name", ["valid", *RESPONSES])
async def test_only_a_valid_response_reaches_the_caller(
    deployment: Deployment, name: str, path: str, place: str
) -> None:
    """Guards against a part, or bytes of another kind, that a caller takes for one."""
    response = RESPONSES.get(name, VALID_RESPONSE)
    deployment.server.response = response
    content = b"x" * UPLOAD_BYTES if response.reset else b""
    started_s = anyio.current_time()
    res = await send_request(getattr(deployment, place), path, content)
    duration_s = anyio.current_time() - started_s
    if name == "valid":
        assert (res.status, res.content) == (200, BODY)
    else:
        assert res.status == 502
        assert b"x-response-seal" not in {key.lower() for key, _ in res.headers}
    assert duration_s < MAX_DURATION_S

"""A server in trouble sends bytes without end in the body of a rejection.

The daemon beside it reads them until the server stops, and does nothing else.
"""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

MACHINES = [
    s.Machine("sidecar-a-1", "zone-a", "region-1", "blue"),
    s.Machine("sidecar-a-2", "zone-a", "region-1", "green"),
]
TIMEOUT_S = 2.0
ROUTES = [
    s.make_route("blue", "/blue/", "blue", "idempotent", "2000ms"),
    s.make_route("green", "/green/", "green", "idempotent", "2000ms"),
]
FOR_S = 15.0
CHUNK = b"1\r\nx\r\n"


POUR = f"""
import socket, sys, time
sock = socket.socket(fileno=int(sys.argv[1]))
sock.setblocking(True)
sock.settimeout(1.0)
until = time.monotonic() + float(sys.argv[2])
piece = memoryview({CHUNK!r} * 10_000)
sent, why = 0, "the trouble is over"
try:
    while time.monotonic() < until:
        try:
            # A send may take a part of a piece only; the next one continues there.
            sent += sock.send(piece[sent % len(piece):])
        except TimeoutError:
            pass
except OSError as exc:
    why = type(exc).__name__
print(f"why={{why!r}} megabytes={{sent // 1_000_000}}")
"""
"""Sends chunks on a socket until the caller closes or the trouble is over."""


class TroubledServer(s.Server):
    """Rejects requests, for a while with a body that doesn't end."""

    trouble_until = 0.0

    async def answer(self, request, reader, writer):
        if request.target == "/healthz" or time.monotonic() >= self.trouble_until:
            return await super().answer(request, reader, writer)
        self.record("endless_body_begins", server=self.name, attempt=request.attempt)
        writer.write(
            f"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {request.attempt}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        await writer.drain()
        sock = writer.get_extra_info("socket")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", POUR, str(sock.fileno()),
            str(self.trouble_until - time.monotonic()),
            pass_fds=[sock.fileno()], stdout=subprocess.PIPE,
        )
        try:
            output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        self.record("endless_body_ended", attempt=request.attempt, how=output.decode().strip())
        return False


async def case(record, trouble):
    deployment = s.Deployment(record, MACHINES)
    try:
        await deployment.start(s.make_configuration(7, ["blue", "green"], ROUTES))
        blue = TroubledServer(deployment, MACHINES[0])
        for server in (blue, s.Server(deployment, MACHINES[1])):
            await server.start()
        await deployment.wait_ready()
        until = time.monotonic() + FOR_S
        ready = []
        watch = asyncio.create_task(s.watch_ready(deployment, MACHINES[0], until, ready))
        if trouble:
            blue.trouble_until = until
        entry = MACHINES[0]
        blue_requests = [asyncio.create_task(s.ask(deployment, entry, "GET", "/blue/a", 4000))]
        green_requests = []
        while time.monotonic() < until:
            await asyncio.sleep(0.25)
            green_requests.append(
                asyncio.create_task(s.ask(deployment, entry, "GET", "/green/a", 4000))
            )
        await asyncio.gather(*blue_requests)
        answers = await asyncio.gather(*green_requests)
        await watch
        record("ready", asked=len(ready), answered=sum(ready))
        print(f"ready: {sum(ready)} of {len(ready)} questions answered")
        return s.judge_overdue(record, answers, TIMEOUT_S)
    finally:
        await deployment.close()


s.run_case(FOLDER, case)

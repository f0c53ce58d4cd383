"""Simulates a backend server: slots, service times, faults, a log of executions."""

import json
from random import Random
from typing import Any

import anyio
from cyclopts import App

from ._http import count_body, read_body, send_json, serve_app

_PART_BYTES = 64 * 1024


class Backend:
    """Executes each request for a random service time in one of its slots.

    ``/_control`` accepts a JSON object: ``slow`` multiplies the service time, ``fail``
    makes every request fail at once with status 500, ``draining`` makes ``/health``
    return 503. ``/_ledger`` lists the ids of the executed requests in order.
    ``/_totals`` returns the body bytes sent in responses whose size was requested, and
    the number of requests cancelled because the client disconnected. The header
    ``x-answer-bytes`` requests a response of that size.
    """

    def __init__(self, *, slots: int, mean_ms: float, answer_bytes: int) -> None:
        self._slots = anyio.Semaphore(slots)
        self._mean_s = mean_ms / 1000
        self._answer = b"x" * answer_bytes
        self._rng = Random(1)
        self._ledger: list[str] = []
        self._slow = 1.0
        self._fail = False
        self._draining = False
        self._sent_bytes = 0
        self._cancelled = 0

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve requests over ASGI."""
        if scope["path"] == "/_control":
            control = json.loads(await read_body(receive))
            self._slow = control.get("slow", self._slow)
            self._fail = control.get("fail", self._fail)
            self._draining = control.get("draining", self._draining)
            await send_json(send, 200, control)
        elif scope["path"] == "/health":
            status = 503 if self._draining else 200
            await send_json(send, status, {"draining": self._draining})
        elif scope["path"] == "/_ledger":
            await send_json(send, 200, self._ledger)
        elif scope["path"] == "/_totals":
            totals = {"sent_bytes": self._sent_bytes, "cancelled": self._cancelled}
            await send_json(send, 200, totals)
        else:
            await self._run(scope, receive, send)

    async def _run(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        request_id = dict(scope["headers"]).get(b"x-request-id", b"").decode()
        self._ledger.append(request_id)
        body_bytes = await count_body(receive)
        if self._fail:
            await send_json(send, 500, {"error": "failing fast"})
            return
        async with self._slots:
            # Gamma with shape 4: varied service times with few very long ones.
            drawn_s = self._rng.gammavariate(4, self._mean_s / 4)
            if body_bytes < 0 or await self._wait(drawn_s * self._slow, receive):
                self._cancelled += 1
                return
        wanted = dict(scope["headers"]).get(b"x-answer-bytes")
        size = int(wanted) if wanted is not None else len(self._answer)
        headers = [
            (b"content-length", str(size).encode()),
            (b"x-body-bytes", str(body_bytes).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        if wanted is None:
            await send({"type": "http.response.body", "body": self._answer})
            return
        while size > 0:
            part = b"x" * min(size, _PART_BYTES)
            await send({"type": "http.response.body", "body": part, "more_body": True})
            size -= len(part)
            self._sent_bytes += len(part)
        await send({"type": "http.response.body", "body": b""})

    async def _wait(self, seconds: float, receive: Any) -> bool:
        """Wait for the service time; return True if the client disconnects first."""
        with anyio.move_on_after(seconds):
            while True:
                if (await receive())["type"] == "http.disconnect":
                    return True
        return False


cli = App(name="backend", help=__doc__)


@cli.default
def run(
    *,
    host: str = "127.0.0.1",
    port: int,
    slots: int = 6,
    mean_ms: float = 10.0,
    answer_bytes: int = 1024,
) -> None:
    """Run one simulated backend server."""
    backend = Backend(slots=slots, mean_ms=mean_ms, answer_bytes=answer_bytes)
    serve_app(backend.app, host, port)


if __name__ == "__main__":
    cli()

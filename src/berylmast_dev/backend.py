"""Simulates a backend server: slots, service times, faults, a log of executions."""

import json
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
from cyclopts import App

from ._asgi import count_body, read_body, send_json, serve_app

_CHUNK_BYTES = 64 * 1024


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
        self._mean_service_time_s = mean_ms / 1000
        self._response_body = b"x" * answer_bytes
        self._rng = Random(1)
        self._executed_ids: list[str] = []
        self._slowdown = 1.0
        self._failing = False
        self._draining = False
        self._sent_bytes = 0
        self._cancelled = 0

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve requests over ASGI."""
        if scope["path"] == "/_control":
            control = json.loads(await read_body(receive))
            self._slowdown = control.get("slow", self._slowdown)
            self._failing = control.get("fail", self._failing)
            self._draining = control.get("draining", self._draining)
            await send_json(send, 200, control)
        elif scope["path"] == "/health":
            status = 503 if self._draining else 200
            await send_json(send, status, {"draining": self._draining})
        elif scope["path"] == "/_ledger":
            await send_json(send, 200, self._executed_ids)
        elif scope["path"] == "/_totals":
            totals = {"sent_bytes": self._sent_bytes, "cancelled": self._cancelled}
            await send_json(send, 200, totals)
        else:
            await self._execute(scope, receive, send)

    async def _execute(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        request_id = dict(scope["headers"]).get(b"x-request-id", b"").decode()
        self._executed_ids.append(request_id)
        body_bytes = await count_body(receive)
        if self._failing:
            await send_json(send, 500, {"error": "failing fast"})
            return
        async with self._slots:
            # Gamma with shape 4: varied service times with few very long ones.
            service_time_s = self._rng.gammavariate(4, self._mean_service_time_s / 4)
            if body_bytes < 0 or await self._wait_or_disconnect(
                service_time_s * self._slowdown, receive
            ):
                self._cancelled += 1
                return
        requested_size = dict(scope["headers"]).get(b"x-answer-bytes")
        size = (
            int(requested_size)
            if requested_size is not None
            else len(self._response_body)
        )
        headers = [
            (b"content-length", str(size).encode()),
            (b"x-body-bytes", str(body_bytes).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        if requested_size is None:
            await send({"type": "http.response.body", "body": self._response_body})
            return
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._cancel_on_disconnect, receive, tg)
            await self._send_chunks(size, send)
            tg.cancel_scope.cancel()

    async def _send_chunks(self, size: int, send: Any) -> None:
        while size > 0:
            chunk = b"x" * min(size, _CHUNK_BYTES)
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
            size -= len(chunk)
            self._sent_bytes += len(chunk)
            # The server accepts and drops what is sent after a disconnect.
            await anyio.lowlevel.checkpoint()
        await send({"type": "http.response.body", "body": b""})

    async def _cancel_on_disconnect(self, receive: Any, tg: TaskGroup) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        tg.cancel_scope.cancel()

    async def _wait_or_disconnect(self, seconds: float, receive: Any) -> bool:
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

"""Stand-in for a backend server: slots, service time, faults, a ledger of runs."""

import json
from random import Random
from typing import Any

import anyio
from cyclopts import App

from ._http import read_body, send_json, serve_app


class Backend:
    """Runs each request for a drawn service time within a number of slots.

    ``/_control`` takes JSON: ``slow`` multiplies the service time, ``fail`` answers 500
    at once. ``/_ledger`` lists the request ids that ran, in order.
    """

    def __init__(self, *, slots: int, mean_ms: float, answer_bytes: int) -> None:
        self._slots = anyio.Semaphore(slots)
        self._mean_s = mean_ms / 1000
        self._answer = b"x" * answer_bytes
        self._rng = Random(1)
        self._ledger: list[str] = []
        self._slow = 1.0
        self._fail = False

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve requests over ASGI."""
        if scope["path"] == "/_control":
            control = json.loads(await read_body(receive))
            self._slow = control.get("slow", self._slow)
            self._fail = control.get("fail", self._fail)
            await send_json(send, 200, control)
        elif scope["path"] == "/_ledger":
            await send_json(send, 200, self._ledger)
        else:
            await self._run(scope, receive, send)

    async def _run(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        request_id = dict(scope["headers"]).get(b"x-request-id", b"").decode()
        self._ledger.append(request_id)
        body = await read_body(receive)
        if self._fail:
            await send_json(send, 500, {"error": "failing fast"})
            return
        async with self._slots:
            # Gamma with shape 4: service times vary, but not without bound.
            drawn_s = self._rng.gammavariate(4, self._mean_s / 4)
            await anyio.sleep(drawn_s * self._slow)
        headers = [
            (b"content-length", str(len(self._answer)).encode()),
            (b"x-body-bytes", str(len(body)).encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": self._answer})


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
    """Serve requests as one backend server."""
    backend = Backend(slots=slots, mean_ms=mean_ms, answer_bytes=answer_bytes)
    serve_app(backend.app, host, port)


if __name__ == "__main__":
    cli()

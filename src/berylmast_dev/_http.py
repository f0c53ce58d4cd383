"""Small helpers for ASGI stand-ins."""

import json
from collections.abc import Coroutine
from typing import Any

import anyio
import uvicorn


class BodyCut(Exception):
    """The caller went away before the whole body had arrived."""


async def read_body(receive: Any) -> bytes:
    """Return the whole request body; raises BodyCut if it ends early."""
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise BodyCut
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def count_body(receive: Any) -> int:
    """Read the request body and return its length in bytes, -1 if it was cut."""
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return -1
        size += len(message.get("body", b""))
        if not message.get("more_body", False):
            return size


async def send_json(send: Any, status: int, data: object) -> None:
    """Send a whole JSON answer."""
    body = json.dumps(data).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def serve_app(
    app: Any, host: str, port: int, beside: Coroutine[Any, Any, None] | None = None
) -> None:
    """Run one app until a signal stops the process, and a task ``beside`` it."""
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http="httptools",
        interface="asgi3",
        proxy_headers=False,
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=1,
    )
    server = uvicorn.Server(config)

    async def serve() -> None:
        async with anyio.create_task_group() as tg:
            if beside is not None:
                tg.start_soon(_run, beside)
            await server.serve()
            tg.cancel_scope.cancel()

    anyio.run(serve, backend_options={"use_uvloop": True})


async def _run(task: Coroutine[Any, Any, None]) -> None:
    await task

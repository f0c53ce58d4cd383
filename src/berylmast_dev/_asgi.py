"""Helpers for the simulators, which are ASGI apps."""

import json
from collections.abc import Coroutine
from typing import Any

import anyio
import uvicorn


class IncompleteBody(Exception):
    """The client disconnected before the request body was complete."""


async def read_body(receive: Any) -> bytes:
    """Read the complete request body.

    Raises IncompleteBody if the client disconnects first.
    """
    chunks = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise IncompleteBody
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def count_body(receive: Any) -> int:
    """Read and discard the request body; return its length in bytes.

    Returns -1 if the client disconnects before the body is complete.
    """
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return -1
        size += len(message.get("body", b""))
        if not message.get("more_body", False):
            return size


async def send_json(send: Any, status: int, data: object) -> None:
    """Send a complete JSON response."""
    await send_bytes(send, status, json.dumps(data).encode())


async def send_bytes(send: Any, status: int, body: bytes) -> None:
    """Send a complete response whose body is, or pretends to be, JSON text."""
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


def serve_app(
    app: Any, host: str, port: int, background: Coroutine[Any, Any, None] | None = None
) -> None:
    """Serve an app until a signal stops the process.

    The coroutine ``background`` runs concurrently; it is cancelled when the server
    stops.
    """
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
            if background is not None:
                tg.start_soon(_await_coroutine, background)
            await server.serve()
            tg.cancel_scope.cancel()

    anyio.run(serve, backend_options={"use_uvloop": True})


async def _await_coroutine(coroutine: Coroutine[Any, Any, None]) -> None:
    await coroutine

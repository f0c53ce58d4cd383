"""TCP server whose responses are raw bytes chosen by a test."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream

from ...settings import Address
from .. import HttpClient

ConnectionHandler = Callable[[SocketStream], Awaitable[None]]


@asynccontextmanager
async def run_server(serve: ConnectionHandler) -> AsyncIterator[Address]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, serve)
        yield Address(host="127.0.0.1", port=port)
        tg.cancel_scope.cancel()
    await listener.aclose()


def respond_with(
    response_bytes: bytes, requests: list[bytes], *, close: bool
) -> ConnectionHandler:
    async def serve(stream: SocketStream) -> None:
        async with stream:
            while True:
                try:
                    requests.append(await stream.receive())
                except anyio.EndOfStream:
                    return
                await stream.send(response_bytes)
                if close:
                    return

    return serve


async def send_request(
    client: HttpClient, method: str = "GET"
) -> tuple[int, bytes, object]:
    async with client.send(method, "/", [(b"host", b"x")], None) as response:
        body = b"".join([chunk async for chunk in response.body])
        return response.status, body, list(response.trailers)


OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"

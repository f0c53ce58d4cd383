"""TCP server whose responses are raw bytes chosen by a test."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream

from ...settings import Address
from .. import HttpClient

Serve = Callable[[SocketStream], Awaitable[None]]


@asynccontextmanager
async def run_server(serve: Serve) -> AsyncIterator[Address]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, serve)
        yield Address(host="127.0.0.1", port=port)
        tg.cancel_scope.cancel()
    await listener.aclose()


def answer_with(raw: bytes, requests: list[bytes], *, close: bool) -> Serve:
    async def serve(stream: SocketStream) -> None:
        async with stream:
            while True:
                try:
                    requests.append(await stream.receive())
                except anyio.EndOfStream:
                    return
                await stream.send(raw)
                if close:
                    return

    return serve


async def call(client: HttpClient, method: str = "GET") -> tuple[int, bytes, object]:
    async with client.send(method, "/", [(b"host", b"x")], None) as answer:
        body = b"".join([part async for part in answer.body])
        return answer.status, body, list(answer.trailers)


OK = b"HTTP/1.1 200 OK\r\n"

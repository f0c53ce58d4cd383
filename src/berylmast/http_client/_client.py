"""Requests to one server over a bounded set of connections."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
from anyio.lowlevel import checkpoint_if_cancelled

from ..model import Headers
from ..settings import Address
from ._connection import (
    ConnectionCut,
    HttpConnection,
    ResponseParser,
    format_head,
    open_connection,
    read_keep_alive_s,
)
from ._idle import IdleConnections

CONNECT_TIMEOUT_S = 1.0


class ServerUnreachable(Exception):
    """No connection could be made: the request was not sent."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Head and body stream of an answer.

    ``trailers`` is complete when the body is.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    trailers: Headers = ()


@dataclass(frozen=True, slots=True)
class _Upload:
    """The body of one request; ``length`` is in bytes, None for a chunked body."""

    parts: AsyncIterator[bytes]
    length: int | None
    get_trailers: Callable[[], Headers] | None


class HttpClient:
    """Sends requests to one server over a bounded set of connections.

    With ``silence_limit_s`` a connection is given up when the server's host has not
    answered for that many seconds; it may have lost track of the connection.
    """

    def __init__(
        self, address: Address, connections: int, silence_limit_s: int | None = None
    ) -> None:
        self._address = address
        self._silence_limit_s = silence_limit_s
        self._free = anyio.Semaphore(connections)
        self._idle = IdleConnections()

    @asynccontextmanager
    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: AsyncIterator[bytes] | None,
        get_trailers: Callable[[], Headers] | None = None,
        is_stray: Callable[[Headers], bool] = lambda _headers: False,
    ) -> AsyncIterator[HttpAnswer]:
        """Send one request and give its answer; leaving early cancels it.

        ``get_trailers`` is called when the body has ended; answers for which
        ``is_stray`` holds belong to other requests and are skipped. Raises
        ServerUnreachable if nothing was sent, ConnectionCut otherwise, and what
        ``body`` raises.
        """
        upload = None
        if body is not None:
            length = dict(headers).get(b"content-length")
            upload = _Upload(
                body, None if length is None else int(length), get_trailers
            )
            if length is None:
                headers = [*headers, (b"transfer-encoding", b"chunked")]
        try:
            head = format_head(method, target, headers)
        except ValueError as exc:
            raise ServerUnreachable(str(exc)) from exc
        parser = ResponseParser(has_body=method != "HEAD", is_stray=is_stray)
        await self._acquire()
        conn: HttpConnection | None = None
        reusable = False
        try:
            conn = await self._connect()
            await conn.send(head)
            if upload is None:
                yield await _read_answer(conn, parser)
                reusable = parser.complete and parser.reusable
            else:
                async with _upload(conn, upload) as sent:
                    yield await _read_answer(conn, parser)
                    reusable = parser.complete and parser.reusable and sent.is_set()
        except ConnectionCut:
            if conn is not None and not parser.received:
                self._idle.record_lost(conn)
            raise
        finally:
            self._release(conn, reusable, read_keep_alive_s(parser.headers))

    async def _acquire(self) -> None:
        # acquire() yields to the event loop even when a connection is free.
        await checkpoint_if_cancelled()
        try:
            self._free.acquire_nowait()
            return
        except anyio.WouldBlock:
            pass
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await self._free.acquire()
        except TimeoutError as exc:
            raise ServerUnreachable("no connection became free in time") from exc

    async def _connect(self) -> HttpConnection:
        conn = self._idle.take()
        if conn is not None:
            return conn
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await open_connection(self._address, self._silence_limit_s)
        except (OSError, TimeoutError) as exc:
            raise ServerUnreachable(f"cannot reach {self._address}: {exc}") from exc

    def close(self) -> None:
        """Close the idle connections."""
        self._idle.close()

    def _release(
        self,
        conn: HttpConnection | None,
        reusable: bool,
        keep_alive_s: float | None,
    ) -> None:
        if conn is not None and reusable:
            self._idle.put(conn, keep_alive_s)
        elif conn is not None:
            conn.close()
        self._free.release()


async def _read_answer(conn: HttpConnection, parser: ResponseParser) -> HttpAnswer:
    await conn.read_head(parser)
    body = conn.iterate_body(parser)
    return HttpAnswer(parser.status, parser.headers, body, parser.trailers)


@asynccontextmanager
async def _upload(conn: HttpConnection, upload: _Upload) -> AsyncIterator[anyio.Event]:
    """Send a body while the block reads the answer; the event tells that it is sent.

    A server may answer before it has read the whole body. Exceptions leave unwrapped.
    """
    sent = anyio.Event()
    fault: Exception | None = None

    async def send_all() -> None:
        nonlocal fault
        try:
            await _send_body(conn, upload)
            sent.set()
        except _LengthMismatch as exc:
            fault = ConnectionCut(str(exc))
            tg.cancel_scope.cancel()
        except ConnectionCut:
            # The answer may have come before; otherwise reading fails as well.
            return
        except Exception as exc:
            fault = exc
            tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(send_all)
        try:
            yield sent
        except Exception as exc:
            fault = exc
        tg.cancel_scope.cancel()
    if fault is not None:
        raise fault


async def _send_body(conn: HttpConnection, upload: _Upload) -> None:
    if upload.length is None:
        async for part in upload.parts:
            if part:
                await conn.send(b"%x\r\n%b\r\n" % (len(part), part))
        trailers = upload.get_trailers() if upload.get_trailers is not None else ()
        lines = [name + b": " + value + b"\r\n" for name, value in trailers]
        await conn.send(b"".join([b"0\r\n", *lines, b"\r\n"]))
        return
    left = upload.length
    async for part in upload.parts:
        left -= len(part)
        if left < 0:
            break
        await conn.send(part)
    if left != 0:
        raise _LengthMismatch("the request body does not match its length")


class _LengthMismatch(Exception):
    """The body differs from the length in the head; the server sees it cut."""

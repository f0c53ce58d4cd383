"""HTTP client for one server, with a bounded number of connections."""

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
"""Limit on the wait for a free connection slot, and on connecting after it."""


class ServerUnreachable(Exception):
    """The request was not sent: its head is invalid or no connection was available."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Head and body stream of a response.

    ``trailers`` is filled in while the body is read and complete when the body ends.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    trailers: Headers = ()


@dataclass(frozen=True, slots=True)
class _Upload:
    """The body of one request; ``length`` is in bytes and None for a chunked body."""

    parts: AsyncIterator[bytes]
    length: int | None
    get_trailers: Callable[[], Headers] | None


class HttpClient:
    """Sends requests to one server over at most ``connections`` connections.

    With ``silence_limit_s``, the kernel closes a connection if the server's host has
    acknowledged nothing for that many seconds; it may have lost the connection's state.
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
        """Send one request and yield its response.

        Leaving the context before the end of the response cancels the request by
        closing its connection. ``get_trailers`` is called after the last chunk of a
        body without Content-Length. Responses for which ``is_stray`` returns True
        belong to other requests and are skipped.

        Raises ServerUnreachable if the request was not sent, ConnectionCut if it may
        have been sent and the response is incomplete or invalid. Exceptions of ``body``
        are passed on.
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
        # Semaphore.acquire() yields to the event loop even if a slot is free, so
        # acquire_nowait() is tried first.
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
    """Send a body in the background while the ``async with`` block reads the response.

    Yields an event that is set when the whole body was sent. A server may respond
    before it has read the body; sending stops when the block ends.
    Exceptions are raised as they are, not in an exception group.
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
            # The response may be complete already. If not, reading it fails too.
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
            # An empty chunk would end the body.
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
    """The body is shorter or longer than its Content-Length.

    The server never receives a complete body: the connection is closed.
    """

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
    format_request_head,
    open_connection,
    read_keep_alive_timeout_s,
)
from ._idle import IdleConnections

CONNECT_TIMEOUT_S = 1.0
"""Limit on the wait for a free connection slot, and on connecting after it."""

MAX_DISCARDED_BODY_BYTES = 64 * 1024
DISCARD_TIMEOUT_S = 0.1
"""Limits on reading a body that nobody needs. Beyond them, a new connection costs less
than reading on."""


class ServerUnreachable(Exception):
    """The request was not sent: its head is invalid or no connection was available."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Head and body stream of a response.

    ``trailers`` is filled in while the body is read and complete when the body ends.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    trailers: Headers = ()


async def discard_body(response: HttpResponse) -> None:
    """Read the rest of a response, so that its connection can be reused.

    Gives up after ``MAX_DISCARDED_BODY_BYTES`` or ``DISCARD_TIMEOUT_S``; the connection
    is then closed when the context of ``HttpClient.send`` ends. Raises ConnectionCut if
    the response ends early.
    """
    size = 0
    with anyio.move_on_after(DISCARD_TIMEOUT_S):
        async for part in response.body:
            size += len(part)
            if size > MAX_DISCARDED_BODY_BYTES:
                return


@dataclass(frozen=True, slots=True)
class _RequestBody:
    """The body of one request; ``content_length`` is None for a chunked body."""

    chunks: AsyncIterator[bytes]
    content_length: int | None
    get_trailers: Callable[[], Headers] | None


class HttpClient:
    """Sends requests to one server over at most ``max_connections`` connections.

    With ``silence_limit_s``, the kernel closes a connection if the server's host has
    acknowledged nothing for that many seconds; it may have lost the connection's state.
    """

    def __init__(
        self, address: Address, max_connections: int, silence_limit_s: int | None = None
    ) -> None:
        self._address = address
        self._silence_limit_s = silence_limit_s
        self._free_slots = anyio.Semaphore(max_connections)
        self._idle_connections = IdleConnections()

    @asynccontextmanager
    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: AsyncIterator[bytes] | None,
        get_trailers: Callable[[], Headers] | None = None,
        is_stray: Callable[[Headers], bool] = lambda _headers: False,
    ) -> AsyncIterator[HttpResponse]:
        """Send one request and yield its response.

        Leaving the context before the end of the response cancels the request by
        closing its connection. ``get_trailers`` is called after the last chunk of a
        body without Content-Length. Responses for which ``is_stray`` returns True
        belong to other requests and are skipped.

        Raises ServerUnreachable if the request was not sent, ConnectionCut if it may
        have been sent and the response is incomplete or invalid. Exceptions of ``body``
        are passed on.
        """
        request_body = None
        if body is not None:
            content_length = dict(headers).get(b"content-length")
            request_body = _RequestBody(
                body,
                None if content_length is None else int(content_length),
                get_trailers,
            )
            if content_length is None:
                headers = [*headers, (b"transfer-encoding", b"chunked")]
        try:
            head = format_request_head(method, target, headers)
        except ValueError as exc:
            raise ServerUnreachable(str(exc)) from exc
        parser = ResponseParser(has_body=method != "HEAD", is_stray=is_stray)
        await self._acquire_slot()
        conn: HttpConnection | None = None
        reusable = False
        try:
            conn = await self._get_connection()
            await conn.send(head)
            if request_body is None:
                yield await _read_response(conn, parser)
                reusable = parser.complete and parser.reusable
            else:
                async with _send_body_in_background(conn, request_body) as body_sent:
                    yield await _read_response(conn, parser)
                    reusable = (
                        parser.complete and parser.reusable and body_sent.is_set()
                    )
        except ConnectionCut:
            if conn is not None and not parser.received_any:
                self._idle_connections.record_failure(conn)
            raise
        finally:
            self._release_connection(
                conn, reusable, read_keep_alive_timeout_s(parser.headers)
            )

    async def _acquire_slot(self) -> None:
        # Semaphore.acquire() yields to the event loop even if a slot is free, so
        # acquire_nowait() is tried first.
        await checkpoint_if_cancelled()
        try:
            self._free_slots.acquire_nowait()
            return
        except anyio.WouldBlock:
            pass
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                await self._free_slots.acquire()
        except TimeoutError as exc:
            raise ServerUnreachable("no connection became free in time") from exc

    async def _get_connection(self) -> HttpConnection:
        conn = self._idle_connections.take()
        if conn is not None:
            return conn
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await open_connection(self._address, self._silence_limit_s)
        except (OSError, TimeoutError) as exc:
            raise ServerUnreachable(f"cannot reach {self._address}: {exc}") from exc

    def close(self) -> None:
        """Close the idle connections."""
        self._idle_connections.close()

    def _release_connection(
        self,
        conn: HttpConnection | None,
        reusable: bool,
        keep_alive_timeout_s: float | None,
    ) -> None:
        if conn is not None and reusable:
            self._idle_connections.put(conn, keep_alive_timeout_s)
        elif conn is not None:
            conn.close()
        self._free_slots.release()


async def _read_response(conn: HttpConnection, parser: ResponseParser) -> HttpResponse:
    await conn.read_head(parser)
    body = conn.iterate_body(parser)
    return HttpResponse(parser.status, parser.headers, body, parser.trailers)


@asynccontextmanager
async def _send_body_in_background(
    conn: HttpConnection, request_body: _RequestBody
) -> AsyncIterator[anyio.Event]:
    """Send a body in the background while the ``async with`` block reads the response.

    Yields an event that is set when the whole body was sent. A server may respond
    before it has read the body; sending stops when the block ends. Exceptions are
    raised as they are, not in an exception group.
    """
    body_sent = anyio.Event()
    fault: Exception | None = None

    async def send_and_record_error() -> None:
        nonlocal fault
        try:
            await _send_body(conn, request_body)
            body_sent.set()
        except _ContentLengthMismatch as exc:
            fault = ConnectionCut(str(exc))
            tg.cancel_scope.cancel()
        except ConnectionCut:
            # The response may be complete already. If not, reading it fails too.
            return
        except Exception as exc:
            fault = exc
            tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(send_and_record_error)
        try:
            yield body_sent
        except Exception as exc:
            fault = exc
        tg.cancel_scope.cancel()
    if fault is not None:
        raise fault


async def _send_body(conn: HttpConnection, request_body: _RequestBody) -> None:
    if request_body.content_length is None:
        async for chunk in request_body.chunks:
            # An empty chunk would end the body.
            if chunk:
                await conn.send(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        trailers = (
            request_body.get_trailers() if request_body.get_trailers is not None else ()
        )
        trailer_lines = [name + b": " + value + b"\r\n" for name, value in trailers]
        await conn.send(b"".join([b"0\r\n", *trailer_lines, b"\r\n"]))
        return
    remaining_bytes = request_body.content_length
    async for chunk in request_body.chunks:
        remaining_bytes -= len(chunk)
        if remaining_bytes < 0:
            break
        await conn.send(chunk)
    if remaining_bytes != 0:
        raise _ContentLengthMismatch("the request body does not match its length")


class _ContentLengthMismatch(Exception):
    """The body is shorter or longer than its Content-Length.

    The server never receives a complete body: the connection is closed.
    """

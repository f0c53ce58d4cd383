"""HTTP/1.1 connection to a server on a non-blocking socket, and its response parser.

The socket is read without a user-space buffer. Bytes that arrive while the connection
is idle stay in the kernel's buffer, where a read before the next request finds them;
such a connection is not reused.
"""

import errno
import re
import socket
from collections.abc import AsyncIterator, Callable

import anyio
import httptools
from anyio.lowlevel import checkpoint

from ..model import Headers
from ..settings import Address
from ._response_rules import (
    MAX_SKIPPED_RESPONSES,
    MIN_FINAL_STATUS,
    find_field_error,
    find_framing_error,
    find_status_line_error,
)

MAX_HEAD_BYTES = 64 * 1024
"""Limit on the headers and trailers read for one response, skipped ones included.

Also the limit on bytes received without completing a head or adding body data.
"""

_RECEIVE_SIZE_BYTES = 16 * 1024
"""Limit on the bytes that are parsed in one turn of the event loop.

A body in chunks of one byte takes thousands of parser callbacks for this many bytes.
"""

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class ConnectionCut(Exception):
    """The request may have been sent, but no complete valid response was received."""


class ResponseParser:
    """Parses the bytes of a connection into one response.

    Responses for which ``is_stray`` returns True are skipped: a late response to an
    earlier request may arrive before the expected one.

    ``received_any`` is whether the server sent anything. ``reusable`` is False if the
    connection must not carry another request: the server closes it, or sent bytes after
    the end of the response.
    """

    def __init__(
        self,
        *,
        has_body: bool,
        is_stray: Callable[[Headers], bool] = lambda _headers: False,
    ) -> None:
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.trailers: list[tuple[bytes, bytes]] = []
        self.head_complete = False
        self.received_any = False
        self.complete = False
        self.reusable = True
        self._body_parts: list[bytes] = []
        self._has_body = has_body
        self._body_ends_at_close = False
        self._skipping_response = False
        self._is_stray = is_stray
        self._bytes_without_progress = 0
        self._header_bytes = 0
        self._skipped_responses = 0
        self._reason = b""
        self._error: str | None = None
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; ``b""`` means an orderly end of the connection.

        Raises ConnectionCut if the response is invalid or incomplete.
        """
        if not data:
            self._handle_eof()
            return
        self.received_any = True
        self._bytes_without_progress += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # Invalid bytes after a complete response do not make it invalid.
            self.reusable = False
            if not self.complete:
                raise ConnectionCut(f"invalid response: {exc}") from exc
        if self._bytes_without_progress > MAX_HEAD_BYTES and not self.complete:
            self._error = f"more than {MAX_HEAD_BYTES} bytes without a header or body"
        if self._error is not None:
            raise ConnectionCut(f"invalid response: {self._error}")

    def take_body(self) -> bytes:
        """Return the body bytes received since the last call, joined.

        What is passed on does not depend on the size of the server's chunks.
        """
        data = b"".join(self._body_parts)
        self._body_parts.clear()
        return data

    def _handle_eof(self) -> None:
        self.reusable = False
        if not (self.head_complete and self._body_ends_at_close):
            raise ConnectionCut("the response ended early")
        self.complete = True

    def on_message_begin(self) -> None:
        """Mark the connection unusable if another response follows the complete one."""
        self._reason = b""
        if self.complete:
            self.reusable = False

    def on_status(self, reason: bytes) -> None:
        """Store a part of the reason in the status line."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field, or a trailer field if the head is complete."""
        if not self.complete:
            self._error = self._error or find_field_error(name, value)
            fields = self.trailers if self.head_complete else self.headers
            fields.append((name.lower(), value.rstrip(b" \t")))
            self._header_bytes += len(name) + len(value)
            if self._header_bytes > MAX_HEAD_BYTES:
                self._error = f"more than {MAX_HEAD_BYTES} bytes of headers"

    def on_headers_complete(self) -> None:
        """Complete the head; 1xx and stray responses are skipped.

        A protocol upgrade (101) is no such case: httptools raises HttpParserUpgrade.
        """
        if self.complete:
            return
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        self._error = (
            self._error
            or find_status_line_error(version, status, self._reason)
            or find_framing_error(version, self.headers)
        )
        if self._error is not None:
            return
        if status < MIN_FINAL_STATUS or self._is_stray(self.headers):
            self._skip_response()
            return
        self.status = status
        self.head_complete = True
        self._bytes_without_progress = 0
        if not self._parser.should_keep_alive():
            self.reusable = False
        names = {name for name, _ in self.headers}
        self._body_ends_at_close = not names & {b"content-length", b"transfer-encoding"}
        # httptools does not know that the response to a HEAD request has no body.
        self.complete = not self._has_body

    def _skip_response(self) -> None:
        self._skipping_response = True
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            self._error = f"more than {MAX_SKIPPED_RESPONSES} skipped responses"

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body, unless the response is skipped."""
        if self.complete:
            self.reusable = False
            return
        if self._skipping_response:
            self._bytes_without_progress = 0
            return
        self._body_parts.append(data)
        self._bytes_without_progress = 0

    def on_message_complete(self) -> None:
        """Complete the response, or start over after a skipped one."""
        if self._error is not None:
            return
        if self._skipping_response:
            self._skipping_response = False
            self.headers.clear()
            self._bytes_without_progress = 0
            return
        self.complete = True


def read_keep_alive_timeout_s(headers: Headers) -> float | None:
    """Return the idle timeout in the Keep-Alive header, None if there is none."""
    for name, value in headers:
        if name == b"keep-alive" and (match := _KEEP_ALIVE_TIMEOUT.search(value)):
            return float(match[1])
    return None


class HttpConnection:
    """Sends one request at a time and reads its response.

    ``idle_since_s`` is when the connection became idle and ``expires_at_s`` when its
    idle timeout ends. ``idle_duration_s`` is how long it was idle before the current
    request, 0 for a new connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.idle_since_s = 0.0
        self.expires_at_s = 0.0
        self.idle_duration_s = 0.0
        self._sock = sock
        self._sending_failed = False

    async def send(self, data: bytes) -> None:
        """Send all of ``data``.

        Raises ConnectionCut if the connection fails.
        """
        view = memoryview(data)
        while view:
            try:
                view = view[self._sock.send(view) :]
            except BlockingIOError:
                await anyio.wait_writable(self._sock)
            except OSError as exc:
                self._sending_failed = True
                raise ConnectionCut(f"sending failed: {exc}") from exc

    async def read_head(self, parser: ResponseParser) -> None:
        """Read until the response's head is complete.

        Raises ConnectionCut if the response is invalid or incomplete.
        """
        while not parser.head_complete:
            await anyio.wait_readable(self._sock)
            await self._feed(parser)

    async def iterate_body(self, parser: ResponseParser) -> AsyncIterator[bytes]:
        """Yield parts of the body; reads the socket only when one is requested.

        Raises ConnectionCut if the response is invalid or incomplete.
        """
        while True:
            if data := parser.take_body():
                yield data
            if parser.complete:
                return
            # Receiving does not wait while the server sends without a pause. Other
            # tasks, and the timeout of this one, must run all the same.
            await checkpoint()
            await self._feed(parser)

    async def _feed(self, parser: ResponseParser) -> None:
        while True:
            try:
                data = self._sock.recv(_RECEIVE_SIZE_BYTES)
                break
            except BlockingIOError:
                await anyio.wait_readable(self._sock)
            except OSError as exc:
                raise ConnectionCut(f"receiving failed: {exc}") from exc
        # The kernel reports a reset once. If a send call got it, the receive call
        # returns an end, as if the server had closed the connection in order.
        if not data and self._sending_failed:
            raise ConnectionCut("the connection failed while sending")
        parser.feed(data)

    @property
    def is_reusable(self) -> bool:
        """Return whether this idle connection is open and has no unread bytes.

        Bytes that arrive while no request is in flight belong to none. The check
        may consume a byte, so the connection must not be used if this is False.
        """
        try:
            self._sock.recv(1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection; the server sees a request under way as cancelled."""
        self._sock.close()


def _enable_keepalive(sock: socket.socket, silence_limit_s: int) -> None:
    """Let the kernel close the connection if the peer's host stops acknowledging.

    Keepalive probes cover an idle connection, TCP_USER_TIMEOUT unacknowledged data.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, silence_limit_s - 1))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_limit_s * 1000)


async def open_connection(
    address: Address, silence_limit_s: int | None = None
) -> HttpConnection:
    """Open a TCP connection; ``silence_limit_s`` as in HttpClient.

    Raises OSError if the connection fails.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if silence_limit_s is not None:
            _enable_keepalive(sock, silence_limit_s)
        error_code = sock.connect_ex((address.host, address.port))
        if error_code == errno.EINPROGRESS:
            await anyio.wait_writable(sock)
            error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            raise OSError(error_code, errno.errorcode.get(error_code, "connect failed"))
    except BaseException:
        sock.close()
        raise
    return HttpConnection(sock)


def format_request_head(method: str, target: str, headers: Headers) -> bytes:
    """Return the encoded request line and headers.

    Raises ValueError if one of them contains a line break, which would let a value add
    headers or requests.
    """
    lines = [f"{method} {target} HTTP/1.1\r\n".encode("latin-1")]
    for name, value in headers:
        lines += (name, b": ", value, b"\r\n")
    head = b"".join([*lines, b"\r\n"])
    line_count = len(headers) + 2
    if head.count(b"\n") != line_count or head.count(b"\r") != line_count:
        raise ValueError("line break in the head of a request")
    return head

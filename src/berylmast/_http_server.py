"""Runs an ASGI app under uvicorn as one task of the daemon."""

import asyncio
import logging
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any, cast

import httptools
import uvicorn
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from ._declined_upgrade import resume_parsing, select_framing
from .callers.app import DISCONNECT_LISTENERS_KEY, TRAILERS_KEY
from .callers.response import format_error_body, make_error_response
from .errors import ErrorKind, Refusal
from .settings import Address, LimitSettings
from .telemetry import log_event

LINGERING_CLOSE_S = 1.0
"""How long bytes that arrive after an error response are read and discarded.

Closing a socket with unread data resets the connection, and the caller may then lose
the response.
"""


def _log_cancelled_request(record: logging.LogRecord) -> bool:
    """Log a request that the end of the process cancelled without a traceback.

    Returns whether uvicorn's own record is logged. uvicorn takes the cancellation for
    an error of the app.
    """
    exc = record.exc_info[1] if record.exc_info else None
    if not isinstance(exc, asyncio.CancelledError):
        return True
    log_event("request_cancelled", reason="the process is stopping")
    return False


logging.getLogger("uvicorn.error").addFilter(_log_cancelled_request)


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    def __init__(self, config: uvicorn.Config) -> None:
        self._exit_requested = asyncio.Event()
        super().__init__(config)

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Wait until the server is told to stop.

        uvicorn's own loop wakes up ten times a second, a noticeable cost for a daemon
        that runs three servers and has few requests.
        """
        await self._exit_requested.wait()

    @property
    def should_exit(self) -> bool:
        """Return whether the server has been told to stop."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit_requested.set()


class HeaderLimitProtocol(HttpToolsProtocol):
    """uvicorn's HTTP protocol with limits on request headers and separate trailers.

    httptools buffers a header without a size limit, and uvicorn appends trailers to the
    request headers. An upgrade that a request offers is not taken. If a request is
    invalid, those before it on the connection are answered first.
    """

    max_header_bytes = 0
    get_idle_timeout_s: Callable[[], float] | None = None
    get_header_timeout_s: Callable[[], float | None] = staticmethod(lambda: None)
    _header_timer: asyncio.TimerHandle | None = None
    _header_bytes = 0
    _refused = False
    # The error response that follows those of the requests in progress.
    _pending_refusal: Refusal | None = None
    # The headers that announce the body of a request that offers an upgrade, from its
    # head on until its body is parsed.
    _offer_framing: Sequence[tuple[bytes, bytes]] = ()

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._disconnect_listeners: list[Callable[[], None]] = []

    @property  # type: ignore[override]
    def timeout_keep_alive(self) -> float:
        """Return the keep-alive timeout of callers' connections in seconds."""
        if self.get_idle_timeout_s is not None:
            return self.get_idle_timeout_s()
        return self._timeout_keep_alive

    @timeout_keep_alive.setter
    def timeout_keep_alive(self, value: float) -> None:
        self._timeout_keep_alive = value

    def data_received(self, data: bytes) -> None:
        """Parse bytes; refuse headers or trailers that exceed the size limit."""
        if self._refused:
            return
        self._header_bytes += len(data)
        self._unset_keepalive_if_required()
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")
            return
        if self._header_bytes > self.max_header_bytes:
            detail = f"more than {self.max_header_bytes} bytes of headers"
            self._refuse(Refusal(ErrorKind.HEADERS_TOO_LARGE, detail))

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                if self._refused:
                    return
                data = data[exc.args[0] :]
                framing, self._offer_framing = self._offer_framing, ()
                self.parser = resume_parsing(self, framing)

    def on_message_begin(self) -> None:
        """Start the size count and the timer of the request headers."""
        super().on_message_begin()
        self._header_bytes = 0
        timeout_s = self.get_header_timeout_s()
        if timeout_s is not None:
            self._header_timer = self.loop.call_later(
                timeout_s, self._refuse_slow_headers
            )

    def on_headers_complete(self) -> None:
        """Pass the request to the app; headers that follow are trailers."""
        self._stop_header_timer()
        if self.parser.should_upgrade():
            if self.parser.get_method() == b"CONNECT":
                self._refuse(Refusal(ErrorKind.BAD_REQUEST, "CONNECT is not supported"))
                return
            self._offer_framing = select_framing(self.headers)
        trailers: list[tuple[bytes, bytes]] = []
        scope = cast(dict[str, Any], self.scope)
        scope[TRAILERS_KEY] = trailers
        scope[DISCONNECT_LISTENERS_KEY] = self._disconnect_listeners
        super().on_headers_complete()
        self.headers = trailers
        self._header_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Pass a body chunk to the app."""
        super().on_body(body)
        self._header_bytes = 0

    def on_message_complete(self) -> None:
        """Reset the size count: the request is complete.

        httptools reports the end of a request that offers an upgrade before its body.
        """
        if self._refused or self._offer_framing:
            return
        super().on_message_complete()
        self._header_bytes = 0

    def on_response_complete(self) -> None:
        """Start the next request, or refuse the invalid one that follows."""
        refusal = self._pending_refusal
        if refusal is None or self.pipeline or self.transport.is_closing():
            super().on_response_complete()
            return
        self._pending_refusal = None
        self.flow.resume_reading()
        self._send_refusal(refusal)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timer; incomplete headers stay incomplete.

        uvicorn reports the end of the connection to one request only, and only if that
        one is reading.
        """
        self._stop_header_timer()
        super().connection_lost(exc)
        for listener in list(self._disconnect_listeners):
            listener()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse_slow_headers(self) -> None:
        self._header_timer = None
        if self.cycle is not None and not self.cycle.response_complete:
            # An earlier response is in progress; once it is complete, the keep-alive
            # timeout applies to the connection.
            return
        kind = ErrorKind.HEADERS_TIMEOUT
        self._refuse(Refusal(kind, "the head of the request took too long"))

    def send_400_response(self, msg: str) -> None:
        """Respond to invalid HTTP with an error that states the outcome."""
        self._header_bytes = 0
        self._refuse(Refusal(ErrorKind.BAD_REQUEST, msg))

    def _refuse(self, refusal: Refusal) -> None:
        if self._refused or self.transport.is_closing():
            return
        request_running = self.cycle is not None and not self.cycle.response_complete
        if request_running and self._follows_requests_in_progress():
            self._refused = True
            self._pending_refusal = refusal
            return
        if request_running:
            # The request may already have been dispatched, so its outcome is unknown.
            refusal = Refusal(ErrorKind.BODY_CUT, refusal.detail)
        if request_running and self.cycle.response_started:
            self.transport.close()
            return
        self._send_refusal(refusal)
        if request_running:
            self.cycle.disconnected = True
            self.cycle.message_event.set()

    def _follows_requests_in_progress(self) -> bool:
        """Return whether an invalid request follows others that are to be answered.

        If its head has been read, it waits in the pipeline, and is taken out of it.
        """
        if not self.cycle.more_body:
            return True
        if not self.pipeline:
            return False
        self.pipeline.popleft()
        return True

    def _send_refusal(self, refusal: Refusal) -> None:
        self.transport.write(_format_error_response(refusal))
        self.transport.write_eof()
        self._refused = True
        self.loop.call_later(LINGERING_CLOSE_S, self.transport.close)


def _format_error_response(refusal: Refusal) -> bytes:
    body = format_error_body(refusal)
    response = make_error_response(refusal)
    headers = [
        *response.headers,
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    header_lines = [key + b": " + value + b"\r\n" for key, value in headers]
    return b"".join([STATUS_LINE[response.status], *header_lines, b"\r\n", body])


def make_server(
    app: Any,
    address: Address,
    limits: LimitSettings | None = None,
    get_idle_timeout_s: Callable[[], float] | None = None,
    get_header_timeout_s: Callable[[], float | None] = lambda: None,
) -> HttpServer:
    """Return a server for one app; ``await server.serve()`` runs it.

    ``get_idle_timeout_s`` returns the keep-alive timeout if it can change while the
    server runs. ``get_header_timeout_s`` returns the time within which request headers
    must be complete, None for no limit.
    """
    limits = limits or LimitSettings()
    class_attributes: dict[str, Any] = {"max_header_bytes": limits.max_header_bytes}
    class_attributes["get_header_timeout_s"] = staticmethod(get_header_timeout_s)
    if get_idle_timeout_s is not None:
        class_attributes["get_idle_timeout_s"] = staticmethod(get_idle_timeout_s)
    protocol = type("Protocol", (HeaderLimitProtocol,), class_attributes)
    return HttpServer(
        uvicorn.Config(
            app,
            host=address.host,
            port=address.port,
            http=protocol,
            interface="asgi3",
            proxy_headers=False,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            # A short timeout closes connections just as callers reuse them.
            timeout_keep_alive=limits.keep_alive_s,
            server_header=False,
            date_header=False,
            backlog=1024,
        )
    )

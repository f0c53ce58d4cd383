"""Parses on after a request that offers a protocol upgrade, which is not taken.

RFC 9110 section 7.8: a server that does not take the offer ignores it, and the body
that the head announces belongs to the request. httptools ends the message after such a
head, without its body, and stops.
"""

from collections.abc import Sequence
from typing import Any, Protocol

import httptools

from .model import Headers

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class RequestCallbacks(Protocol):
    """The callbacks of httptools for requests."""

    def on_message_begin(self) -> None:
        """Begin a message."""

    def on_url(self, url: bytes) -> None:
        """Receive a part of the target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receive a header or trailer."""

    def on_headers_complete(self) -> None:
        """Complete the head."""

    def on_body(self, body: bytes) -> None:
        """Receive a part of the body."""

    def on_message_complete(self) -> None:
        """Complete the message."""


def select_framing(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that announce a body; empty if there is none."""
    framing = [(name, value) for name, value in headers if name in _FRAMING_HEADERS]
    has_body = any(value != b"0" for _, value in framing)
    return framing if has_body else []


def resume_parsing(
    callbacks: RequestCallbacks, framing: Sequence[tuple[bytes, bytes]]
) -> Any:
    """Return a parser for what follows the head of a request that offered an upgrade.

    With ``framing`` from ``select_framing``, the body of that request comes first, and
    then its end; without, the next request.
    """
    if not framing:
        return _make_parser(callbacks)
    parser = _make_parser(_CallbacksAfterHead(callbacks))
    lines = b"".join(name + b": " + value + b"\r\n" for name, value in framing)
    parser.feed_data(b"POST / HTTP/1.1\r\n" + lines + b"\r\n")
    return parser


def _make_parser(callbacks: object) -> Any:
    parser = httptools.HttpRequestParser(callbacks)
    # As uvicorn sets it for the parser of a new connection.
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser


class _CallbacksAfterHead:
    """Passes callbacks on, except those of the first head, which is known."""

    def __init__(self, callbacks: RequestCallbacks) -> None:
        self._callbacks = callbacks
        self._head_complete = False
        self.on_body = callbacks.on_body
        self.on_message_complete = callbacks.on_message_complete

    def on_message_begin(self) -> None:
        if self._head_complete:
            self._callbacks.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if self._head_complete:
            self._callbacks.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        # Also the trailers of the body.
        if self._head_complete:
            self._callbacks.on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._head_complete:
            self._callbacks.on_headers_complete()
        self._head_complete = True

"""The log of a golden session: one line per message, identical in every run."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, fields, is_dataclass, replace
from typing import Any

import anyio

from ..daemons.frames import CONNECTION_EXCHANGE_ID, Frame
from ..http_client import ConnectionCut, HttpResponse, ServerUnreachable
from ..model import AttemptId, Headers
from .fake_parts import FakeBackend, FakeStream, OnFrame

MAX_FORMATTED_BYTES = 200


def format_value(value: object) -> str:
    """Return a value as text that is the same in every run."""
    if isinstance(value, bytes):
        if len(value) > MAX_FORMATTED_BYTES:
            return f"<{len(value)} bytes>"
        return '"' + value.decode("latin-1").replace("\n", "\\n") + '"'
    if isinstance(value, AttemptId):
        return f"{value.entry}/{value.incarnation}/{value.counter}"
    if is_dataclass(value):
        return f"({format_fields(value)})"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(format_value, value)) + "]"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, dict):
        items = (f"{key}: {format_value(item)}" for key, item in sorted(value.items()))
        return "{" + ", ".join(items) + "}"
    return str(value)


def format_headers(headers: Headers) -> str:
    """Return headers as text, in their order."""
    pairs = (f"{k.decode('latin-1')}: {v.decode('latin-1')}" for k, v in headers)
    return "{" + ", ".join(pairs) + "}"


def format_fields(obj: Any) -> str:
    """Return the fields of a data class as text, without None, False and empty ones."""
    formatted = []
    for item in fields(obj):
        value = getattr(obj, item.name)
        if value in (None, "", b"", (), []) or value is False:
            continue
        if item.name == "exchange" and value == CONNECTION_EXCHANGE_ID:
            continue
        is_headers = item.name in ("headers", "trailers")
        text = format_headers(value) if is_headers else format_value(value)
        formatted.append(f"{item.name}={text}")
    return " ".join(formatted)


def format_frame(frame: Frame) -> str:
    """Return the type and the fields of a frame as text."""
    return f"{type(frame).__name__} {format_fields(frame)}".rstrip()


@dataclass
class SessionLog:
    """Collects the lines of a session, with times in ms since ``start``."""

    lines: list[str] = field(default_factory=list)
    started_s: float | None = None

    def start(self) -> None:
        """Start recording; earlier messages and notes are not part of the session."""
        self.started_s = anyio.current_time()

    def add_message(self, source: str, target: str, text: str) -> None:
        """Record one message."""
        if self.started_s is not None:
            now_ms = (anyio.current_time() - self.started_s) * 1000
            self.lines.append(f"{now_ms:7.0f}  {source} -> {target}  {text}")

    def add_note(self, text: str) -> None:
        """Record an event that is not a message, such as a fault."""
        if self.started_s is not None:
            now_ms = (anyio.current_time() - self.started_s) * 1000
            self.lines.append(f"{now_ms:7.0f}  # {text}")

    def make_frame_hook(self, fault: OnFrame | None, event: str) -> OnFrame:
        """Return a hook that records frames and calls the hook ``fault``, if any.

        ``event`` is the note for each frame that ``fault`` drops.
        """

        def on_frame(link: FakeStream, frame: Frame) -> bool:
            ends = (link.entry, link.owner)
            source, target = ends if link.to_owner else ends[::-1]
            silent = link.silent
            passes = fault is None or fault(link, frame)
            mark = "" if passes and not silent else "LOST "
            self.add_message(source, target, mark + format_frame(frame))
            if not passes:
                self.add_note(event)
            return passes

        return on_frame


@dataclass
class LoggedBackend(FakeBackend):
    """A fake backend server that logs its HTTP messages."""

    log: SessionLog = field(default_factory=SessionLog)

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
        """Run a request and log both directions."""
        server = f"{self.name}-server"
        self.log.add_message(
            self.name, server, f"{method} {target} {format_headers(headers)}"
        )

        async def log_request_body(parts: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
            async for part in parts:
                self.log.add_message(self.name, server, f"body {format_value(part)}")
                yield part
            trailers = get_trailers() if get_trailers is not None else ()
            self.log.add_message(self.name, server, f"end {format_headers(trailers)}")

        async def log_response_body(
            parts: AsyncIterator[bytes],
        ) -> AsyncIterator[bytes]:
            async for part in parts:
                self.log.add_message(server, self.name, f"body {format_value(part)}")
                yield part
            self.log.add_message(server, self.name, "end")

        logged_body = None if body is None else log_request_body(body)
        try:
            async with super().send(method, target, headers, logged_body) as response:
                formatted = format_headers(response.headers)
                self.log.add_message(
                    server, self.name, f"{response.status} {formatted}"
                )
                yield replace(response, body=log_response_body(response.body))
        except (ServerUnreachable, ConnectionCut) as exc:
            self.log.add_message(server, self.name, f"{type(exc).__name__}: {exc}")
            raise

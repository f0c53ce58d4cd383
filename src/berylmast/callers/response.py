"""Sends responses to a caller over ASGI."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..errors import Refusal
from ..model import Headers
from .classify import drop_hop_by_hop

OUTCOME_HEADER = b"berylmast-outcome"
ERROR_HEADER = b"berylmast-error"

_NO_CONTENT = 204
_NOT_MODIFIED = 304


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Status and headers of an error response, without Content-Length."""

    status: int
    headers: Headers


MakeErrorResponse = Callable[[Refusal], ErrorResponse]


class ResponseSequenceError(Exception):
    """The head, body or end of a response was sent twice or out of order."""


def make_error_response(refusal: Refusal) -> ErrorResponse:
    """Return the error response of Berylmast's own HTTP interface."""
    spec = refusal.response_spec
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (OUTCOME_HEADER, spec.outcome.encode()),
        (ERROR_HEADER, refusal.kind.encode()),
    ]
    if spec.retry_after_s is not None:
        headers.append((b"retry-after", str(spec.retry_after_s).encode()))
    return ErrorResponse(spec.status, headers)


def format_error_body(refusal: Refusal) -> bytes:
    """Return the body of an error response: the error kind and its detail."""
    return f"{refusal.kind}: {refusal.detail}\n".encode()


class CallerResponse:
    """Sends one response and tracks its progress.

    ``started`` is set once the head is sent, ``finished`` once the body is complete.
    ``close_on_error`` closes the connection after an error response.
    """

    def __init__(
        self,
        send: Any,
        request_id: str,
        make_error: MakeErrorResponse = make_error_response,
        *,
        close_on_error: bool = False,
    ) -> None:
        self.started = False
        self.finished = False
        self.status = 0
        self.body_bytes = 0
        self._send = send
        self._request_id = request_id
        self._make_error = make_error
        self._close_on_error = close_on_error

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a backend server's response.

        Raises ResponseSequenceError if the head was already sent.
        """
        if self.started:
            raise ResponseSequenceError("response head sent twice")
        self.started = True
        self.status = status
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": _filter_headers(status, headers),
            }
        )

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body.

        Raises ResponseSequenceError if the response has not started or has ended.
        """
        if not self.started or self.finished:
            raise ResponseSequenceError(
                "response body sent before the head or after the end"
            )
        self.body_bytes += len(data)
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """End the body, which completes the response.

        Raises ResponseSequenceError if the response has not started or has ended.
        """
        if not self.started or self.finished:
            raise ResponseSequenceError("response ended before the head or twice")
        self.finished = True
        await self._send({"type": "http.response.body", "body": b""})

    async def send_error(self, refusal: Refusal) -> None:
        """Send a complete error response that states the outcome of the request."""
        self.started = True
        self.finished = True
        error = self._make_error(refusal)
        self.status = error.status
        body = format_error_body(refusal)
        headers = [
            *error.headers,
            (b"content-length", str(len(body)).encode()),
            (b"x-request-id", self._request_id.encode("latin-1")),
        ]
        if self._close_on_error:
            headers.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": self.status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})


def _filter_headers(status: int, headers: Headers) -> list[tuple[bytes, bytes]]:
    forwarded = drop_hop_by_hop(headers)
    has_transfer_coding = any(key.lower() == b"transfer-encoding" for key, _ in headers)
    if has_transfer_coding or status in (_NO_CONTENT, _NOT_MODIFIED):
        # RFC 9112 section 6.3: Transfer-Encoding overrides Content-Length. On 204 and
        # 304, uvicorn expects a body of that length and closes the connection.
        forwarded = [
            (key, value) for key, value in forwarded if key != b"content-length"
        ]
    return forwarded

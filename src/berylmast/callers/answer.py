"""Answers to a caller over ASGI."""

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
class ErrorAnswer:
    """Status and headers of an error answer, without the length of its body."""

    status: int
    headers: Headers


MakeErrorAnswer = Callable[[Refusal], ErrorAnswer]


class AnswerMismatch(Exception):
    """The parts of an answer are doubled or out of order."""


def make_error_answer(refusal: Refusal) -> ErrorAnswer:
    """Return the error answer of the project's own interface."""
    answer = refusal.answer
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (OUTCOME_HEADER, answer.outcome.encode()),
        (ERROR_HEADER, refusal.kind.encode()),
    ]
    if answer.retry_after_s is not None:
        headers.append((b"retry-after", str(answer.retry_after_s).encode()))
    return ErrorAnswer(answer.status, headers)


def format_error_body(refusal: Refusal) -> bytes:
    """Return the body of an error answer: its kind and what was wrong."""
    return f"{refusal.kind}: {refusal.detail}\n".encode()


class CallerAnswer:
    """Sends one answer; knows whether its head is out and whether it is whole."""

    def __init__(
        self,
        send: Any,
        request_id: str,
        make_error: MakeErrorAnswer = make_error_answer,
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
        """Send the head of a backend server's answer.

        Raises AnswerMismatch if a head is already out.
        """
        if self.started:
            raise AnswerMismatch("second head of an answer")
        self.started = True
        self.status = status
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": _select_headers(status, headers),
            }
        )

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body.

        Raises AnswerMismatch before the head and after the end.
        """
        if not self.started or self.finished:
            raise AnswerMismatch("body outside of an answer")
        self.body_bytes += len(data)
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """End the body: the answer is whole.

        Raises AnswerMismatch before the head and after the end.
        """
        if not self.started or self.finished:
            raise AnswerMismatch("end outside of an answer")
        self.finished = True
        await self._send({"type": "http.response.body", "body": b""})

    async def send_error(self, refusal: Refusal) -> None:
        """Send a whole error answer that states the outcome."""
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


def _select_headers(status: int, headers: Headers) -> list[tuple[bytes, bytes]]:
    kept = drop_hop_by_hop(headers)
    coded = any(key.lower() == b"transfer-encoding" for key, _ in headers)
    if coded or status in (_NO_CONTENT, _NOT_MODIFIED):
        # RFC 9112 section 6.3: a transfer coding overrides the length. uvicorn takes a
        # length on 204 and 304 for that of a body and closes the connection.
        kept = [(key, value) for key, value in kept if key != b"content-length"]
    return kept

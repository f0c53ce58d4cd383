"""Answers to a caller over ASGI."""

from typing import Any

from ..errors import Refusal
from ..model import Headers
from .classify import drop_hop_by_hop

OUTCOME_HEADER = b"berylmast-outcome"
ERROR_HEADER = b"berylmast-error"


class CallerAnswer:
    """Sends one answer; knows whether its head is out."""

    def __init__(self, send: Any, request_id: str) -> None:
        self.started = False
        self.status = 0
        self.body_bytes = 0
        self._send = send
        self._request_id = request_id

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a backend server's answer."""
        self.started = True
        self.status = status
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": drop_hop_by_hop(headers),
            }
        )

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        self.body_bytes += len(data)
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """End the body: the answer is whole."""
        await self._send({"type": "http.response.body", "body": b""})

    async def send_error(self, refusal: Refusal) -> None:
        """Send a whole error answer that states the outcome."""
        answer = refusal.answer
        self.started = True
        self.status = answer.status
        body = f"{refusal.kind}: {refusal.detail}\n".encode()
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
            (OUTCOME_HEADER, answer.outcome.encode()),
            (ERROR_HEADER, refusal.kind.encode()),
            (b"x-request-id", self._request_id.encode("latin-1")),
        ]
        if answer.retry_after_s is not None:
            headers.append((b"retry-after", str(answer.retry_after_s).encode()))
        await self._send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})

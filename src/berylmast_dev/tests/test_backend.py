"""Guards against a simulated backend server that counts bytes it does not send."""

from typing import Any

import anyio
import pytest

from ..backend import Backend

pytestmark = pytest.mark.anyio

BULK_BYTES = 50 * 1024 * 1024


async def test_abandoned_response_stops_counting_sent_bytes() -> None:
    """The rest of such a response was counted in the test that ran next."""
    backend = Backend(slots=1, mean_ms=1, answer_bytes=1)
    disconnected = anyio.Event()
    head_sent = anyio.Event()
    requests = [{"type": "http.request", "body": b"", "more_body": False}]

    async def receive() -> dict[str, Any]:
        if requests:
            return requests.pop()
        await disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            head_sent.set()

    async def leave() -> None:
        await head_sent.wait()
        disconnected.set()

    headers = [(b"x-answer-bytes", str(BULK_BYTES).encode())]
    scope = {"path": "/", "headers": headers}
    async with anyio.create_task_group() as tg:
        tg.start_soon(leave)
        await backend.app(scope, receive, send)
    totals: list[bytes] = []

    async def collect(message: dict[str, Any]) -> None:
        totals.append(message.get("body", b""))

    await backend.app({"path": "/_totals", "headers": []}, receive, collect)
    assert b'"sent_bytes": 0' not in totals[1]
    assert str(BULK_BYTES).encode() not in totals[1]

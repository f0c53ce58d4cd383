"""Guards against GET requests with side effects and unavailable reports."""

import json
from typing import Any

import pytest

from ...lifecycle import Lifecycle
from ...telemetry import RequestRecorder
from ..daemon_admin import make_daemon_admin

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("method", "path", "status", "leaving"),
    [
        ("GET", "/status", 200, False),
        ("GET", "/histograms", 200, False),
        ("GET", "/routing", 200, False),
        ("POST", "/drain", 200, True),
        ("GET", "/explain", 200, False),
        ("POST", "/explain", 404, False),
        ("GET", "/drain", 404, False),
        ("POST", "/status", 404, False),
        ("DELETE", "/status", 404, False),
    ],
)
async def test_admin_interface(
    method: str, path: str, status: int, leaving: bool
) -> None:
    lifecycle = Lifecycle()
    app = make_daemon_admin(RequestRecorder(None), lifecycle, None, dict, dict, dict)
    sent: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    await app({"method": method, "path": path}, None, send)
    assert sent[0]["status"] == status
    assert json.loads(sent[1]["body"]) is not None
    assert lifecycle.leaving is leaving

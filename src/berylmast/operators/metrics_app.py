"""ASGI app that serves the metrics of one daemon."""

from collections.abc import Callable
from typing import Any

from .admin import ASGIApp

METRICS_PATH = "/metrics"


def make_metrics_app(render: Callable[[], bytes]) -> ASGIApp:
    """Return the ASGI app that serves the output of ``render`` at ``/metrics``."""

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        matches = scope["path"] == METRICS_PATH
        body = render() if matches else b""
        headers = [
            (b"content-type", b"text/plain; version=0.0.4; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
        ]
        status = 200 if matches else 404
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    return app

"""Readiness endpoint that the platform polls."""

from collections.abc import Callable
from typing import Any

from .admin import ASGIApp


def add_readiness_path(
    admin: ASGIApp, path: str, is_ready: Callable[[], bool]
) -> ASGIApp:
    """Extend the admin app with a readiness path.

    The path returns 200 while the daemon accepts requests of callers, 503 otherwise.
    """

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http" or scope["path"] != path:
            await admin(scope, receive, send)
            return
        status = 200 if is_ready() else 503
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})

    return app

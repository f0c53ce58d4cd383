"""Closes the connections of callers while this daemon shuts down."""

from collections.abc import Callable
from typing import Any

from .app import ASGIApp


def close_connections_while_stopping(
    app: ASGIApp, is_stopping: Callable[[], bool]
) -> ASGIApp:
    """Return an app that adds ``Connection: close`` to its responses while stopping.

    An idle connection is not closed, because the caller may just have sent a request on
    it. Closing a connection after a response can't lose a request.
    """

    async def closing_app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        async def send_with_close(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_stopping():
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_with_close)

    return closing_app

"""Closes the connections of callers while this daemon shuts down."""

from collections.abc import Callable
from typing import Any

from .app import App


def close_connections(app: App, is_stopping: Callable[[], bool]) -> App:
    """Return an app that adds ``Connection: close`` to its responses while stopping.

    An idle connection is not closed, because the caller may just have sent a request on
    it. Closing a connection after a response can't lose a request.
    """

    async def wrapped(scope: dict[str, Any], receive: Any, send: Any) -> None:
        async def send_closing(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_stopping():
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_closing)

    return wrapped

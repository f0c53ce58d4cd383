"""Asks callers to reconnect elsewhere while this daemon is on its way out."""

from collections.abc import Callable
from typing import Any

from .app import App


def close_connections(app: App, is_stopping: Callable[[], bool]) -> App:
    """Return an app whose answers close the caller's connection while stopping.

    Closing an idle connection could cross with a request that is already on its way;
    closing after an answer can't.
    """

    async def wrapped(scope: dict[str, Any], receive: Any, send: Any) -> None:
        async def send_closing(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_stopping():
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_closing)

    return wrapped

"""The HTTP interface of a daemon for operators."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

App = Callable[[dict[str, Any], Any, Any], Awaitable[None]]
Report = Callable[[], object]


def make_admin_app(reports: dict[str, Report]) -> App:
    """Return an ASGI app that answers ``GET /<name>`` with a JSON report."""

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        report = reports.get(scope["path"].lstrip("/"))
        status = 404 if report is None else 200
        data = {"error": "no such report"} if report is None else report()
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-type", b"application/json")],
            }
        )
        await send({"type": "http.response.body", "body": json.dumps(data).encode()})

    return app

"""The HTTP interface of a daemon for operators."""

import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

App = Callable[[dict[str, Any], Any, Any], Awaitable[None]]
Report = Callable[[], object]
Action = Callable[[], object]


def make_admin_app(reports: Mapping[str, Report], actions: Mapping[str, Action]) -> App:
    """Return an ASGI app: ``GET /<report>`` reads, ``POST /<action>`` acts.

    Both answer with JSON; an unknown name is answered with the known ones.
    """
    handlers = {"GET": reports, "POST": actions}

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        known = handlers.get(scope["method"], {})
        handler = known.get(scope["path"].strip("/"))
        if handler is None:
            await _send_json(send, 404, {"error": "not found", "known": sorted(known)})
        else:
            await _send_json(send, 200, handler())

    return app


async def _send_json(send: Any, status: int, data: object) -> None:
    headers = [(b"content-type", b"application/json")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": json.dumps(data).encode()})

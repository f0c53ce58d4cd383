"""ASGI app of the HTTP admin interface."""

import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any
from urllib.parse import parse_qsl

ASGIApp = Callable[[dict[str, Any], Any, Any], Awaitable[None]]
ReportHandler = Callable[[], object]
ActionHandler = Callable[[], object]
QueryHandler = Callable[[Mapping[str, str]], object]


def make_admin_app(
    reports: Mapping[str, ReportHandler],
    actions: Mapping[str, ActionHandler],
    queries: Mapping[str, QueryHandler],
) -> ASGIApp:
    """Return the ASGI app of the admin interface.

    ``GET /<report>`` returns a report, ``GET /<query>?name=value`` runs a query with
    parameters, and ``POST /<action>`` runs an action. All responses are JSON. An
    unknown path gets 404 with the list of known names.
    """
    handlers: dict[str, dict[str, QueryHandler]] = {
        "GET": {name: _ignore_query(report) for name, report in reports.items()}
        | dict(queries),
        "POST": {name: _ignore_query(action) for name, action in actions.items()},
    }

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        known = handlers.get(scope["method"], {})
        handler = known.get(scope["path"].strip("/"))
        if handler is None:
            await _send_json(send, 404, {"error": "not found", "known": sorted(known)})
        else:
            await _send_json(send, 200, handler(_read_query(scope)))

    return app


def _ignore_query(handler: Callable[[], object]) -> QueryHandler:
    return lambda _: handler()


def _read_query(scope: dict[str, Any]) -> dict[str, str]:
    text: bytes = scope.get("query_string", b"")
    return dict(parse_qsl(text.decode("latin-1"), keep_blank_values=True))


async def _send_json(send: Any, status: int, data: object) -> None:
    headers = [(b"content-type", b"application/json")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": json.dumps(data).encode()})

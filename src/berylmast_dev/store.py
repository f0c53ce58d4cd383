"""Stand-in for the platform's object API."""

import json
from typing import Any

from cyclopts import App

from ._http import read_body, send_json, serve_app


class Store:
    """Objects by kind and name, with versions and conditional updates."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._version = 0
        self.calls = 0

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve the object API over ASGI."""
        self.calls += 1
        parts = scope["path"].strip("/").split("/")
        if parts == ["calls"]:
            await send_json(send, 200, {"calls": self.calls})
        elif len(parts) == 2 and scope["method"] == "GET":
            items = [o for (kind, _), o in self._objects.items() if kind == parts[1]]
            await send_json(send, 200, {"items": items})
        elif len(parts) == 3 and scope["method"] == "GET":
            found = self._objects.get((parts[1], parts[2]))
            await send_json(send, 200 if found else 404, found or {"error": "none"})
        elif len(parts) == 3 and scope["method"] == "PUT":
            status, data = self._put(parts[1], parts[2], await read_body(receive))
            await send_json(send, status, data)
        else:
            await send_json(send, 404, {"error": "no such path"})

    def _put(self, kind: str, name: str, body: bytes) -> tuple[int, dict[str, Any]]:
        new = json.loads(body)
        old = self._objects.get((kind, name))
        wanted = new["metadata"].get("resourceVersion")
        stored = 0 if old is None else old["metadata"]["resourceVersion"]
        if wanted is not None and wanted != stored:
            return 409, {"error": "conflict"}
        self._version += 1
        new["metadata"]["resourceVersion"] = self._version
        self._objects[(kind, name)] = new
        return 200, new


cli = App(name="store", help=__doc__)


@cli.default
def run(*, host: str = "127.0.0.1", port: int) -> None:
    """Serve the object API."""
    serve_app(Store().app, host, port)


if __name__ == "__main__":
    cli()

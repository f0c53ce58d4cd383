"""Stand-in for the platform's object API, with faults and a meter of calls."""

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import anyio
from cyclopts import App

from ._http import read_body, send_json, serve_app
from .objects import ObjectTable

DEFAULT_BOOKMARK_S = 5.0


@dataclass(slots=True)
class Faults:
    """Faults in force; ``/control`` sets them from a JSON object.

    ``outage`` is "refuse" (503 at once), "hang" (no answer), or "". ``slow_s`` delays
    every call. ``lose_answers`` is the number of writes that take effect and hang.
    ``silent_watches`` stops events and bookmarks of the watches that are open.
    """

    outage: str = ""
    slow_s: float = 0.0
    lose_answers: int = 0
    silent_watches: bool = False


class Store:
    """Serves objects, and keeps a count of each call and each waiting watch."""

    def __init__(self) -> None:
        self.table = ObjectTable()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.watching: Counter[str] = Counter()
        self._watch_epoch = 0

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve the object API, ``/control`` and ``/calls`` over ASGI."""
        parts = scope["path"].strip("/").split("/")
        if parts == ["calls"]:
            await send_json(send, 200, self.report())
        elif parts == ["control"]:
            self.control(json.loads(await read_body(receive)))
            await send_json(send, 200, {})
        elif parts[0] == "objects" and len(parts) in (2, 3):
            await self._serve_call(scope, parts[1:], receive, send)
        else:
            await send_json(send, 404, {"error": "no such path"})

    def report(self) -> dict[str, Any]:
        """Return the calls so far and the watches open now, by verb and kind."""
        return {
            "calls": sum(self.calls.values()),
            "by_call": dict(self.calls),
            "watching": {key: n for key, n in self.watching.items() if n},
        }

    def control(self, change: dict[str, Any]) -> None:
        """Inject or end faults; ``compact`` forgets the history at once."""
        if change.pop("compact", False):
            self.table.compact()
        for name, value in change.items():
            setattr(self.faults, name, value)
        if self.faults.silent_watches or self.faults.outage:
            # Watches opened later work: this fault concerns open connections only.
            self._watch_epoch += 1
            self.faults.silent_watches = False

    async def _serve_call(
        self, scope: dict[str, Any], parts: list[str], receive: Any, send: Any
    ) -> None:
        query = {
            key: values[-1]
            for key, values in parse_qs(scope["query_string"].decode()).items()
        }
        verb = _name_verb(scope["method"], parts, query)
        self.calls[f"{verb} {parts[0]}"] += 1
        body = await read_body(receive)
        if self.faults.slow_s:
            await anyio.sleep(self.faults.slow_s)
        if self.faults.outage == "refuse":
            await send_json(send, 503, {"error": "unavailable"})
        elif self.faults.outage == "hang":
            await _hang(receive)
        elif verb == "watch":
            await self._serve_watch(parts[0], query, receive, send)
        else:
            status, data = self._run(verb, parts, query, body)
            if verb in ("put", "delete") and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                await _hang(receive)
                return
            await send_json(send, status, data)

    def _run(
        self, verb: str, parts: list[str], query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if verb == "list":
            items = self.table.select(parts[0], _read_name(query))
            metadata = {"resourceVersion": self.table.version}
            return 200, {"metadata": metadata, "items": items}
        kind, name = parts
        if verb == "get":
            found = self.table.get(kind, name)
            return (200, found) if found else (404, {"error": "none"})
        if verb == "put":
            new = json.loads(body)
            version = new["metadata"].get("resourceVersion")
            stored = self.table.put(kind, name, new["spec"], version)
            return (200, stored) if stored else (409, {"error": "conflict"})
        text = query.get("resourceVersion")
        status = self.table.delete(kind, name, int(text) if text else None)
        return status, {}

    async def _serve_watch(
        self, kind: str, query: dict[str, str], receive: Any, send: Any
    ) -> None:
        version = int(query["resourceVersion"])
        if not self.table.is_kept(version):
            await send_json(send, 410, {"error": "version too old"})
            return
        head = {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-type", b"application/json")],
        }
        await send(head)
        self.watching[kind] += 1
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._stream, kind, query, version, send)
                await _hang(receive)
                tg.cancel_scope.cancel()
        finally:
            self.watching[kind] -= 1

    async def _stream(
        self, kind: str, query: dict[str, str], version: int, send: Any
    ) -> None:
        interval_s = float(query.get("bookmarkSeconds", DEFAULT_BOOKMARK_S))
        name = _read_name(query)
        epoch = self._watch_epoch
        sent_s = anyio.current_time()
        while epoch == self._watch_epoch:
            if not self.table.is_kept(version):
                await send_line(send, {"type": "ERROR", "object": {"code": 410}})
                return
            events = self.table.changes(kind, version, name)
            version = self.table.version
            if anyio.current_time() - sent_s >= interval_s:
                metadata = {"resourceVersion": version}
                events.append({"type": "BOOKMARK", "object": {"metadata": metadata}})
            for event in events:
                sent_s = anyio.current_time()
                await send_line(send, event)
            with anyio.move_on_after(sent_s + interval_s - anyio.current_time()):
                await self.table.wait_change()
        await anyio.sleep_forever()


async def send_line(send: Any, event: dict[str, Any]) -> None:
    """Send one event as a line of JSON."""
    line = json.dumps(event).encode() + b"\n"
    await send({"type": "http.response.body", "body": line, "more_body": True})


def _name_verb(method: str, parts: list[str], query: dict[str, str]) -> str:
    if method == "GET" and len(parts) == 1:
        return "watch" if "watch" in query else "list"
    return method.lower()


def _read_name(query: dict[str, str]) -> str | None:
    selector = query.get("fieldSelector")
    return None if selector is None else selector.partition("=")[2]


async def _hang(receive: Any) -> None:
    """Wait without answering until the client goes away."""
    while (await receive())["type"] != "http.disconnect":
        pass


cli = App(name="store", help=__doc__)


@cli.default
def run(*, host: str = "127.0.0.1", port: int) -> None:
    """Serve the object API."""
    serve_app(Store().app, host, port)


if __name__ == "__main__":
    cli()

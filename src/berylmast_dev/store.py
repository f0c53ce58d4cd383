"""Simulates the platform's object store, with fault injection and call counts."""

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import anyio
from cyclopts import App

from ._asgi import IncompleteBody, read_body, send_bytes, send_json, serve_app
from .objects import Change, ObjectTable

API_PATH_PREFIX = ["v1", "objects"]
MAX_PAGE_ITEMS = 500
MAX_WATCH_WAIT_MS = 30_000
ENDPOINT_KIND = "berylmast-endpoints"
ERA_HEADER = b"store-era"
WRITE_VERBS = ("create", "put", "delete")


@dataclass(slots=True)
class Faults:
    """Injected faults; a JSON object posted to ``/control`` sets them.

    ``outage`` is "refuse" (status 503 at once), "limit" (status 429 at once), "hang"
    (no response) or "" (none). ``hosts`` limits the outage to clients at these
    addresses; empty means all clients. ``slow_s`` delays every call. ``lose_answers``
    is the number of coming writes that take effect but get no response; ``late_s``
    delays their effect. ``silent_watches`` leaves the watches that are open now without
    a response. ``other_entries`` are items of another writer, as text in which bytes
    are characters; they precede the others in the list of endpoint records.
    """

    outage: str = ""
    hosts: tuple[str, ...] = ()
    slow_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    silent_watches: bool = False
    other_entries: tuple[str, ...] = ()


class Store:
    """Serves objects over HTTP; counts the calls and the open watches."""

    def __init__(self) -> None:
        self.table = ObjectTable()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.watching: Counter[str] = Counter()
        self._watch_epoch = 0

    async def app(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Serve the object store, ``/control`` and ``/calls`` over ASGI."""
        send = self._add_era(send)
        segments = scope["path"].strip("/").split("/")
        if segments == ["calls"]:
            await send_json(send, 200, self.get_call_report())
        elif segments == ["control"]:
            self.control(json.loads(await read_body(receive)))
            await send_json(send, 200, {})
        elif segments[:2] == API_PATH_PREFIX and len(segments) in (3, 4):
            await self._serve_call(scope, segments[2:], receive, send)
        else:
            await send_json(send, 404, {"error": "no such path"})

    def _add_era(self, send: Any) -> Any:
        async def send_with_era(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start":
                era = (ERA_HEADER, str(self.table.era).encode())
                message = {**message, "headers": [*message["headers"], era]}
            await send(message)

        return send_with_era

    def get_call_report(self) -> dict[str, Any]:
        """Return the calls so far by verb and kind, and the open watches by kind."""
        return {
            "calls": sum(self.calls.values()),
            "by_call": dict(self.calls),
            "watching": {key: n for key, n in self.watching.items() if n},
        }

    def control(self, change: dict[str, Any]) -> None:
        """Set faults by name; ``compact`` discards the history at once."""
        if change.pop("compact", False):
            self.table.compact()
        for name, value in change.items():
            setattr(self.faults, name, value)
        if self.faults.silent_watches:
            # The fault affects only watches that are already open.
            self._watch_epoch += 1
            self.faults.silent_watches = False

    async def _serve_call(
        self, scope: dict[str, Any], segments: list[str], receive: Any, send: Any
    ) -> None:
        query = {
            key: values[-1]
            for key, values in parse_qs(scope["query_string"].decode()).items()
        }
        verb = _get_verb(scope["method"], segments, query)
        self.calls[f"{verb} {segments[0]}"] += 1
        try:
            body = await read_body(receive)
        except IncompleteBody:
            # The client disconnected before its request was complete.
            return
        if self.faults.slow_s:
            await anyio.sleep(self.faults.slow_s)
        outage = self._get_outage(scope["client"][0])
        if outage in ("refuse", "limit"):
            status = 503 if outage == "refuse" else 429
            await send_json(send, status, {"error": outage})
        elif outage == "hang":
            await _wait_for_disconnect(receive)
        elif verb == "watch":
            await self._serve_watch(segments[0], query, receive, send)
        else:
            if verb in WRITE_VERBS and self.faults.lose_answers > 0:
                await anyio.sleep(self.faults.late_s)
            status, data = self._execute_call(verb, segments, query, body)
            if verb in WRITE_VERBS and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                await _wait_for_disconnect(receive)
                return
            entries = self.faults.other_entries
            if verb == "list" and segments[0] == ENDPOINT_KIND and entries:
                await send_bytes(send, status, _insert_items(data, entries))
            else:
                await send_json(send, status, data)

    def _get_outage(self, host: str) -> str:
        exempt = self.faults.hosts and host not in self.faults.hosts
        return "" if exempt else self.faults.outage

    def _execute_call(
        self, verb: str, segments: list[str], query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        kind = segments[0]
        match verb:
            case "list":
                return 200, self._list(kind, query.get("after", ""))
            case "create":
                new = json.loads(body)
                name = new["metadata"]["name"]
                created = self.table.put(kind, name, new["spec"], 0)
                if created is None:
                    return 409, self.table.get(kind, name)
                return 201, created
            case "get":
                found = self.table.get(kind, segments[1])
                return (200, found) if found else (404, {"error": "none"})
            case "put":
                return self._replace(kind, segments[1], json.loads(body))
            case _:
                expected_revision = query.get("revision")
                status = self.table.delete(
                    kind,
                    segments[1],
                    int(expected_revision) if expected_revision else None,
                )
                return status, self.table.get(kind, segments[1]) or {}

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        items = [
            o for o in self.table.list_objects(kind) if o["metadata"]["name"] > after
        ]
        return {
            "items": items[:MAX_PAGE_ITEMS],
            "hasMore": len(items) > MAX_PAGE_ITEMS,
            "at": self.table.revision,
        }

    def _replace(self, kind: str, name: str, new: dict[str, Any]) -> tuple[int, Any]:
        if self.table.get(kind, name) is None:
            return 404, {"error": "none"}
        revision = new["metadata"].get("revision")
        stored = self.table.put(kind, name, new["spec"], revision)
        return (409, self.table.get(kind, name)) if stored is None else (200, stored)

    async def _serve_watch(
        self, kind: str, query: dict[str, str], receive: Any, send: Any
    ) -> None:
        revision = int(query["watch"])
        wait_s = min(int(query.get("waitMs", 0)), MAX_WATCH_WAIT_MS) / 1000
        epoch = self._watch_epoch
        self.watching[kind] += 1
        try:
            changes = await self._wait_changes(kind, revision, wait_s)
        finally:
            self.watching[kind] -= 1
        if epoch != self._watch_epoch:
            await _wait_for_disconnect(receive)
        elif changes is None:
            await send_json(send, 410, {"error": "history is gone"})
        else:
            events = [{"deleted": c.deleted, "object": c.object} for c in changes]
            await send_json(send, 200, {"events": events, "at": self.table.revision})

    async def _wait_changes(
        self, kind: str, revision: int, wait_s: float
    ) -> list[Change] | None:
        """Wait for changes after ``revision`` and return them, empty after ``wait_s``.

        Returns None if the history no longer reaches back to ``revision``.
        """
        with anyio.move_on_after(wait_s):
            while self.table.has_history_since(revision):
                changes = self.table.get_changes_since(kind, revision)
                if changes:
                    return changes
                await self.table.wait_for_change()
            return None
        return [] if self.table.has_history_since(revision) else None


def _insert_items(page: dict[str, Any], items: Sequence[str]) -> bytes:
    """Return the JSON text of a page of a list with further items as they are."""
    sound = [json.dumps(item) for item in page["items"]]
    rest = json.dumps({key: value for key, value in page.items() if key != "items"})
    text = f'{{"items": [{", ".join([*items, *sound])}], {rest[1:]}'
    return text.encode("latin-1")


def _get_verb(method: str, segments: list[str], query: dict[str, str]) -> str:
    if method == "GET" and len(segments) == 1:
        return "watch" if "watch" in query else "list"
    return {"POST": "create"}.get(method, method.lower())


async def _wait_for_disconnect(receive: Any) -> None:
    """Send no response and wait until the client disconnects."""
    while (await receive())["type"] != "http.disconnect":
        pass


cli = App(name="store", help=__doc__)


@cli.default
def run(*, host: str = "127.0.0.1", port: int) -> None:
    """Serve the object store."""
    serve_app(Store().app, host, port)


if __name__ == "__main__":
    cli()

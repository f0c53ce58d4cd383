"""Client of the platform's object API over HTTP."""

import json
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import Any
from urllib.parse import urlencode

import httpcore
from pydantic import ValidationError

from ..settings import Address
from .objects import (
    Conflict,
    Listing,
    PlatformObject,
    PlatformUnavailable,
    VersionTooOld,
    WatchEvent,
)

CALL_TIMEOUT_S = 2.0
IDLE_CONNECTION_S = 2.0
"""Servers commonly close connections idle for 5 s, which is also the interval of lease
renewals: a call sent at that moment is lost and must be read back."""

BOOKMARK_INTERVAL_S = 1.0
"""Requested interval of bookmarks; they show that a quiet watch still works."""

MAX_EVENT_BYTES = 4 * 1024 * 1024
"""A value is at most 1 MB, but JSON escapes may lengthen it."""

_UNSENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    ValueError,
)


class PlatformClient:
    """Calls the object API; every call counts against the platform's rates."""

    def __init__(self, address: Address) -> None:
        self.calls = 0
        self._base = f"http://{address}/objects"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=8, keepalive_expiry=IDLE_CONNECTION_S
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        """Read one object, None if it does not exist."""
        status, data = await self._call("GET", f"/{kind}/{name}")
        if status == 404:
            return None
        return _parse_object(status, data)

    async def list(self, kind: str, name: str | None = None) -> Listing:
        """Read all objects of a kind, or the one of that name."""
        status, data = await self._call("GET", f"/{kind}?{_select(name)}")
        if status != 200:
            raise PlatformUnavailable(f"the platform answered {status}")
        try:
            items = tuple(PlatformObject.model_validate(i) for i in data["items"])
            return Listing(int(data["metadata"]["resourceVersion"]), items)
        except (ValueError, KeyError, TypeError) as exc:
            raise PlatformUnavailable(f"bad list from the platform: {exc}") from exc

    async def put(
        self, kind: str, name: str, spec: dict[str, Any], version: int | None
    ) -> PlatformObject:
        """Write one object; ``version`` is the one it must have now, 0 for none.

        None writes whatever the version is. Raises Conflict if another version is
        stored, PlatformUnavailable if the outcome is unknown.
        """
        metadata: dict[str, Any] = {"name": name}
        if version is not None:
            metadata["resourceVersion"] = version
        body = {"kind": kind, "metadata": metadata, "spec": spec}
        status, data = await self._call("PUT", f"/{kind}/{name}", body)
        if status == 409:
            raise Conflict(f"{kind}/{name} is not at version {version}")
        return _parse_object(status, data)

    async def delete(self, kind: str, name: str, version: int | None) -> None:
        """Delete one object; one that does not exist is no error.

        Raises Conflict if another version is stored.
        """
        query = "" if version is None else f"?resourceVersion={version}"
        status, _ = await self._call("DELETE", f"/{kind}/{name}{query}")
        if status == 409:
            raise Conflict(f"{kind}/{name} is not at version {version}")
        if status not in (200, 404):
            raise PlatformUnavailable(f"the platform answered {status}")

    async def watch(
        self, kind: str, version: int, name: str | None = None
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes after a version until the platform ends the watch.

        Raises VersionTooOld or PlatformUnavailable. Waits without limit for the next
        event: ``follow_objects`` bounds the silence.
        """
        self.calls += 1
        query = urlencode(
            {
                "watch": "true",
                "resourceVersion": version,
                "bookmarkSeconds": BOOKMARK_INTERVAL_S,
            }
        )
        url = f"{self._base}/{kind}?{query}&{_select(name)}"
        timeouts = {"connect": CALL_TIMEOUT_S, "pool": CALL_TIMEOUT_S}
        try:
            async with self._pool.stream(
                "GET", url, extensions={"timeout": timeouts}
            ) as res:
                if res.status == 410:
                    raise VersionTooOld(f"{kind} at version {version}")
                if res.status != 200:
                    raise PlatformUnavailable(f"the platform answered {res.status}")
                async with aclosing(_read_lines(res)) as lines:
                    async for line in lines:
                        yield _parse_event(line)
        except _FAILURES as exc:
            raise PlatformUnavailable(f"watch {kind}: {exc!r}") from exc

    async def _call(
        self, method: str, path: str, body: object | None = None
    ) -> tuple[int, Any]:
        self.calls += 1
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
        content = None if body is None else json.dumps(body).encode()
        try:
            res = await self._pool.request(
                method,
                self._base + path,
                headers={"content-type": "application/json"},
                content=content,
                extensions={"timeout": timeouts},
            )
            return res.status, json.loads(res.content)
        except _FAILURES as exc:
            sent = not isinstance(exc, _UNSENT)
            raise PlatformUnavailable(f"{method} {path}: {exc!r}", sent=sent) from exc


def _select(name: str | None) -> str:
    return "" if name is None else urlencode({"fieldSelector": f"metadata.name={name}"})


def _parse_object(status: int, data: Any) -> PlatformObject:
    if status not in (200, 201):
        raise PlatformUnavailable(f"the platform answered {status}")
    try:
        return PlatformObject.model_validate(data)
    except ValidationError as exc:
        raise PlatformUnavailable(f"bad object from the platform: {exc}") from exc


def _parse_event(line: bytes) -> WatchEvent:
    """Return the event of one line; raises ValueError if it is not one."""
    data = json.loads(line)
    try:
        kind, found = data["type"], data["object"]
        if kind == "ERROR":
            raise VersionTooOld(str(found))
        version = found["metadata"]["resourceVersion"]
    except (KeyError, TypeError) as exc:
        raise ValueError(f"not an event: {line[:100]!r}") from exc
    changed = None if kind == "BOOKMARK" else found
    return WatchEvent(type=kind, version=version, object=changed)


async def _read_lines(res: httpcore.Response) -> AsyncGenerator[bytes]:
    buffer = bytearray()
    async for part in res.aiter_stream():
        buffer += part
        if len(buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event of the watch is too long")
        *lines, rest = buffer.split(b"\n")
        buffer = bytearray(rest)
        for line in lines:
            yield bytes(line)

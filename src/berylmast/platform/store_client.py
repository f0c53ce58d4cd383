"""HTTP client of the platform's object store."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from functools import partial
from typing import Annotated, Any, TypeVar
from urllib.parse import quote, urlencode

import anyio
from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from ..http_client import ConnectionCut, HttpClient, ServerUnreachable
from ..identifiers import MAX_EXACT_INT
from ..model import Headers
from ..settings import Address
from ._json import decode_json
from .objects import (
    Changes,
    Conflict,
    Listing,
    ObjectChange,
    PlatformUnavailable,
    RevisionExpired,
    StoredObject,
)
from .store_era import StoreEra, check_era

BASE_PATH = "/v1/objects"
CALL_TIMEOUT_S = 1.5
WATCH_TIMEOUT_MARGIN_S = 0.5
"""Added to a watch's own timeout before the connection counts as unresponsive."""

UNRESPONSIVE_HOST_TIMEOUT_S = 2
"""TCP keepalive closes a connection to a host that does not respond for this long.

This also detects a dead connection while a watch waits without traffic.
"""

MAX_CONNECTIONS = 6
"""Two watches, a poll and the calls for records, with some to spare while one of them
is silent."""

_ERA_HEADER = b"store-era"

_NAME_ERRORS = "surrogateescape"
"""Bytes of a name that are no text go back to the store as they came."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""A page of a list has about 1 MB, and a single object as much at most."""


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


def _escape_surrogates(name: object) -> object:
    """Return a name as a text that can be encoded, a value of another type as it is."""
    if not isinstance(name, str):
        return name
    return name.encode("utf-8", "backslashreplace").decode()


class _Metadata(_WireModel):
    name: Annotated[str, BeforeValidator(_escape_surrogates)]
    revision: int = 0
    deleting: bool = False


class _Object(_WireModel):
    metadata: _Metadata
    # Any JSON value; its schema depends on the kind.
    spec: Any = None


class _ListPage(_WireModel):
    items: tuple[_Object, ...]
    # Revision of the store, from which a watch can start.
    at: int
    has_more: bool = Field(False, alias="hasMore")


class _ChangeEvent(_WireModel):
    deleted: bool = False
    object: _Object


class _WatchPage(_WireModel):
    events: tuple[_ChangeEvent, ...] = ()
    at: int


_Model = TypeVar("_Model", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class _Reply:
    """Status, decoded body and era of one response of the store."""

    status: int
    data: Any
    era: int


class StoreClient:
    """Client of the object store; every call counts against the fleet's rate limits."""

    def __init__(self, address: Address) -> None:
        self.calls = 0
        self.era = StoreEra()
        self._host = str(address).encode()
        self._client = HttpClient(
            address, MAX_CONNECTIONS, silence_limit_s=UNRESPONSIVE_HOST_TIMEOUT_S
        )

    async def aclose(self) -> None:
        """Close all connections."""
        self._client.close()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object; None if it does not exist."""
        reply = await self._call("GET", _make_path(kind, name))
        if reply.status == 404:
            return None
        return _parse_object(reply)

    async def list(
        self, kind: str, *, stale: bool = False, timeout_s: float | None = None
    ) -> Listing:
        """Read all objects of a kind; a ``stale`` read may be seconds old.

        ``timeout_s`` replaces the time within which each page must arrive.
        """
        items: list[StoredObject] = []
        after = ""
        era = 0
        while True:
            options = {"staleOk": "1"} if stale else {}
            if after:
                options["after"] = after
            query = f"?{urlencode(options, errors=_NAME_ERRORS)}" if options else ""
            path = _make_path(kind) + query
            limit_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
            reply = await self._call("GET", path, timeout_s=limit_s)
            if reply.status != 200:
                raise _make_status_error(reply)
            if after and reply.era != era:
                raise PlatformUnavailable("the pages of a list are of two eras")
            era = reply.era
            page = _validate(_ListPage, reply.data)
            items.extend(_make_stored_object(item) for item in page.items)
            if not page.has_more or not page.items:
                return Listing(page.at, tuple(items), reply.era)
            after = reply.data["items"][-1]["metadata"]["name"]

    async def put(
        self, kind: str, name: str, spec: object, revision: int | None
    ) -> StoredObject:
        """Write one object if its stored revision is ``revision``.

        0 requires that the object does not exist, None writes unconditionally. Raises
        Conflict if the stored revision differs.
        """
        if revision == 0:
            body = {"metadata": {"name": name}, "spec": spec}
            reply = await self._call("POST", _make_path(kind), body)
        else:
            metadata: dict[str, Any] = {"name": name}
            if revision is not None:
                metadata["revision"] = revision
            body = {"metadata": metadata, "spec": spec}
            reply = await self._call("PUT", _make_path(kind, name), body)
        if reply.status == 404 and revision is None:
            return await self.put(kind, name, spec, 0)
        if reply.status in (404, 409):
            raise Conflict(f"{kind}/{name} is not at revision {revision}")
        return _parse_object(reply)

    async def delete(self, kind: str, name: str, revision: int | None) -> None:
        """Delete one object if its stored revision is ``revision``.

        None deletes unconditionally. Deleting an object that does not exist succeeds.
        Raises Conflict if the stored revision differs.
        """
        query = "" if revision is None else f"?{urlencode({'revision': revision})}"
        reply = await self._call("DELETE", _make_path(kind, name) + query)
        if reply.status == 409:
            raise Conflict(f"{kind}/{name} is not at revision {revision}")
        if reply.status not in (200, 202, 204, 404):
            raise _make_status_error(reply)

    async def wait_changes(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Wait up to ``wait_s`` seconds for changes of a kind after a revision.

        Raises RevisionExpired if the store no longer keeps that part of its history,
        or if its era rises meanwhile.
        """
        query = urlencode({"watch": revision, "waitMs": round(wait_s * 1000)})
        path = f"{_make_path(kind)}?{query}"
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        reply = await self.era.run_in_era(
            partial(self._call, "GET", path, timeout_s=timeout_s)
        )
        if reply.status == 410:
            raise RevisionExpired(f"{kind} has no history since revision {revision}")
        if reply.status != 200:
            raise _make_status_error(reply)
        page = _validate(_WatchPage, reply.data)
        changes = tuple(
            ObjectChange(_make_stored_object(event.object), event.deleted)
            for event in page.events
        )
        return Changes(page.at, changes, reply.era)

    async def _call(
        self,
        method: str,
        path: str,
        body: object | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Reply:
        self.calls += 1
        content = b"" if body is None else json.dumps(body).encode()
        headers = [
            (b"host", self._host),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
        ]
        try:
            with anyio.fail_after(timeout_s):
                async with self._client.send(
                    method, BASE_PATH + path, headers, _iterate(content)
                ) as response:
                    data = await _read_body(response.body)
            era = _read_era(response.headers)
            check_era(self.era, era)
            decoded = decode_json(data) if data else None
            return _Reply(response.status, decoded, era or self.era.current)
        except TimeoutError as exc:
            # A connection that went silent may not be the only one: the next call opens
            # a new one.
            self._client.close()
            raise PlatformUnavailable(f"{method} {path}: no response") from exc
        except (
            ServerUnreachable,
            ConnectionCut,
            ValueError,
        ) as exc:
            sent = not isinstance(exc, ServerUnreachable)
            raise PlatformUnavailable(f"{method} {path}: {exc!r}", sent=sent) from exc


async def _read_body(body: AsyncIterator[bytes]) -> bytes:
    """Read a response body; raise ValueError if it is too long."""
    data = bytearray()
    async for part in body:
        data += part
        if len(data) > MAX_RESPONSE_BYTES:
            raise ValueError(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
    return bytes(data)


async def _iterate(content: bytes) -> AsyncIterator[bytes]:
    yield content


def _make_path(kind: str, name: str | None = None) -> str:
    path = "/" + quote(kind, safe="")
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _validate(model: type[_Model], data: Any) -> _Model:
    try:
        return model.model_validate(data)
    except ValidationError as exc:
        # The text of the exception quotes the input, which may contain callers' keys.
        error = exc.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in error["loc"])
        detail = f"invalid response from the store: {location}: {error['msg']}"
        raise PlatformUnavailable(detail) from exc


def _read_era(headers: Headers) -> int:
    """Return the era that a response names, 0 without a valid one."""
    text = dict(headers).get(_ERA_HEADER, b"")
    if not text.isdigit() or len(text) > len(str(MAX_EXACT_INT)):
        return 0
    return min(int(text), MAX_EXACT_INT)


def _make_status_error(reply: _Reply) -> PlatformUnavailable:
    return PlatformUnavailable(f"the store responded with status {reply.status}")


def _parse_object(reply: _Reply) -> StoredObject:
    if reply.status not in (200, 201):
        raise _make_status_error(reply)
    return _make_stored_object(_validate(_Object, reply.data))


def _make_stored_object(item: _Object) -> StoredObject:
    metadata = item.metadata
    return StoredObject(metadata.name, metadata.revision, item.spec, metadata.deleting)

"""Client of the platform's object API over HTTP."""

import json
from typing import Any

import httpcore
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..settings import Address

CALL_TIMEOUT_S = 2.0


class PlatformUnavailable(Exception):
    """The platform did not answer, or not as published: the outcome is unknown."""


class Conflict(Exception):
    """The object has another version than the one that the update was based on."""


class Metadata(BaseModel):
    """Name and version of an object; the version is opaque but for equality."""

    model_config = ConfigDict(extra="ignore", populate_by_name=True)
    name: str
    resource_version: int = Field(0, alias="resourceVersion")


class PlatformObject(BaseModel):
    """One object of the platform's store."""

    model_config = ConfigDict(extra="ignore")
    kind: str
    metadata: Metadata
    spec: dict[str, Any]


class PlatformClient:
    """Calls the object API; every call counts against the platform's rates."""

    def __init__(self, address: Address) -> None:
        self._base = f"http://{address}/objects"
        self._pool = httpcore.AsyncConnectionPool(max_connections=4)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        """Read one object, None if it does not exist."""
        status, data = await self._call("GET", f"/{kind}/{name}")
        if status == 404:
            return None
        return self._parse(status, data)

    async def list(self, kind: str) -> list[PlatformObject]:
        """Read all objects of a kind."""
        status, data = await self._call("GET", f"/{kind}")
        if status != 200:
            raise PlatformUnavailable(f"the platform answered {status}")
        return [PlatformObject.model_validate(item) for item in data["items"]]

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
        return self._parse(status, data)

    def _parse(self, status: int, data: Any) -> PlatformObject:
        if status not in (200, 201):
            raise PlatformUnavailable(f"the platform answered {status}")
        try:
            return PlatformObject.model_validate(data)
        except ValidationError as exc:
            raise PlatformUnavailable(f"bad object from the platform: {exc}") from exc

    async def _call(
        self, method: str, path: str, body: object | None = None
    ) -> tuple[int, Any]:
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
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            ValueError,
        ) as exc:
            raise PlatformUnavailable(f"{method} {path}: {exc!r}") from exc

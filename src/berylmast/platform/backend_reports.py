"""HTTP app that receives heartbeats and deregistrations from the backend server."""

import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from ..backends.backend_state import BackendReport, Departure
from ..settings import Seconds

RPC_PATH = "/v1/rpc"
HEARTBEAT = "instances.heartbeat"
DEREGISTER = "instances.deregister"

MAX_BODY_BYTES = 64 * 1024

_DRAINING_BY_STATE = {"ready": False, "draining": True}

ASGIApp = Callable[[dict[str, Any], Any, Any], Awaitable[None]]


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _BackendInfo(_WireModel):
    service: str = Field(min_length=1)
    # Version of the backend server's software.
    version: str = ""
    zone: str = ""
    slots: int = Field(ge=1)


class _BackendStatus(_WireModel):
    state: str
    # Number of the call since the backend server started.
    sequence: int = Field(ge=0)
    cold_left: Seconds = Field(0.0, alias="coldLeft")


class _HeartbeatBody(_WireModel):
    address: str = Field(min_length=1)
    info: _BackendInfo
    status: _BackendStatus
    # Start time of the backend server in Unix milliseconds; 0 in deployments that do
    # not send it.
    born: int = Field(0, ge=0)


class _DeregisterBody(_WireModel):
    born: int = Field(0, ge=0)


def parse_heartbeat(backend: str, body: bytes) -> Result[BackendReport, str]:
    """Parse a heartbeat; the error says what is invalid."""
    if not backend:
        return Err("backend server id is missing")
    try:
        heartbeat = _HeartbeatBody.model_validate(json.loads(body))
    except (ValidationError, ValueError) as exc:
        return Err(f"invalid request body: {str(exc).splitlines()[0]}")
    draining = _DRAINING_BY_STATE.get(heartbeat.status.state)
    if draining is None:
        return Err(f"unknown backend server state {heartbeat.status.state!r}")
    return Ok(
        BackendReport(
            backend=backend,
            service=heartbeat.info.service,
            address=heartbeat.address,
            slots=heartbeat.info.slots,
            draining=draining,
            born_ms=heartbeat.born,
            sequence=heartbeat.status.sequence,
            cold_left_s=heartbeat.status.cold_left,
        )
    )


def parse_departure(backend: str, body: bytes) -> Result[Departure, str]:
    """Parse a deregistration; its body may be empty."""
    if not backend:
        return Err("backend server id is missing")
    try:
        parsed = _DeregisterBody.model_validate(
            json.loads(body) if body.strip() else {}
        )
    except (ValidationError, ValueError) as exc:
        return Err(f"invalid request body: {str(exc).splitlines()[0]}")
    return Ok(Departure(backend, parsed.born))


def make_report_app(
    on_report: Callable[[BackendReport], Awaitable[Result[None, str]]],
    on_departure: Callable[[Departure], Awaitable[Result[None, str]]],
    on_invalid: Callable[[str, str], None],
) -> ASGIApp:
    """Return the ASGI app that the local backend server calls.

    A call gets 200 once its handler has returned Ok, and 400 if it is invalid or its
    handler rejects it. ``on_invalid`` then receives the backend id and the reason.
    """

    async def handle_call(call: str, backend: str, body: bytes) -> Result[None, str]:
        if call == HEARTBEAT:
            report = parse_heartbeat(backend, body)
            if report.is_err():
                return Err(report.unwrap_err())
            return await on_report(report.unwrap())
        departure = parse_departure(backend, body)
        if departure.is_err():
            return Err(departure.unwrap_err())
        return await on_departure(departure.unwrap())

    async def app(scope: dict[str, Any], receive: Any, send: Any) -> None:
        query = parse_qs(scope["query_string"].decode("latin-1"))
        call, backend = query.get("call", [""])[0], query.get("of", [""])[0]
        body = await _read_body(receive)
        if scope["path"] != RPC_PATH or call not in (HEARTBEAT, DEREGISTER):
            await _send_response(send, 404)
            return
        result = await handle_call(call, backend, body)
        if result.is_err():
            on_invalid(backend, result.unwrap_err())
        await _send_response(send, 200 if result.is_ok() else 400)

    return app


async def _read_body(receive: Any) -> bytes:
    parts = bytearray()
    while True:
        message = await receive()
        parts += message.get("body", b"")
        if not message.get("more_body", False) or len(parts) > MAX_BODY_BYTES:
            return bytes(parts)


async def _send_response(send: Any, status: int) -> None:
    headers = [(b"content-type", b"application/json"), (b"content-length", b"2")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b"{}"})

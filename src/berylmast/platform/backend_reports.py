"""HTTP app that receives heartbeats and deregistrations from the backend server."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar
from urllib.parse import parse_qs

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from ..backends.backend_state import BackendReport, Departure
from ..backends.endpoint_record import MAX_REPORT_SEQUENCE
from ..identifiers import MAX_ID_LENGTH, ExactInt, Identifier
from ..settings import Seconds
from ..telemetry import escape_text

RPC_PATH = "/v1/rpc"
HEARTBEAT = "instances.heartbeat"
DEREGISTER = "instances.deregister"

MAX_BODY_BYTES = 64 * 1024

MAX_SLOTS = 1_000_000
"""Far above the requests that one backend server can process at once."""

MAX_REASON_LENGTH = 200
"""Maximum number of characters of a logged reason, which may quote the message."""

_DRAINING_BY_STATE = {"ready": False, "draining": True}

ASGIApp = Callable[[dict[str, Any], Any, Any], Awaitable[None]]


class _WireModel(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class _BackendInfo(_WireModel):
    service: str = Field(min_length=1)
    # Version of the backend server's software.
    version: str = ""
    zone: str = ""
    slots: int = Field(ge=1, le=MAX_SLOTS)


class _BackendStatus(_WireModel):
    state: str
    # Number of the call since the backend server started.
    sequence: int = Field(ge=0, le=MAX_REPORT_SEQUENCE)
    cold_left: Seconds = Field(0.0, alias="coldLeft", ge=0, allow_inf_nan=False)


class _HeartbeatBody(_WireModel):
    address: str = Field(min_length=1)
    info: _BackendInfo
    status: _BackendStatus
    # Start time of the backend server in Unix milliseconds; 0 in deployments that do
    # not send it.
    born: ExactInt = 0


class _DeregisterBody(_WireModel):
    born: ExactInt = 0


_Body = TypeVar("_Body", bound=_WireModel)

_ID_ADAPTER: TypeAdapter[str] = TypeAdapter(Identifier)


def _check_id(backend: str) -> Result[None, str]:
    try:
        _ID_ADAPTER.validate_python(backend)
    except ValidationError as exc:
        return Err(f"invalid backend server id: {exc.errors()[0]['msg']}")
    return Ok(None)


def _parse_body(model: type[_Body], body: bytes) -> Result[_Body, str]:
    try:
        return Ok(model.model_validate(json.loads(body)))
    except ValidationError as exc:
        error = exc.errors()[0]
        return Err(f"invalid request body: {error['loc']}: {error['msg']}")
    # RecursionError: JSON that is nested too deeply.
    except (ValueError, RecursionError) as exc:
        return Err(f"invalid request body: {exc}")


def parse_heartbeat(backend: str, body: bytes) -> Result[BackendReport, str]:
    """Parse a heartbeat; the error says what is invalid."""
    checked = _check_id(backend)
    if checked.is_err():
        return Err(checked.unwrap_err())
    parsed = _parse_body(_HeartbeatBody, body)
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    heartbeat = parsed.unwrap()
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
    checked = _check_id(backend)
    if checked.is_err():
        return Err(checked.unwrap_err())
    parsed = _parse_body(_DeregisterBody, body if body.strip() else b"{}")
    if parsed.is_err():
        return Err(parsed.unwrap_err())
    return Ok(Departure(backend, parsed.unwrap().born))


def make_report_app(
    on_report: Callable[[BackendReport], Awaitable[Result[None, str]]],
    on_departure: Callable[[Departure], Awaitable[Result[None, str]]],
    on_invalid: Callable[[str, str], None],
) -> ASGIApp:
    """Return the ASGI app that the local backend server calls.

    A call gets 200 once its handler has returned Ok, and 400 if it is invalid or its
    handler rejects it. ``on_invalid`` then receives the backend id and the reason,
    both escaped and shortened for a log.
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
            reason = escape_text(result.unwrap_err(), MAX_REASON_LENGTH)
            on_invalid(escape_text(backend, MAX_ID_LENGTH), reason)
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

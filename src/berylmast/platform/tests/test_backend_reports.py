"""Guards against malformed reports that are accepted or get no response."""

import json
from typing import Any

import pytest
from result import Err, Ok, Result

from ...backends.backend_state import BackendReport, Departure
from ...identifiers import MAX_ID_LENGTH
from ...model import FINAL_SEQ
from ..backend_reports import make_report_app, parse_departure, parse_heartbeat

pytestmark = pytest.mark.anyio

HEARTBEAT_BODY: dict[str, Any] = {
    "address": "10.0.0.9:8080",
    "born": 1700000000000,
    "info": {"service": "a", "version": "v1", "zone": "z", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "coldLeft": "1500ms"},
}


def replace_value(section: str | None, key: str, value: object) -> bytes:
    heartbeat = json.loads(json.dumps(HEARTBEAT_BODY))
    target = heartbeat if section is None else heartbeat[section]
    target[key] = value
    return json.dumps(heartbeat).encode()


def test_heartbeat_is_translated() -> None:
    report = parse_heartbeat("i-1", json.dumps(HEARTBEAT_BODY).encode()).unwrap()
    assert report == BackendReport(
        "i-1", "a", "10.0.0.9:8080", 9, False, 1700000000000, 4, 1.5
    )


@pytest.mark.parametrize(
    ("backend", "body"),
    [
        ("", json.dumps(HEARTBEAT_BODY).encode()),
        ("i-1", b"\xff\x00"),
        ("i-1", b"[]"),
        ("i-1", b"{}"),
        ("i-1", replace_value("status", "state", "sleeping")),
        ("i-1", replace_value("status", "sequence", "4")),
        ("i-1", replace_value("status", "sequence", -1)),
        ("i-1", replace_value("info", "slots", 0)),
        ("i-1", replace_value("info", "slots", 2.5)),
        ("i-1", replace_value("info", "service", 7)),
        ("i-1", replace_value(None, "born", 17.5)),
        ("i-1", replace_value(None, "address", None)),
        ("i-1", replace_value(None, "born", 2**53)),
        ("i-1", replace_value("status", "sequence", FINAL_SEQ)),
        ("i-1", replace_value("info", "slots", 2**64)),
        ("i-1", replace_value("status", "coldLeft", float("inf"))),
        ("i-1", replace_value("status", "coldLeft", "9" * 400 + "s")),
        ("i-1", replace_value("status", "coldLeft", "1" * 5_000)),
        ("i-1", b"[" * 60_000),
    ],
)
def test_malformed_report_is_rejected(backend: str, body: bytes) -> None:
    assert parse_heartbeat(backend, body).is_err()


UNENCODABLE_IDS = [
    pytest.param("i-\ufffd\ufffd93c1", id="bytes-that-are-no-text"),
    pytest.param("i-\ud800", id="lone-surrogate"),
    pytest.param("i-é", id="not-ascii"),
    pytest.param("i 1", id="space"),
    pytest.param("i-1\r\nx-a: b", id="line-break"),
    pytest.param("i-1\n", id="line-break-at-the-end"),
    pytest.param("i" * 129, id="too-long"),
]


@pytest.mark.parametrize("backend", UNENCODABLE_IDS)
def test_id_that_no_header_can_carry_is_rejected(backend: str) -> None:
    """Guards against a daemon that ends with the first request for such a server."""
    assert parse_heartbeat(backend, json.dumps(HEARTBEAT_BODY).encode()).is_err()
    assert parse_departure(backend, b"{}").is_err()


@pytest.mark.parametrize("body", [b"[" * 60_000, b"\xff", b'{"born": 9e99}', b"[]"])
def test_malformed_departure_is_rejected(body: bytes) -> None:
    assert parse_departure("i-1", body).is_err()


@pytest.mark.parametrize(
    ("body", "born_ms"), [(b"", 0), (b"{}", 0), (b'{"born": 5}', 5)]
)
def test_departure_may_have_no_body(body: bytes, born_ms: int) -> None:
    assert parse_departure("i-1", body).unwrap() == Departure("i-1", born_ms)


@pytest.mark.parametrize(
    ("path", "query", "body", "accepted", "status"),
    [
        ("/v1/rpc", b"call=instances.heartbeat&of=i-1", HEARTBEAT_BODY, True, 200),
        ("/v1/rpc", b"call=instances.heartbeat&of=i-1", HEARTBEAT_BODY, False, 400),
        ("/v1/rpc", b"call=instances.heartbeat&of=i-1", {}, True, 400),
        ("/v1/rpc", b"call=instances.deregister&of=i-1", {}, True, 200),
        ("/v1/rpc", b"call=other&of=i-1", {}, True, 404),
        ("/other", b"call=instances.heartbeat&of=i-1", HEARTBEAT_BODY, True, 404),
    ],
)
async def test_response_status_of_a_call(
    path: str, query: bytes, body: Any, accepted: bool, status: int
) -> None:
    sent: list[dict[str, Any]] = []
    result: Result[None, str] = Ok(None) if accepted else Err("no")

    async def handle(_: object) -> Result[None, str]:
        return result

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": json.dumps(body).encode()}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    app = make_report_app(handle, handle, lambda _backend, _reason: None)
    await app({"path": path, "query_string": query}, receive, send)
    assert sent[0]["status"] == status


async def test_rejected_report_is_logged_escaped_and_shortened() -> None:
    logged: list[tuple[str, str]] = []

    async def handle(_: object) -> Result[None, str]:
        raise AssertionError("an invalid report was handled")

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": b"{}"}

    async def send(message: dict[str, Any]) -> None:
        pass

    app = make_report_app(handle, handle, lambda *fields: logged.append(fields))
    query = b"call=instances.heartbeat&of=i-%FF" + b"x" * 1_000
    await app({"path": "/v1/rpc", "query_string": query}, receive, send)
    [(backend, reason)] = logged
    assert backend.startswith("i-\\ufffdx")
    assert len(backend) <= MAX_ID_LENGTH
    assert reason.isascii()

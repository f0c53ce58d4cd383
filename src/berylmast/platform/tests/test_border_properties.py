"""Properties of the borders at which bytes from outside become values.

Whatever arrives, nothing is raised past the border, and a value that is accepted can be
passed on in a frame, a header, a path, a digest and a log line.
"""

import json
import math
import re
from copy import deepcopy
from dataclasses import replace
from typing import Any
from urllib.parse import quote

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from ...backends.backend_state import BackendReport
from ...callers.host_route_classifier import (
    CallerHeaderInterface,
    make_host_route_classifier,
)
from ...daemons.codec import FrameReader, encode_frame
from ...daemons.frames import CONNECTION_EXCHANGE_ID, Endpoints, Load, Request
from ...membership import Directory
from ...membership.active_document import ActiveDocument
from ...membership.digest import DigestTable, parse_digest
from ...membership.records import pack_record, unpack_records
from ...membership.registry import EndpointRegistry
from ...model import AttemptId, Endpoint, EndpointState, LoadReport, RequestHead
from .._json import decode_json
from ..backend_reports import make_report_app, parse_departure, parse_heartbeat
from ..configuration import parse_configuration
from ..objects import StoredObject
from ..records import format_record, parse_object
from ..requests import (
    classify_response,
    is_stray,
    make_backend_head,
    read_attempt_id,
    read_deadline_ms,
    read_health_notice,
    read_load,
    read_notice,
    set_caller_service,
)

HOSTILE_VALUES: list[Any] = [
    None,
    True,
    -1,
    0,
    1.5,
    2**53,
    2**63,
    2**64,
    10**400,
    math.inf,
    math.nan,
    "",
    "\x00",
    "a\r\nb: c",
    "a b",
    "\ud800",
    "\ufffd",
    "é",
    "x" * 300,
    "1" * 30 + "ms",
    "9" * 400 + "s",
    [],
    {},
]
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=30)
    | st.sampled_from(HOSTILE_VALUES)
)
JSON = st.recursive(
    SCALARS,
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=5), values, max_size=3)
    ),
    max_leaves=8,
)
HEADER_VALUES = st.binary(max_size=30) | st.sampled_from(
    [b"1e400", b"-1", b"nan", b"inf", b"9" * 5_000, b"1e300", b"0", b"\xb2", b" 1 "]
)

HEARTBEAT: dict[str, Any] = {
    "address": "10.0.0.9:8080",
    "born": 1_700_000_000_000,
    "info": {"service": "a", "version": "v1", "zone": "z", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "coldLeft": "1500ms"},
}
RECORD = Endpoint("b1", "orders", "10.0.0.1", 7, "n", "n1", 1_700_000_000_000, 501)
CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "services": [{"name": "a", "healthPath": "/healthz", "maxConns": 260}],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 1_000_000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    },
    "virtualHosts": [
        {
            "host": "h",
            "routePaths": [
                {
                    "name": "r",
                    "pathPrefix": "/",
                    "kind": "idempotent",
                    "timeout": "2000ms",
                    "targetLatency": "500ms",
                    "priority": 0,
                    "maxAttempts": 2,
                    "service": "a",
                }
            ],
        }
    ],
}


def list_paths(value: object, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of each value within a JSON value."""
    items: list[tuple[Any, Any]] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    nested = [p for key, item in items for p in list_paths(item, (*path, key))]
    return [(*path, key) for key, _ in items] + nested


def replace_at(sound: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy of a sound JSON value with the value at a path replaced."""
    changed = deepcopy(sound)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return changed


def list_hostile(sound: Any) -> list[Any]:
    """Return a sound JSON value with each hostile value at each place."""
    return [
        replace_at(sound, path, value)
        for path in list_paths(sound)
        for value in HOSTILE_VALUES
    ]


@st.composite
def change_one_value(draw: st.DrawFn, sound: Any) -> Any:
    """Return a sound JSON value with one value in it replaced."""
    path = draw(st.sampled_from(list_paths(sound)))
    return replace_at(sound, path, draw(JSON))


def to_json(value: object) -> bytes:
    return json.dumps(value).encode()


def check_endpoint(endpoint: Endpoint) -> None:
    """Pass a record on as the daemon does."""
    frame = Endpoints(CONNECTION_EXCHANGE_ID, (pack_record(endpoint),))
    [received] = FrameReader().feed(encode_frame(frame))
    assert received == frame
    registry = EndpointRegistry(Directory())
    registry.merge([endpoint])
    assert registry.digest.total == DigestTable([endpoint]).get_digest().total
    assert quote(endpoint.backend, safe="")


def make_head(**changes: Any) -> RequestHead:
    values: dict[str, Any] = {
        "request_id": "r1",
        "attempt": AttemptId("e", 1, 1),
        "service": "a",
        "priority": "0",
        "tenant": "",
        "idempotent": True,
        "idempotency_key": None,
        "deadline_ms": 100,
        "retry": False,
        "method": "GET",
        "target": "/",
        "headers": [],
        "has_body": False,
    }
    return RequestHead(**(values | changes))


def check_report(report: BackendReport) -> None:
    head = make_backend_head(make_head(), 100, report.backend)
    [target] = [v for k, v in head.headers if k == b"x-target-instance"]
    assert re.fullmatch(rb"[!-~]{1,128}", target)
    endpoint = replace(
        RECORD,
        backend=report.backend,
        incarnation=report.born_ms,
        seq=report.sequence * 100 + 99,
    )
    check_endpoint(endpoint)
    load = LoadReport(report.backend, report.born_ms, 1, 0, 0, report.slots, 1.0, 0.0)
    assert list(FrameReader().feed(encode_frame(Load(1, load)))) == [Load(1, load)]
    assert math.isfinite(report.cold_left_s)


IDS = st.just("i-1") | st.text(st.characters(), max_size=140)
BODIES = st.binary(max_size=200) | JSON.map(to_json)


@given(IDS, BODIES | change_one_value(HEARTBEAT).map(to_json))
def test_accepted_heartbeat_can_be_passed_on(backend: str, body: bytes) -> None:
    check_heartbeat(backend, body)


@given(IDS, BODIES | change_one_value({"born": 5}).map(to_json))
def test_accepted_departure_can_be_passed_on(backend: str, body: bytes) -> None:
    parsed = parse_departure(backend, body)
    if parsed.is_ok():
        departure = parsed.unwrap()
        check_endpoint(
            replace(RECORD, backend=departure.backend, incarnation=departure.born_ms)
        )


@given(
    st.sampled_from([b"instances.heartbeat", b"instances.deregister", b"x"]),
    st.binary(max_size=60),
    BODIES | change_one_value(HEARTBEAT).map(to_json),
)
def test_call_of_any_bytes_gets_an_answer(
    call: bytes, backend: bytes, body: bytes
) -> None:
    statuses: list[int] = []
    logged: list[tuple[str, str]] = []

    async def handle(_: object) -> Result[None, str]:
        return Ok(None)

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: dict[str, Any]) -> None:
        statuses.append(message.get("status", 0))

    app = make_report_app(handle, handle, lambda *fields: logged.append(fields))
    query = b"call=" + call + b"&of=" + backend
    scope = {"path": "/v1/rpc", "query_string": query}
    anyio.run(app, scope, receive, send)
    assert statuses[0] in (200, 400, 404)
    assert bool(logged) == (statuses[0] == 400)
    assert all(
        len(field) <= 200 and field.isascii() for line in logged for field in line
    )


@given(st.text(max_size=10), JSON | change_one_value(format_record(RECORD)))
def test_accepted_entry_can_be_passed_on(name: str, spec: Any) -> None:
    for item in (StoredObject(name, 1, spec), StoredObject(RECORD.backend, 1, spec)):
        parsed = parse_object(item)
        if parsed.is_ok():
            check_endpoint(parsed.unwrap())


@given(
    st.lists(
        st.booleans().flatmap(
            lambda sound: (
                st.just(format_record(RECORD))
                if sound
                else change_one_value(format_record(RECORD)) | JSON
            )
        ),
        max_size=6,
    )
)
def test_sound_entries_are_known_beside_unreadable_ones(specs: list[Any]) -> None:
    names = [f"n{number}" for number in range(len(specs))]
    sound = {
        name
        for name, spec in zip(names, specs, strict=True)
        if spec == format_record(RECORD)
    }
    items = [
        {"name": n, "spec": {**s, "backend": n} if n in sound else s}
        for n, s in zip(names, specs, strict=True)
    ]
    decoded = decode_json(to_json(items))
    accepted = {
        item["name"]
        for item in decoded
        if parse_object(StoredObject(item["name"], 1, item["spec"])).is_ok()
    }
    assert sound <= accepted


RECORD_FIELDS = st.tuples(
    st.text(max_size=9),
    st.text(max_size=9),
    st.text(max_size=9) | st.just("10.0.0.1"),
    st.integers(),
    st.text(max_size=9),
    st.text(max_size=9),
    st.integers(),
    st.integers(),
    st.text(max_size=9) | st.sampled_from(list(EndpointState)).map(str),
)


@given(st.lists(RECORD_FIELDS, max_size=4))
def test_accepted_record_of_a_frame_can_be_passed_on(records: list[Any]) -> None:
    sound = pack_record(RECORD)
    accepted = unpack_records([*records, sound])
    assert accepted[-1] == RECORD
    for endpoint in accepted:
        check_endpoint(endpoint)


@given(st.text(max_size=20) | st.text("0123456789abcdef/", max_size=300))
def test_any_digest_can_be_compared(text: str) -> None:
    own = DigestTable([RECORD]).get_digest()
    assert own.find_differing_buckets(parse_digest(text)) is not None


RESPONSE_HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"x-server-load",
                b"server-limit",
                b"server-leaving",
                b"x-instance-id",
                b"x-attempt-id",
                b"x-response-seal",
                b"x-not-executed",
                b"content-encoding",
            ]
        ),
        HEADER_VALUES | st.lists(HEADER_VALUES, max_size=5).map(b",".join),
    ),
    max_size=6,
)


@given(st.integers(100, 999), RESPONSE_HEADERS)
def test_answer_of_a_server_can_be_read(
    status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    classify_response(status, headers)
    is_stray(make_head(headers=headers), headers)
    load = read_load(headers)
    if load is not None:
        assert math.isfinite(load.slowdown)
        assert load.slowdown > 0
    for notice in (read_notice(status, headers), read_health_notice("i-1", headers)):
        if notice is None or notice.rate_limit is None:
            continue
        assert math.isfinite(notice.rate_limit)
        report = LoadReport("b", 1, 1, 0, 0, 1, 1.0, 0.0, rate_limit=notice.rate_limit)
        assert list(FrameReader().feed(encode_frame(Load(1, report))))


@given(JSON | change_one_value(CONFIGURATION))
def test_accepted_configuration_can_be_passed_on(spec: Any) -> None:
    active = ActiveDocument(parse_configuration, Directory())
    if active.adopt(spec, "store"):
        other = ActiveDocument(parse_configuration, Directory())
        assert other.adopt_text(active.text, "peer")
        assert other.version == active.version
        anyio.run(check_heads, active, [b"2000", b"1e20"], [], b"")


HEADERS = CallerHeaderInterface(read_attempt_id, read_deadline_ms, set_caller_service)


async def check_heads(
    active: ActiveDocument,
    deadlines: list[bytes],
    extra: list[tuple[bytes, bytes]],
    query: bytes,
) -> None:
    """Classify one request with each deadline and pass the accepted ones on."""
    classify = make_host_route_classifier(
        active,
        HEADERS,
        lambda route: route.parts[0].service,
        lambda: AttemptId("e", 1, 1),
        lambda: "a",
    )
    for deadline in deadlines:
        scope = {
            "headers": [(b"host", b"h"), (b"x-deadline-ms", deadline), *extra],
            "method": "GET",
            "raw_path": b"/",
            "query_string": query,
        }
        result = await classify(scope)
        if result.is_ok():
            frame = Request(1, result.unwrap().head)
            assert list(FrameReader().feed(encode_frame(frame))) == [frame]


@given(
    st.lists(HEADER_VALUES, min_size=1, max_size=3),
    st.lists(st.tuples(st.binary(min_size=1, max_size=9), HEADER_VALUES), max_size=3),
    st.binary(max_size=20),
)
def test_heads_of_any_callers_can_be_passed_on(
    deadlines: list[bytes], extra: list[tuple[bytes, bytes]], query: bytes
) -> None:
    """A caller's deadline also decides how long others are taken to have waited."""
    active = ActiveDocument(parse_configuration, Directory())
    assert active.adopt(CONFIGURATION, "store")
    anyio.run(check_heads, active, [*deadlines, b"2000"], extra, query)


def check_heartbeat(backend: str, body: bytes) -> None:
    parsed = parse_heartbeat(backend, body)
    if parsed.is_ok():
        check_report(parsed.unwrap())


def test_hostile_value_at_each_place_can_be_passed_on_or_is_rejected() -> None:
    """The properties above may not try the one value that breaks an encoder."""
    for value in HOSTILE_VALUES:
        if isinstance(value, str):
            check_heartbeat(value, to_json(HEARTBEAT))
    for message in list_hostile(HEARTBEAT):
        check_heartbeat("i-1", to_json(message))
    for spec in list_hostile(format_record(RECORD)):
        parsed = parse_object(StoredObject(str(spec["backend"]), 1, spec))
        if parsed.is_ok():
            check_endpoint(parsed.unwrap())
    for spec in list_hostile(CONFIGURATION):
        active = ActiveDocument(parse_configuration, Directory())
        if active.adopt(spec, "store"):
            anyio.run(check_heads, active, [b"2000", b"1e20", b"-1", b"x"], [], b"")


@pytest.mark.parametrize("percent", ["inf", "nan", "1e400", "0", "-5", "1e-400", ""])
def test_slowdown_that_cannot_be_reckoned_with_is_no_load(percent: str) -> None:
    headers = [(b"x-server-load", f"1,2,3,{percent}".encode())]
    assert read_load(headers) is None


def test_properties_cover_errors() -> None:
    """The sound values of the properties are accepted, else they would show little."""
    assert parse_heartbeat("i-1", to_json(HEARTBEAT)).is_ok()
    assert parse_object(StoredObject("b1", 1, format_record(RECORD))) == Ok(RECORD)
    assert parse_configuration(CONFIGURATION).is_ok()
    assert isinstance(parse_heartbeat("", b""), Err)

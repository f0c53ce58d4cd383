"""Guards against one unreadable entry that hides all others.

Another writer's entry, or a part of it, is read on each way by which entries come in.
The sound entries beside it stay known.
"""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from ...model import Endpoint
from ...settings import Address
from .._json import MAX_DEPTH, decode_json
from ..platform_store import PlatformStore
from ..records import format_record
from ..store_client import StoreClient

pytestmark = pytest.mark.anyio

SOUND = [
    Endpoint(f"b{number}", "orders", "10.0.0.1", 7, "n", "n1", 5, 501)
    for number in (1, 2)
]

UNREADABLE_VALUES = [
    pytest.param(b"[" * 2_000 + b"]" * 2_000, id="nested-too-deeply"),
    pytest.param(b'{"a":' * 2_000 + b"1" + b"}" * 2_000, id="nested-objects"),
    pytest.param(b'"\xff\xfe"', id="not-utf-8"),
    pytest.param(rb'"\ud800"', id="lone-surrogate"),
    pytest.param(b'"\x00\x01"', id="control-characters"),
    pytest.param(b"1" * 5_000, id="number-of-5000-digits"),
    pytest.param(b"1e999999", id="infinite-number"),
    pytest.param(b"NaN", id="not-a-number"),
    pytest.param(b'"]}{[\\""', id="brackets-in-a-text"),
    pytest.param(b"null", id="null"),
]


def make_item(name: bytes, spec: bytes) -> bytes:
    return b'{"metadata":{"name":%b,"revision":3},"spec":%b}' % (name, spec)


def make_sound_items() -> list[bytes]:
    return [
        make_item(
            json.dumps(record.backend).encode(),
            json.dumps(format_record(record)).encode(),
        )
        for record in SOUND
    ]


def make_spec(field: str, value: bytes) -> bytes:
    """Return the spec of a record of b9 with one field replaced."""
    data = format_record(SOUND[0]) | {"backend": "b9", field: "@value@"}
    return json.dumps(data).encode().replace(b'"@value@"', value)


@asynccontextmanager
async def serve_json(body: bytes) -> AsyncIterator[PlatformStore]:
    """Run a store that gives one answer to each call."""
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)

    async def serve(stream: SocketStream) -> None:
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while await stream.receive():
                    await stream.send(head + body)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    client = StoreClient(Address(host="127.0.0.1", port=port))
    async with anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, serve)
        yield PlatformStore(client, "config", "main")
        await client.aclose()
        tg.cancel_scope.cancel()


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


@pytest.mark.parametrize("value", UNREADABLE_VALUES)
@pytest.mark.parametrize("field", ["host", "backend", "seq", "state", "other"])
async def test_unreadable_field_hides_no_other_entry(field: str, value: bytes) -> None:
    """No daemon learned of another after all of them had restarted."""
    sound = make_sound_items()
    items = [sound[0], make_item(b'"b9"', make_spec(field, value)), sound[1]]
    async with serve_json(b'{"items":[%b],"at":7}' % b",".join(items)) as store:
        records = await store.list_records()
    found = [record.endpoint for record in records]
    assert [endpoint for endpoint in found if endpoint.backend != "b9"] == SOUND
    assert len(found) == len(SOUND) or field == "other", "an unreadable entry is used"


@pytest.mark.parametrize("value", UNREADABLE_VALUES)
async def test_unreadable_entry_hides_no_other_one(value: bytes) -> None:
    sound = make_sound_items()
    items = [make_item(b'"b9"', value), *sound]
    async with serve_json(b'{"items":[%b],"at":7}' % b",".join(items)) as store:
        records = await store.list_records(stale=True)
        assert [record.endpoint for record in records] == SOUND


@pytest.mark.parametrize("name", [b'"\xff"', rb'"\ud800"', b'"a b"', b'"b1"'])
async def test_unreadable_name_hides_no_other_entry(name: bytes) -> None:
    sound = make_sound_items()
    items = [*sound, make_item(name, make_spec("backend", b'"b2"'))]
    async with serve_json(b'{"items":[%b],"at":7}' % b",".join(items)) as store:
        records = await store.list_records()
        assert [record.endpoint for record in records] == SOUND


@pytest.mark.parametrize("value", UNREADABLE_VALUES)
async def test_own_unreadable_entry_can_be_replaced(value: bytes) -> None:
    async with serve_json(make_item(b'"b1"', value)) as store:
        stored = await store.read_record("b1")
    assert stored is not None
    assert stored.endpoint is None
    assert stored.revision == 3


@pytest.mark.parametrize("value", UNREADABLE_VALUES)
async def test_configuration_beside_an_unreadable_object_is_noticed(
    value: bytes,
) -> None:
    events = [
        b'{"object":%b,"deleted":false}' % item
        for item in (make_item(b'"other"', value), make_item(b'"main"', b'{"a":1}'))
    ]
    async with serve_json(b'{"events":[%b],"at":7}' % b",".join(events)) as store:
        changed = await store.wait_document(1, 0.1)
    assert changed.spec == {"a": 1}


@pytest.mark.parametrize("depth", [1, MAX_DEPTH, MAX_DEPTH + 1, 900, 50_000])
def test_values_beside_a_deep_one_are_kept(depth: int) -> None:
    deep = b"[" * depth + b"]" * depth
    decoded = decode_json(b'{"a":[1,{"b":%b},"]"],"c":"[\\"","d":%b}' % (deep, deep))
    assert decoded["a"][0] == 1
    assert decoded["a"][2] == "]"
    assert decoded["c"] == '["'


@pytest.mark.parametrize("data", [b"[" * 50_000, b'{"a":', b"\xff", b'["a]', b"}" * 9])
def test_text_that_is_no_json_is_an_error(data: bytes) -> None:
    with pytest.raises(ValueError):
        decode_json(data)

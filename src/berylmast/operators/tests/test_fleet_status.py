"""Guards against a status that fails on or counts invalid endpoint records."""

import pytest

from berylmast_dev.objects import ObjectTable

from ...model import Endpoint, EndpointState
from ...platform.records import ENDPOINT_KIND, format_record
from ...platform.tests.fake_store import FakeStore
from ..fleet_status import EndpointCount, read_fleet_status

pytestmark = pytest.mark.anyio

READY, GONE = EndpointState.READY, EndpointState.GONE


def make_record(backend: str, seq: int, state: EndpointState) -> Endpoint:
    location = ("orders", "127.0.0.1", 1, "north", "n1")
    return Endpoint(backend, *location, 1, seq, state)


async def test_status_counts_valid_endpoint_records() -> None:
    table = ObjectTable()
    document = {"version": 3, "text": "{}", "digest": "d", "token": "t"}
    table.put("documents", "trial", document, None)
    for record in (make_record("a", 2, GONE), make_record("b", 1, READY)):
        table.put(ENDPOINT_KIND, record.backend, format_record(record), None)
    table.put(ENDPOINT_KIND, "damaged", {"records": 1}, None)

    found = await read_fleet_status(FakeStore(table), "trial")

    assert (found.version, found.digest) == (3, "d")
    assert set(found.endpoints) == {
        EndpointCount("orders", "north", READY, 1),
        EndpointCount("orders", "north", GONE, 1),
    }


async def test_environment_without_document() -> None:
    found = await read_fleet_status(FakeStore(ObjectTable()), "trial")
    assert (found.version, found.endpoints) == (0, ())

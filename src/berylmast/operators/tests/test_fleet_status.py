"""Guards against a status that counts stale or damaged records of the platform."""

import pytest

from berylmast_dev.objects import ObjectTable

from ...membership.records import pack_record
from ...model import Endpoint, EndpointState
from ...platform.tests.fake import FakePlatform
from ..fleet_status import EndpointCount, read_fleet

pytestmark = pytest.mark.anyio

READY, GONE = EndpointState.READY, EndpointState.GONE


def make_record(backend: str, seq: int, state: EndpointState) -> Endpoint:
    place = ("orders", "127.0.0.1", 1, "north", "n1")
    return Endpoint(backend, *place, 1, seq, state)


async def test_fleet_of_the_platform_objects() -> None:
    table = ObjectTable()
    document = {"version": 3, "text": "{}", "digest": "d", "token": "t"}
    table.put("documents", "trial", document, None)
    lease = {"daemon": "a", "region": "north", "failure_domain": "n1"}
    lease |= {"host": "127.0.0.1"}
    numbers = {"port": 2, "incarnation": 9, "renewed": 4}
    table.put("registrars", "n1-0", {**lease, **numbers}, None)
    table.put("registrars", "damaged", {"daemon": 1}, None)
    # The same backend server in the shards of an old and a new registrar.
    shards = {
        "n1-0": [make_record("a", 1, READY), make_record("b", 1, READY)],
        "n1-1": [make_record("a", 2, GONE)],
    }
    for shard, records in shards.items():
        packed = [list(pack_record(record)) for record in records]
        table.put("endpoints", shard, {"records": packed}, None)
    table.put("endpoints", "damaged", {"records": 1}, None)

    found = await read_fleet(FakePlatform(table), "trial")

    assert (found.version, found.digest) == (3, "d")
    assert [(r.shard, r.holder, r.renewed) for r in found.registrars] == [
        ("n1-0", "a", 4)
    ]
    assert set(found.endpoints) == {
        EndpointCount("orders", "north", READY, 1),
        EndpointCount("orders", "north", GONE, 1),
    }


async def test_environment_without_document() -> None:
    found = await read_fleet(FakePlatform(ObjectTable()), "trial")
    assert (found.version, found.registrars, found.endpoints) == (0, (), ())

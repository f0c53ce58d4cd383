"""Guards against ``apply_revision`` misreporting whether a document was stored."""

from typing import Any

import anyio
import pytest

from berylmast_dev.fleet import reserve_ports
from berylmast_dev.store import Store

from ..._http_server import make_server
from ...platform import StoreClient
from ...platform import store_client as client_module
from ...settings import Address
from .. import revisions
from ..revisions import ApplyConflict, ApplyUnknown, Revision, apply_revision

pytestmark = pytest.mark.anyio

STORED_SPEC = {"version": 7, "text": "old", "digest": "d", "token": "t"}
CONCURRENT_SPEC = {"version": 8, "text": "other", "digest": "e", "token": "u"}


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


async def run_apply(store: Store, faults: dict[str, Any], race: bool) -> object:
    address = Address(host="127.0.0.1", port=reserve_ports(1))
    server = make_server(store.app, address)
    async with anyio.create_task_group() as tg:
        tg.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        if race:
            tg.start_soon(_store_other_document, store)
        store.control(faults)
        client = StoreClient(address)
        result = await apply_revision(client, "test", "text", 7)
        await client.aclose()
        server.should_exit = server.force_exit = True
        tg.cancel_scope.cancel()
    return result.ok() or result.err()


async def _store_other_document(store: Store) -> None:
    """Store another document between the arrival and the execution of the write."""
    while not store.calls["put documents"]:
        await anyio.sleep(0.001)
    store.table.put("documents", "test", CONCURRENT_SPEC, None)


@pytest.mark.parametrize(
    ("faults", "race", "outcome", "version"),
    [
        ({}, False, Revision, 8),
        ({"lose_answers": 1}, False, Revision, 8),
        ({"lose_answers": 2}, False, Revision, 8),
        ({"slow_s": 0.05}, True, ApplyConflict, 8),
        ({"outage": "refuse"}, False, ApplyUnknown, 7),
        ({"outage": "hang"}, False, ApplyUnknown, 7),
    ],
)
async def test_result_matches_the_stored_document(
    faults: dict[str, Any],
    race: bool,
    outcome: type[object],
    version: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_module, "CALL_TIMEOUT_S", 0.2)
    store = Store()
    store.table.put("documents", "test", STORED_SPEC, None)
    assert isinstance(await run_apply(store, dict(faults), race), outcome)
    stored = store.table.get("documents", "test")
    assert stored is not None
    assert stored["spec"]["version"] == version


async def test_outage_during_the_write_gives_an_unknown_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_module, "CALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(revisions, "CONFIRM_PAUSE_S", 0.05)
    store = Store()
    store.table.put("documents", "test", STORED_SPEC, None)
    original_run = store._execute_call

    def run_then_fail(*args: Any) -> tuple[int, Any]:
        result = original_run(*args)
        if args[0] == "put":
            store.faults.outage = "hang"
            store.faults.lose_answers = 1
        return result

    monkeypatch.setattr(store, "_execute_call", run_then_fail)
    assert isinstance(await run_apply(store, {}, False), ApplyUnknown)

"""Guards against running a request again although its idempotency key was used."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
import pytest

from ...backends.idempotency_keys import KEY_RETENTION_S
from ...daemons import Exchange, frames
from ...errors import ErrorKind
from ...model import Endpoint, EndpointState
from ...tests.fakes import SERVICE, Call, FailurePoint, FakeFleet, make_body, run_fleet
from ..idempotency import HOLDERS_PER_KEY, MAX_KEY_CHARS, select_holders
from .test_at_most_once import inject_fault_at

pytestmark = pytest.mark.anyio

NAMES = ("b1", "b2", "b3", "b4")


async def call_through(fleet: FakeFleet, entry: str, **changes: Any) -> Call:
    """Make a call through a new entry that has no connections yet."""
    return await fleet.entry(entry).call(**{"idempotency_key": "k1", **changes})


def get_holder_names(fleet: FakeFleet) -> list[str]:
    ranked = select_holders(
        fleet.directory.endpoints(SERVICE), SERVICE, "dealers", "k1"
    )
    return [endpoint.backend for endpoint in ranked]


@pytest.mark.parametrize("entry", ["e1", "e2"])
@pytest.mark.parametrize("local", [None, *NAMES])
async def test_duplicate_gets_the_recorded_response(
    entry: str, local: str | None
) -> None:
    async with run_fleet(*NAMES) as fleet:
        first = await fleet.entry("e1", local).call(idempotency_key="k1")
        duplicate = await call_through(fleet, entry, request_id="r2")
        assert b"berylmast-replayed" not in first.response.headers
        assert duplicate.response.headers[b"berylmast-replayed"] == b"true"
        assert (duplicate.response.status, duplicate.response.body) == (200, b"onetwo")
        assert duplicate.response.finished
        assert fleet.count_runs() == {"r1": 1}


@pytest.mark.parametrize(
    "changes",
    [
        {"tenant": "other"},
        {"idempotency_key": "k2"},
        {"idempotency_key": None},
        {"idempotent": True},
    ],
)
async def test_another_key_or_tenant_is_another_request(
    changes: dict[str, Any],
) -> None:
    async with run_fleet(*NAMES) as fleet:
        await call_through(fleet, "e1")
        other = await call_through(fleet, "e2", request_id="r2", **changes)
        assert other.outcome == "answered"
        assert fleet.count_runs() == {"r1": 1, "r2": 1}


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"target": "/orders/2"},
        {"body": make_body(b"abc", length=3), "has_body": True},
    ],
    ids=["method", "target", "length"],
)
async def test_key_reused_for_another_request_is_a_bad_request(
    changes: dict[str, Any],
) -> None:
    async with run_fleet(*NAMES) as fleet:
        await call_through(fleet, "e1")
        other = await call_through(fleet, "e2", request_id="r2", **changes)
        assert other.refusal is not None
        assert other.refusal.kind is ErrorKind.BAD_REQUEST
        assert fleet.count_runs() == {"r1": 1}


@pytest.mark.parametrize("key", ["", "x" * (MAX_KEY_CHARS + 1)])
async def test_key_of_a_bad_length_is_a_bad_request(key: str) -> None:
    async with run_fleet() as fleet:
        refused = await call_through(fleet, "e1", idempotency_key=key)
        assert refused.refusal is not None
        assert refused.refusal.kind is ErrorKind.BAD_REQUEST


async def test_simultaneous_duplicates_run_once() -> None:
    async with run_fleet(*NAMES) as fleet:
        calls: list[Call] = []

        async def run(number: int) -> None:
            calls.append(await call_through(fleet, f"e{number}"))

        async with anyio.create_task_group() as tg:
            for number in range(8):
                tg.start_soon(run, number)
        refusals = [c.refusal.kind for c in calls if c.refusal is not None]
        assert refusals == [ErrorKind.DUPLICATE_RUNNING] * 7
        assert fleet.count_runs() == {"r1": 1}


@pytest.mark.parametrize(
    ("cut_at", "first", "duplicate"),
    [
        (FailurePoint.CONNECT, ErrorKind.BACKEND_UNREACHABLE, None),
        (FailurePoint.RUN, ErrorKind.BACKEND_CUT, ErrorKind.DUPLICATE_UNKNOWN),
        (FailurePoint.RESPONSE, ErrorKind.BACKEND_CUT, ErrorKind.DUPLICATE_UNKNOWN),
    ],
)
async def test_key_is_released_only_if_the_request_did_not_run(
    cut_at: FailurePoint, first: ErrorKind, duplicate: ErrorKind | None
) -> None:
    async with run_fleet(*NAMES) as fleet:
        for backend in fleet.backends.values():
            backend.cut_at = cut_at
        one = await call_through(fleet, "e1")
        assert one.refusal is not None
        assert one.refusal.kind is first
        for backend in fleet.backends.values():
            backend.cut_at = None
        two = await call_through(fleet, "e2")
        assert (two.refusal.kind if two.refusal else None) is duplicate
        assert fleet.count_runs()["r1"] == 1


@pytest.mark.parametrize("deadline_ms", [100, 1000])
async def test_duplicate_after_the_deadline_is_unknown(deadline_ms: int) -> None:
    async with run_fleet(*NAMES) as fleet:
        for backend in fleet.backends.values():
            backend.stall_at = FailurePoint.RUN
        one = await call_through(fleet, "e1", deadline_ms=deadline_ms)
        assert one.outcome == "unknown"
        two = await call_through(fleet, "e2", deadline_ms=deadline_ms)
        assert two.refusal is not None
        assert two.refusal.kind is ErrorKind.DUPLICATE_UNKNOWN


async def test_key_is_unknown_after_its_entry_stopped() -> None:
    """Guards against a second run if the entry stops before it reports completion."""
    async with run_fleet(*NAMES) as fleet:
        for backend in fleet.backends.values():
            backend.service_time_s = 1.0
        fleet.on_frame = lambda link, frame: not isinstance(frame, frames.KeyFinish)
        with anyio.move_on_after(0.5):
            await call_through(fleet, "e1", deadline_ms=3000)
        during = await call_through(fleet, "e2", deadline_ms=3000)
        assert during.refusal is not None
        assert during.refusal.kind is ErrorKind.DUPLICATE_RUNNING
        await anyio.sleep(5)
        after = await call_through(fleet, "e3", deadline_ms=3000)
        assert after.refusal is not None
        assert after.refusal.kind is ErrorKind.DUPLICATE_UNKNOWN
        assert fleet.count_runs()["r1"] <= 1


@pytest.mark.parametrize(
    ("sent", "duplicate"), [(True, ErrorKind.DUPLICATE_UNKNOWN), (False, None)]
)
async def test_cancelled_call_releases_its_key_only_if_it_was_not_sent(
    sent: bool, duplicate: ErrorKind | None
) -> None:
    async with run_fleet(*NAMES) as fleet:
        entry = fleet.entry("e1")

        @asynccontextmanager
        async def hang(endpoint: Endpoint) -> AsyncIterator[Exchange]:
            async with entry.open_exchange(endpoint) as exchange:
                # The first two exchanges reserve the key; the third is the attempt.
                opened.append(endpoint)
                if not sent and len(opened) == 3:
                    await anyio.sleep_forever()
                yield exchange

        opened: list[Endpoint] = []
        entry.forwarding_context = replace(entry.forwarding_context, open_exchange=hang)
        with anyio.move_on_after(0.1):
            await entry.call(idempotency_key="k1")
        again = await call_through(fleet, "e2")
        assert (again.refusal.kind if again.refusal else None) is duplicate
        assert fleet.count_runs() == {"r1": 1}


@pytest.mark.parametrize("rank", range(HOLDERS_PER_KEY))
@pytest.mark.parametrize("fault", ["stop", "restart", "cut", "leave"])
async def test_record_survives_the_loss_of_one_holder(rank: int, fault: str) -> None:
    async with run_fleet(*NAMES) as fleet:
        name = get_holder_names(fleet)[rank]
        await call_through(fleet, "e1")
        if fault == "leave":
            gone = replace(fleet.endpoint(name), seq=2, state=EndpointState.GONE)
            fleet.directory.put_endpoint(gone)
            fleet.stop(name)
        else:
            getattr(fleet, fault)(name)
        duplicate = await call_through(fleet, "e2")
        assert b"berylmast-replayed" in duplicate.response.headers
        assert fleet.count_runs() == {"r1": 1}


@pytest.mark.parametrize("rank", range(HOLDERS_PER_KEY))
async def test_unreachable_holder_refuses_a_new_key_as_not_run(rank: int) -> None:
    async with run_fleet(*NAMES) as fleet:
        name = get_holder_names(fleet)[rank]
        fleet.stop(name)
        refused = await call_through(fleet, "e1")
        assert refused.refusal is not None
        assert refused.refusal.kind is ErrorKind.PEER_UNREACHABLE
        assert fleet.count_runs() == {}
        fleet.unreachable.clear()
        again = await call_through(fleet, "e2")
        assert again.outcome == "answered"
        assert fleet.count_runs() == {"r1": 1}


@pytest.mark.parametrize("frame", [frames.KeyBegin, frames.KeyState])
@pytest.mark.parametrize("fault", ["cut", "silent"])
async def test_lost_key_exchange_is_retried(
    frame: type[frames.Frame], fault: str
) -> None:
    async with run_fleet(*NAMES) as fleet:
        inject_fault_at(fleet, frame, fault)
        first = await call_through(fleet, "e1")
        assert first.outcome == "answered"
        await call_through(fleet, "e2")
        assert fleet.count_runs() == {"r1": 1}


async def test_record_survives_one_new_endpoint() -> None:
    async with run_fleet(*NAMES) as fleet:
        first = get_holder_names(fleet)[0]
        late = replace(fleet.endpoint(first), seq=2, state=EndpointState.GONE)
        fleet.directory.put_endpoint(late)
        await call_through(fleet, "e1")
        fleet.directory.put_endpoint(replace(late, seq=3, state=EndpointState.READY))
        assert get_holder_names(fleet)[0] == first
        duplicate = await call_through(fleet, "e2")
        assert b"berylmast-replayed" in duplicate.response.headers
        assert fleet.count_runs() == {"r1": 1}


async def test_key_expires_after_its_retention_time() -> None:
    async with run_fleet(*NAMES) as fleet:
        await call_through(fleet, "e1")
        await anyio.sleep(KEY_RETENTION_S - 1)
        await call_through(fleet, "e2")
        assert fleet.count_runs() == {"r1": 1}
        await anyio.sleep(2)
        await call_through(fleet, "e3")
        assert fleet.count_runs() == {"r1": 2}


async def test_large_response_is_not_replayed_and_the_request_not_rerun() -> None:
    async with run_fleet(*NAMES) as fleet:
        for backend in fleet.backends.values():
            backend.parts = (b"x" * 20_000,)
        await call_through(fleet, "e1")
        duplicate = await call_through(fleet, "e2")
        assert duplicate.refusal is not None
        assert duplicate.refusal.kind is ErrorKind.DUPLICATE_UNKNOWN
        assert fleet.count_runs() == {"r1": 1}


def test_holders_vary_by_key_and_stay_when_others_leave() -> None:
    """Guards against moving keys between endpoints when an unrelated one leaves."""
    endpoints = [Endpoint(f"b{n}", SERVICE, "h", 1, "r", "f", 1, 1) for n in range(9)]
    moved = 0
    for number in range(300):
        key = f"key-{number}"
        two = select_holders(endpoints, SERVICE, "t", key)
        fewer = [e for e in endpoints if e.backend != "b0"]
        after = select_holders(fewer, SERVICE, "t", key)
        remaining = [e for e in two if e.backend != "b0"]
        assert after[: len(remaining)] == remaining
        moved += len(remaining) < HOLDERS_PER_KEY
    assert 30 < moved < 120

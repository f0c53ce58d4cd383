"""Guards against requests to evacuated servers, and against unused ones after it."""

from dataclasses import replace

import anyio
import pytest

from ...errors import ErrorKind
from ...tests.fakes import Call, FakeEntry, FakeFleet, run_fleet

pytestmark = pytest.mark.anyio

CALLS = 20


@pytest.fixture(params=[False, True], ids=["no-spill", "spill"])
def may_spill(request: pytest.FixtureRequest) -> bool:
    value: bool = request.param
    return value


def prepare(fleet: FakeFleet, may_spill: bool, slots: int = 6) -> FakeEntry:
    fleet.slice = replace(fleet.slice, allows_spilling=may_spill, slots=slots)
    return fleet.entry()


async def call_many(entry: FakeEntry, prefix: str) -> list[Call]:
    return [await entry.call(request_id=f"{prefix}{n}") for n in range(CALLS)]


async def test_entry_that_does_not_know_tries_another_server_at_once(
    may_spill: bool,
) -> None:
    async with run_fleet("b1", "b2") as fleet:
        entry = prepare(fleet, may_spill)
        usual_s = (await entry.call(request_id="first")).duration_s
        before = len(fleet.backends["b1"].runs)
        fleet.admissions["b1"].evacuated = True
        # Without spilling, the retries draw on a budget, which may be spent.
        for number in range(CALLS):
            call = await entry.call(request_id=f"r{number}")
            if may_spill or call.refusal is None:
                assert call.outcome == "answered"
                assert call.duration_s <= usual_s + 0.01
            else:
                assert call.outcome == "not-run"
        assert len(fleet.backends["b1"].runs) == before


async def test_queued_requests_go_to_another_server_at_once() -> None:
    async with run_fleet("b1", "b2") as fleet:
        entry = prepare(fleet, may_spill=True, slots=1)
        fleet.backends["b1"].service_time_s = 5.0
        fleet.backends["b2"].service_time_s = 0.01
        fleet.backends["b2"].part_pause_s = 0.0
        calls: list[Call] = []

        async def call(number: int) -> None:
            calls.append(await entry.call(request_id=f"r{number}"))

        async with anyio.create_task_group() as tg:
            for number in range(4):
                tg.start_soon(call, number)
            await anyio.sleep(0.05)
            running = list(fleet.backends["b1"].runs)
            fleet.admissions["b1"].evacuated = True
        assert [c.refusal for c in calls] == [None] * 4
        assert fleet.backends["b1"].runs == running
        assert len(running) == 1


async def test_server_gets_requests_at_once_after_the_removal(may_spill: bool) -> None:
    """The entry still holds the load report that came with the last refusal."""
    async with run_fleet("b1", "b2") as fleet:
        entry = prepare(fleet, may_spill)
        fleet.admissions["b1"].evacuated = True
        await call_many(entry, "during")
        assert fleet.backends["b1"].runs == []
        fleet.admissions["b1"].evacuated = False
        await call_many(entry, "after")
        assert fleet.backends["b1"].runs


async def test_request_is_refused_at_once_if_all_servers_are_evacuated() -> None:
    async with run_fleet("b1", "b2") as fleet:
        entry = prepare(fleet, may_spill=True)
        router = entry.forwarding_context.router
        router._get_evacuated = lambda: frozenset({"f"})
        call = await entry.call()
        assert (call.outcome, call.duration_s) == ("not-run", 0)
        assert call.refusal is not None
        assert call.refusal.kind is ErrorKind.NO_BACKEND
        assert "evacuated failure domains: f" in call.refusal.detail
        assert fleet.dials == []
        router._get_evacuated = frozenset
        assert (await entry.call()).outcome == "answered"

"""Guards against copies that break what every request relies on, in any schedule.

A caller gets exactly one whole response or one refusal, the copies keep to their
limits, and an attempt whose response isn't used is reset at its owner.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

import anyio
import pytest
import trio
import trio._core._run as trio_run
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from ...daemons.frames import End, Fail, Frame, Refuse, Request, Reset, Response
from ...limits.hedging import BURST_COPIES, Hedging
from ...tests.fakes import (
    SERVICE,
    Call,
    FailurePoint,
    FakeBackend,
    FakeEntry,
    FakeFleet,
    FakeStream,
    run_fleet,
)
from ..classify import DEFAULT_MAX_ATTEMPTS
from .test_at_most_once import FAULTS
from .test_random_faults import NAMES as RANDOM_NAMES
from .test_random_faults import change_backend_states, inject_random_faults

NAMES = ("b1", "b2", "b3", "b4", "b5")
DELAY_S = 0.1
EXTRA_RATIO = 0.5
DEADLINE_MS = 1500
TIMES_S = (0.01, 0.09, 0.1, 0.11, 0.2, 0.5)
SETTLE_S = 5.0


@dataclass(frozen=True)
class Behavior:
    """How one backend server answers."""

    service_time_s: float
    part_pause_s: float
    status: int
    cut_at: FailurePoint | None
    stall_at: FailurePoint | None


@dataclass(frozen=True)
class Schedule:
    """The servers' behavior, the requests' start times and what ends them early."""

    behaviors: tuple[Behavior, ...]
    slots: int
    gaps_s: tuple[float, ...]
    disconnect_after_s: tuple[float | None, ...]
    stop_at_s: float | None
    tokens: int


@dataclass
class OpenAttempts:
    """The attempts that were sent to owners and have not ended there."""

    requests: Counter[str] = field(default_factory=Counter)
    succeeded_beside_another: int = 0
    _open: dict[tuple[int, int], str] = field(default_factory=dict)
    _succeeding: set[tuple[int, int]] = field(default_factory=set)

    def __len__(self) -> int:
        return len(self._open)

    def on_frame(self, link: FakeStream, frame: Frame) -> bool:
        # Both ends of a link are identified by the end of the entry.
        end = id(link) if link.to_owner else id(link.other)
        if isinstance(frame, Request):
            self.requests[frame.head.request_id] += 1
            self._open[end, frame.exchange] = frame.head.request_id
        if isinstance(frame, Response) and 200 <= frame.status < 300:
            self._succeeding.add((end, frame.exchange))
        if isinstance(frame, End) and (end, frame.exchange) in self._succeeding:
            # The other attempt was reset when the head arrived, which was earlier.
            request_id = self._open[end, frame.exchange]
            is_open = Counter(self._open.values())[request_id] > 1
            self.succeeded_beside_another += is_open
        if isinstance(frame, Reset | Refuse | Fail) or (
            isinstance(frame, End) and not link.to_owner
        ):
            self._open.pop((end, frame.exchange), None)
        return True


times_s = st.sampled_from(TIMES_S)
rarely = st.sampled_from([None, None, None, *FailurePoint])
behaviors = st.builds(
    Behavior,
    times_s,
    times_s,
    st.sampled_from([200, 200, 200, 204, 404, 500, 503]),
    rarely,
    rarely,
)
schedules = st.builds(
    Schedule,
    st.tuples(*[behaviors] * len(NAMES)),
    st.integers(1, 3),
    st.lists(times_s, min_size=1, max_size=6).map(tuple),
    st.tuples(*[st.none() | times_s] * 6),
    st.none() | st.sampled_from([0.05, 0.15, 0.3, 0.6]),
    st.integers(0, 5),
)


def make_parts(name: str) -> tuple[bytes, ...]:
    """Return a body whose parts are told apart from those of other servers."""
    return (f"{name}-".encode(), f"{name}.".encode())


def configure(backend: FakeBackend, behavior: Behavior) -> None:
    backend.service_time_s = behavior.service_time_s
    backend.part_pause_s = behavior.part_pause_s
    backend.status = behavior.status
    backend.cut_at = behavior.cut_at
    backend.stall_at = behavior.stall_at
    backend.parts = make_parts(backend.name)


def make_hedging(requests: int) -> Hedging:
    """Return a decider with a fixed delay, after a number of requests."""
    hedging = Hedging(EXTRA_RATIO, lambda _times, _extra_ratio: DELAY_S)
    hedging.record_time(f"{SERVICE} ", DELAY_S / 10, anyio.current_time())
    for _ in range(requests):
        hedging.record_request(SERVICE)
    return hedging


def report_loads(fleet: FakeFleet, entry: FakeEntry) -> None:
    """Give an entry a fresh load report of each server."""
    router = entry.forwarding_context.router
    for name, admission in fleet.admissions.items():
        router.record_load(admission.report(), fleet._incarnations[name])


def check_response(call: Call, runs: int) -> None:
    response = call.response
    whole = [f"{name}-{name}.".encode() for name in NAMES]
    if call.refusal is None:
        assert response.finished
        assert response.body in whole
        assert runs >= 1
        return
    assert not response.finished
    assert any(body.startswith(response.body) for body in whole)
    if call.refusal.not_run:
        assert not response.started
        assert runs == 0


async def run_schedule(schedule: Schedule) -> None:
    async with run_fleet(*NAMES) as fleet:
        attempts = OpenAttempts()
        fleet.on_frame = attempts.on_frame
        fleet.set_slots(schedule.slots)
        hedging = make_hedging(schedule.tokens)
        calls = await run_calls(schedule, fleet, hedging)
        await anyio.sleep(SETTLE_S)
        runs = fleet.count_runs()
        for request_id, call in calls.items():
            check_response(call, runs[request_id])
            assert call.duration_s <= DEADLINE_MS / 1000 + 0.001
            assert call.progress.copies <= 1
            assert call.progress.sent <= DEFAULT_MAX_ATTEMPTS
        for request_id, count in attempts.requests.items():
            assert runs[request_id] <= min(count, DEFAULT_MAX_ATTEMPTS)
        earned = (schedule.tokens + len(schedule.gaps_s)) * EXTRA_RATIO
        assert hedging.sent <= min(earned, BURST_COPIES + earned)
        assert sum(hedging.results.values()) == hedging.sent
        assert attempts.succeeded_beside_another == 0
        assert len(attempts) == 0
        assert [a.in_flight for a in fleet.admissions.values()] == [0] * len(NAMES)
        assert [a.report().queued for a in fleet.admissions.values()] == [0] * len(
            NAMES
        )


async def run_calls(
    schedule: Schedule, fleet: FakeFleet, hedging: Hedging
) -> dict[str, Call]:
    """Make all calls; return those whose caller did not disconnect."""
    entry = fleet.entry()
    entry.forwarding_context = replace(entry.forwarding_context, hedging=hedging)
    for name, behavior in zip(NAMES, schedule.behaviors, strict=True):
        configure(fleet.backends[name], behavior)
    report_loads(fleet, entry)
    calls: dict[str, Call] = {}

    async def run(request_id: str, disconnect_after_s: float | None) -> None:
        with anyio.move_on_after(disconnect_after_s or DEADLINE_MS):
            calls[request_id] = await entry.call(
                idempotent=True, request_id=request_id, deadline_ms=DEADLINE_MS
            )

    async def stop(at_s: float) -> None:
        await anyio.sleep(at_s)
        entry.forwarding_context.withdrawals.begin()

    async with anyio.create_task_group() as tg:
        if schedule.stop_at_s is not None:
            tg.start_soon(stop, schedule.stop_at_s)
        for number, gap_s in enumerate(schedule.gaps_s):
            tg.start_soon(run, f"r{number}", schedule.disconnect_after_s[number])
            await anyio.sleep(gap_s)
    return calls


@settings(max_examples=200)
@given(schedules)
def test_any_schedule_gives_one_whole_response_or_one_refusal(
    schedule: Schedule,
) -> None:
    # trio schedules tasks in random order; a fixed seed gives each schedule one order.
    trio_run._r.seed(1)
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(run_schedule, schedule, clock=clock)


FAULTY_SEEDS = 30
CALLS_PER_SEED = 12


@pytest.mark.anyio
async def test_copies_under_link_and_server_faults() -> None:
    """Guards against wrong outcomes where a link is lost while two attempts run."""
    results: Counter[str] = Counter()
    for seed in range(FAULTY_SEEDS):
        rng = Random(seed)
        calls: dict[str, Call] = {}
        async with run_fleet(*RANDOM_NAMES) as fleet:
            inject_random_faults(fleet, rng, list(FAULTS))
            hedging = make_hedging(CALLS_PER_SEED)
            for name in RANDOM_NAMES:
                fleet.backends[name].parts = make_parts(name)
            await run_faulty_calls(fleet, hedging, rng, calls)
            runs = fleet.count_runs()
        for request_id, call in calls.items():
            check_response(call, runs[request_id])
            assert call.duration_s <= DEADLINE_MS / 1000 + 0.001, seed
            assert runs[request_id] <= DEFAULT_MAX_ATTEMPTS, seed
            results[call.progress.copy_result] += 1
    assert results["won"] and results["lost"] and results["failed"]


async def run_faulty_calls(
    fleet: FakeFleet, hedging: Hedging, rng: Random, calls: dict[str, Call]
) -> None:
    entry = fleet.entry()
    entry.forwarding_context = replace(entry.forwarding_context, hedging=hedging)

    async def run(request_id: str) -> None:
        calls[request_id] = await entry.call(
            idempotent=True, request_id=request_id, deadline_ms=DEADLINE_MS
        )

    async with anyio.create_task_group() as tg:
        for number in range(CALLS_PER_SEED):
            report_loads(fleet, entry)
            tg.start_soon(run, f"r{number}")
            await anyio.sleep(rng.random() / 2)
            change_backend_states(fleet, rng)
    await anyio.sleep(30)

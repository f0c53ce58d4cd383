"""Measures the processor time of one start at queues of different lengths.

    PYTHONPATH=src python -m berylmast_dev.bench_queue

``limited``: the backend server states a rate limit. ``full``: all slots are in use.
``deadlines``: the latest start of all queued requests passes at once; the time is that
of one refusal. Runs on a mock clock, so that only processor time passes.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from random import Random

import anyio
import trio
import trio.testing

from berylmast.limits import SlotAdmission
from berylmast.limits.admission import Permit
from berylmast.model import AttemptResult, RequestHead
from berylmast.tests.fake_parts import make_head, make_slice

QUEUE_LENGTHS = (10, 100, 1_000)
STARTS = 300
MAX_MEASURED_S = 10.0
"""Processor time after which a measurement ends with fewer starts."""

SLOTS = 12
SERVICE_TIME_S = 0.05
RATE_PER_S = 120.0
LONG_MS = 3_600_000
DEADLINE_MS = 5_000


class _Notices:
    """States a rate limit, if any."""

    leaving = False

    def __init__(self, rate_limit: float | None) -> None:
        self.rate_limit = rate_limit


def _make_admission(rate_limit: float | None) -> SlotAdmission:
    service = make_slice(slots=SLOTS)
    return SlotAdmission(
        "b1", 1, lambda: service, rng=Random(1), notices=_Notices(rate_limit)
    )


def _make_request(deadline_ms: int = LONG_MS) -> RequestHead:
    return replace(make_head(), deadline_ms=deadline_ms, target_ms=deadline_ms)


async def _measure_starts(length: int, rate_limit: float | None) -> float:
    """Return the seconds of processor time of one start; the queue stays as long."""
    admission = _make_admission(rate_limit)
    starts = 0
    began_s = time.process_time()
    done = anyio.Event()

    async def run_request(tg: anyio.abc.TaskGroup) -> None:
        nonlocal starts
        permit = (await admission.acquire(_make_request())).unwrap()
        starts += 1
        tg.start_soon(run_request, tg)
        measured_s = time.process_time() - began_s
        if starts >= STARTS + SLOTS or (starts > SLOTS and measured_s > MAX_MEASURED_S):
            done.set()
        await anyio.sleep(SERVICE_TIME_S)
        permit.release(AttemptResult(ok=True, refused=False, latency_s=SERVICE_TIME_S))

    async with anyio.create_task_group() as tg:
        for _ in range(length + SLOTS):
            tg.start_soon(run_request, tg)
        while starts < SLOTS:
            await anyio.sleep(0.001)
        began_s, starts_before = time.process_time(), starts
        await done.wait()
        took_s = time.process_time() - began_s
        tg.cancel_scope.cancel()
    return took_s / (starts - starts_before)


async def _measure_deadlines(length: int) -> float:
    """Return the seconds of processor time of one refusal at the latest start."""
    admission = _make_admission(None)
    refusals = 0
    took_s = 0.0

    async def wait_in_queue() -> None:
        nonlocal refusals
        result = await admission.acquire(_make_request(DEADLINE_MS))
        refusals += result.is_err()

    permits: list[Permit] = []
    for _ in range(SLOTS):
        permits.append((await admission.acquire(_make_request())).unwrap())
    async with anyio.create_task_group() as tg:
        for _ in range(length):
            tg.start_soon(wait_in_queue)
        await anyio.sleep(DEADLINE_MS / 1000 / 2)
        began_s = time.process_time()
        await anyio.sleep(DEADLINE_MS / 1000)
        took_s = time.process_time() - began_s
    assert refusals == length
    return took_s / length


def _run(measure: Callable[[], Awaitable[float]]) -> float:
    clock = trio.testing.MockClock(autojump_threshold=0)
    result: float = trio.run(measure, clock=clock)
    return result


def main() -> None:
    """Print the microseconds of each case, and how they grow."""
    cases: dict[str, Callable[[int], Awaitable[float]]] = {
        "limited": partial(_measure_starts, rate_limit=RATE_PER_S),
        "full": partial(_measure_starts, rate_limit=None),
        "deadlines": _measure_deadlines,
    }
    print(
        "case       " + "".join(f"{length:>10}" for length in QUEUE_LENGTHS), "growth"
    )
    for name, measure in cases.items():
        times_us = [_run(partial(measure, length)) * 1e6 for length in QUEUE_LENGTHS]
        figures = "".join(f"{value:10.0f}" for value in times_us)
        print(f"{name:11}{figures} {times_us[-1] / times_us[0]:6.1f}")


if __name__ == "__main__":
    main()

"""Uploads whose callers have left long ago still reach a server."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import Client, make_route, run_case

BODY = b"d" * 100_000
DEADLINE_MS = 5000
LATE_S = 0.5
RATE_PER_S = 12.0
# burst: x = 2.5, for_s = 5.9; give_up: share = 0.3, x = 1500, for_s = 5.
# Both come twice.
BURST_TIMES, BURSTS_AT_S, BURST_FOR_S = 2.5, (5.5, 20.5), 5.9
LEAVE_SHARE, LEAVE_WITHIN_S, LEAVES_AT_S, LEAVE_FOR_S = 0.3, 1.5, (6.5, 21.5), 5.0
LAST_S = 32.0
FEW = 5


def is_within(now_s, starts_s, for_s):
    return any(start_s <= now_s < start_s + for_s for start_s in starts_s)


async def upload(case, machine, leave_s, left):
    attempt, left_s = await Client(case, machine).send_and_leave(
        "POST", "/drawings/one", DEADLINE_MS, BODY, leave_s
    )
    if left_s is not None:
        left[attempt] = left_s


async def play(case):
    for _ in range(2):
        case.add_machine("drawings", 4, 0.4)
    case.configure(
        1,
        [
            make_route(
                "drawings",
                "/drawings/",
                "upload",
                timeout="5000ms",
                targetLatency="4000ms",
            )
        ],
    )
    await case.start()
    left = {}
    begin_s = time.monotonic()
    while (now_s := time.monotonic() - begin_s) < LAST_S:
        machine = random.choice(case.machines)
        burst = case.trouble and is_within(now_s, BURSTS_AT_S, BURST_FOR_S)
        leaving = case.trouble and is_within(now_s, LEAVES_AT_S, LEAVE_FOR_S)
        leave_s = DEADLINE_MS / 1000
        if leaving and random.random() < LEAVE_SHARE:
            leave_s = random.uniform(0.2, LEAVE_WITHIN_S)
        case.spawn(upload(case, machine, leave_s, left))
        rate_per_s = RATE_PER_S * (BURST_TIMES if burst else 1.0)
        await asyncio.sleep(random.expovariate(rate_per_s))
    await asyncio.sleep(6.0)
    late = [
        (attempt, round(at_s - left[attempt], 3), server)
        for attempt, at_s, server in case.arrivals
        if attempt in left and at_s > left[attempt] + LATE_S
    ]
    ran = {run["attempt"] for run in case.runs}
    for attempt, after_s, server in late:
        case.note("reached late", attempt=attempt, after_s=after_s, ran=attempt in ran)
    print(
        "left",
        len(left),
        "reached late",
        len(late),
        "ran",
        sum(a in ran for a, *_ in late),
    )
    return f"GONE: {len(late)} requests" if len(late) > FEW else ""


run_case(FOLDER, play)

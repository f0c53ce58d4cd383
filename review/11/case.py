"""A second stop signal makes a daemon break off the requests that it still has."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_3 import TROUBLE, Case, Server, main, make_route

WORK_S = 1.7
SERVES_ON_S = 2.3
GRACE_S = 6.0
REQUESTS = 4


async def play(case: Case) -> bool:
    entry = case.add("entry", "catalogue", "south-a", "south")
    other = case.add("catalogue-2", "catalogue", "south-b", "south")
    member = case.add("orders-1", "orders", "south-a", "south")
    await case.start(
        [
            make_route(
                "r-orders", "/orders/", "non_idempotent", "orders", timeout="2500ms"
            ),
            make_route("r-catalogue", "/catalogue/", "idempotent", "catalogue"),
        ]
    )
    leaving = Server(case, entry, "catalogue", "i-leaving")
    await leaving.start()
    await Server(case, other, "catalogue", "i-staying").start()
    server = Server(case, member, "orders", "i-orders", work_s=WORK_S)
    await server.start()
    await case.wait_ready("/catalogue/x")
    await asyncio.sleep(1.0)
    if TROUBLE:
        leaving.state = "draining"
        while "draining" not in leaving.acknowledged_s:
            await asyncio.sleep(0.02)
    await asyncio.sleep(1.2)
    stopped_s = time.monotonic()
    if TROUBLE:
        case.record.write("the rolling restart reaches the daemon of entry: SIGTERM")
        entry.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.2)
    tasks = []
    for _ in range(REQUESTS):
        send = case.send(entry, "POST", "/orders/1", 5000, body=b"order")
        tasks.append(asyncio.create_task(send))
    await asyncio.sleep(0.3)
    if TROUBLE:
        ends_s = leaving.acknowledged_s["draining"] + SERVES_ON_S
        await asyncio.sleep(ends_s - time.monotonic())
        await leaving.call("instances.deregister", {"born": leaving.born_ms})
        leaving.beats.cancel()
        leaving.listener.close()
        case.record.write("i-leaving has ended: SIGTERM to the daemon beside it")
        entry.process.send_signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    held = True
    begun_s = {at: run_s for run_s, _, _, at in case.run_list}
    for attempt, begin_s in begun_s.items():
        if attempt not in case.answered_s or case.sealed.get(attempt):
            continue
        answered_s = case.answered_s[attempt]
        at_work = begin_s < answered_s < begin_s + WORK_S
        after_s = answered_s - stopped_s
        if at_work and 0 <= after_s < GRACE_S * 5 / 6:
            text = f"{after_s:.2f} s after the first SIGTERM, its server at work"
            status = case.answers[attempt]
            case.record.write(f"LOST: {attempt} is broken off {text}: {status}")
            held = False
    return held


main(play)

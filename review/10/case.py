"""A server that has left is used again after a restart of all while the store is down."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import CONTROL, JSON, Client, call, make_beat, make_route, run_case

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
STORE_DOWN_S = 4.5
DOWN_S = 2.0
HEARTBEAT_LATE_S = 5.0
SERVES_ON_S = 12.0


async def keep_sending(case, machine, end_s):
    client = Client(case, machine)
    while time.monotonic() - case.started_s < end_s:
        await client.send("POST", "/orders/one", 2000, b"x" * 100)
        await asyncio.sleep(0.2)
    client.close()


async def deliver_late(case, server):
    """Send a heartbeat that arrives late, from before the server's departure."""
    server.sequence += 1
    path = f"/v1/rpc?call=instances.heartbeat&of={server.id}"
    data = json.dumps(make_beat(server)).encode()
    case.note("heartbeat leaves the server", sequence=server.sequence)
    await asyncio.sleep(HEARTBEAT_LATE_S)
    res = await call(server.ip, CONTROL, "POST", path, data, JSON)
    case.note("heartbeat arrives", sequence=server.sequence, status=res.status)


async def end_store(case):
    await asyncio.sleep(STORE_DOWN_S)
    case.store.busy = False
    case.note("the store answers again")


async def play(case):
    for _ in range(3):
        case.add_machine("orders", 4, 0.2)
    case.configure(1, [make_route("orders", "/orders/", "non_idempotent")])
    await case.start()
    begin_s = time.monotonic() - case.started_s
    for machine in case.machines:
        for _ in range(3):
            case.spawn(keep_sending(case, machine, begin_s + 26.0))
    await asyncio.sleep(4.0)
    server = case.servers[0]
    if case.trouble:
        case.store.busy = True
        case.note("the store answers 503")
        case.spawn(end_store(case))
        await asyncio.sleep(0.5)
    server.stop_beats()
    case.spawn(deliver_late(case, server))
    await asyncio.sleep(0.3)
    status = await server.deregister()
    ack_s = time.monotonic() - case.started_s
    case.note("server leaves", id=server.id, status=status)
    if status != 200:
        raise RuntimeError("the departure was not acknowledged")
    await asyncio.sleep(0.5)
    calm_s = ack_s + DRAIN_S
    if case.trouble:
        case.note("all processes are killed")
        for machine in case.machines:
            machine.kill()
        await asyncio.sleep(DOWN_S)
        for machine in case.machines:
            await machine.start()
        calm_s = time.monotonic() - case.started_s + STABLE_WINDOW_S + 1.0
    await asyncio.sleep(max(0.0, ack_s + SERVES_ON_S - (time.monotonic() - case.started_s)))
    late = [
        run
        for run in case.runs
        if run["server"] == server.id
        and run["at_s"] > ack_s + DRAIN_S
        and case.answers.get(run["attempt"], {"sent_s": 0})["sent_s"] >= calm_s
    ]
    for run in late:
        case.note("late at the server", after_s=round(run["at_s"] - ack_s, 3), **run)
    print("late at the server that left", len(late))
    return f"DRAIN: {len(late)} requests" if late else ""


run_case(FOLDER, play)

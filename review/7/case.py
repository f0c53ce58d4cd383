"""Heartbeats whose id can't be read end the daemons that accept them."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import CONTROL, JSON, Client, call, make_beat, make_route, run_case

UNREADABLE_ID = "i-%FF%FE93c1"
BEATS, GAP_S = 6, 4.5


async def send_unreadable_beats(case, machine, server):
    """Send heartbeats of another writer to the daemon of a machine."""
    for _ in range(BEATS):
        beat = make_beat(server)
        beat["born"] = int(time.time() * 1000)
        beat["status"]["sequence"] = 1
        path = f"/v1/rpc?call=instances.heartbeat&of={UNREADABLE_ID}"
        data = json.dumps(beat).encode()
        try:
            status = (await call(machine.ip, CONTROL, "POST", path, data, JSON)).status
        except (OSError, TimeoutError) as exc:
            status = repr(exc)
        case.note("heartbeat of another writer", machine=machine.name, status=status)
        await asyncio.sleep(GAP_S)


async def keep_sending(case, machine, method, path, end_s):
    client = Client(case, machine)
    while time.monotonic() - case.started_s < end_s:
        await client.send(method, path, 4000, b"x" * 100 if method == "POST" else b"")
        await asyncio.sleep(0.25)
    client.close()


async def play(case):
    for _ in range(2):
        case.add_machine("orders", 6, 0.1)
    for _ in range(2):
        _, server = case.add_machine("reports", 20, 0.1)
        server.answer_bytes, server.stream_s = 200_000, 1.5
    case.configure(
        1,
        [
            make_route("orders", "/orders/", "non_idempotent"),
            make_route("reports", "/reports/", "idempotent", timeout="4000ms"),
        ],
    )
    await case.start()
    end_s = time.monotonic() - case.started_s + 30.0
    for machine in case.machines:
        for _ in range(2):
            case.spawn(keep_sending(case, machine, "POST", "/orders/one", end_s))
        for _ in range(5):
            case.spawn(keep_sending(case, machine, "GET", "/reports/one", end_s))
    await asyncio.sleep(5.0)
    if case.trouble:
        for number in (0, 1):
            case.spawn(
                send_unreadable_beats(case, case.machines[number], case.servers[number])
            )
    await asyncio.sleep(28.0)
    ends = {machine.name: machine.own_ends for machine in case.machines}
    ran = {run["attempt"] for run in case.runs}
    cut = [
        a
        for a in case.answers.values()
        if a["kept"] and a["status"] == 0 and a["attempt"] in ran
    ]
    for answer in cut:
        case.note("passed on and closed without an answer", **answer)
    case.note("processes that ended by themselves", ends=ends)
    print("ends", ends, "cut", len(cut))
    often = [name for name, number in ends.items() if number >= 3]
    if len(cut) > 3:
        return f"LOST: {len(cut)} requests passed on and closed, ends {ends}"
    if len(often) >= 2:
        return f"Fault: {ends}"
    return ""


run_case(FOLDER, play)

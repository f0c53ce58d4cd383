"""A queued request runs at a server of another service at the same address."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import Client, Server, make_route, run_case

REUSE_S = 2.5


async def keep_sending(case, machine, path, end_s):
    client = Client(case, machine)
    while time.monotonic() - case.started_s < end_s:
        await client.send("GET", path, 8000)
        await asyncio.sleep(0.2)
    client.close()


async def play(case):
    case.add_machine("fittings", 4, 0.6)
    for _ in range(2):
        case.add_machine("orders", 6, 0.1)
    case.configure(
        1,
        [
            make_route(
                "fittings",
                "/fittings/",
                "idempotent",
                timeout="8000ms",
                targetLatency="4000ms",
            ),
            make_route("orders", "/orders/", "idempotent"),
        ],
    )
    await case.start()
    begin_s = time.monotonic() - case.started_s
    for machine in case.machines:
        for _ in range(4):
            case.spawn(keep_sending(case, machine, "/fittings/one", begin_s + 30.0))
    await asyncio.sleep(6.0)
    if case.trouble:
        old = case.servers[0]
        old.silent = True
        old.stop_listening()
        case.note("server falls silent", id=old.id)
        await asyncio.sleep(REUSE_S)
        new = Server(case, old.ip, "orders", "i-00ab12cd34", 6, 0.1)
        case.servers.append(new)
        await new.start()
    await asyncio.sleep(20.0)
    of_route = [r for r in case.runs if r["target"].startswith("/fittings/")]
    wrong = [r for r in of_route if r["service"] != "fittings"]
    for run in wrong:
        case.note("wrong service", **run)
    return f"ROUTE: {len(wrong)} requests of fittings run by orders" if wrong else ""


run_case(FOLDER, play)

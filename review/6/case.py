"""After a rolling restart, servers that are ready get no request any more."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import Client, make_route, run_case

STEADY_S = 4.0
GRACE_S = 6.0


async def keep_sending(case, machine, path, end_s, pause_s=0.3):
    client = Client(case, machine)
    while time.monotonic() - case.started_s < end_s:
        await client.send("GET", path, 8000)
        await asyncio.sleep(pause_s)
    client.close()


def count_served(case, path, from_s):
    sent = [
        a
        for a in case.answers.values()
        if a["path"].startswith(path) and a["sent_s"] >= from_s
    ]
    return sum(a["status"] == 200 and a["sealed"] for a in sent), len(sent)


async def roll(case):
    """Stop and start the daemons in turn: SIGTERM, the end, a new start, ready."""
    for machine in case.machines:
        process = machine.process
        process.send_signal(signal.SIGTERM)
        case.note("SIGTERM", machine=machine.name)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        await asyncio.sleep(1.0)
        async with asyncio.timeout(10.0):
            while not await machine.is_ready():
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)


async def play(case):
    for _ in range(2):
        case.add_machine("catalogue", 6, 0.05)
    for _ in range(2):
        case.add_machine("fittings", 6, 4.0)
    first = [
        make_route("catalogue", "/catalogue/", "idempotent"),
        make_route(
            "fittings",
            "/fittings/",
            "idempotent",
            timeout="8000ms",
            targetLatency="6000ms",
        ),
    ]
    case.configure(1, first)
    await case.start()
    entries = case.machines[:2]
    end_s = time.monotonic() - case.started_s + 90.0
    for machine in entries:
        for _ in range(3):
            case.spawn(keep_sending(case, machine, "/catalogue/one", end_s))
        for _ in range(5):
            case.spawn(keep_sending(case, machine, "/fittings/one", end_s, 0.5))
    await asyncio.sleep(5.0)
    if case.trouble:
        await roll(case)
    await asyncio.sleep(STEADY_S)
    added = make_route(
        "fittings", "/added/", "idempotent", timeout="8000ms", targetLatency="6000ms"
    )
    case.configure(2, [*first, added])
    await asyncio.sleep(STEADY_S)
    from_s = time.monotonic() - case.started_s
    for machine in entries:
        for _ in range(2):
            case.spawn(keep_sending(case, machine, "/added/one", from_s + 20.0, 0.5))
    await asyncio.sleep(26.0)
    later = count_served(case, "/added/", from_s)
    catalogue = count_served(case, "/catalogue/", from_s)
    fittings = count_served(case, "/fittings/", from_s)
    before = [catalogue[0] + fittings[0], catalogue[1] + fittings[1]]
    case.note("served", added=later, catalogue=catalogue, fittings=fittings)
    print("added", later, "catalogue", catalogue, "fittings", fittings)
    if later[1] >= 20 and later[0] / later[1] < before[0] / before[1] / 4:
        return f"CONFIG: added routes served {later}, first routes {before}"
    return ""


run_case(FOLDER, play)

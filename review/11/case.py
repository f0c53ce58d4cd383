"""Requests that wait for a server are run by the server of another service after it."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_3 import TROUBLE, Case, Message, Server, main, make_route

SLOTS = 2
ADDR_REUSE_S = 2.0
REUSED_AFTER_S = 3.0


class SilentServer(Server):
    """Falls silent for good: it answers nothing and sends no heartbeat."""

    silent = False

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)
        self.behave = self.serve_unless_silent

    async def serve_unless_silent(self, req: Message, writer, number: int) -> None:
        if self.silent:
            await asyncio.sleep(3600)
        await self.serve_request(req, writer, number)

    def fall_silent(self) -> None:
        self.silent, self.reporting = True, False


async def play(case: Case) -> bool:
    entry = case.add("entry", "catalogue", "south-a", "south")
    member = case.add("fittings-1", "fittings", "south-a", "south")
    await case.start(
        [
            make_route(
                "r-fitting", "/fitting/", "idempotent", "fittings", targetLatency="4000ms"
            ),
            make_route("r-catalogue", "/catalogue/", "idempotent", "catalogue"),
        ]
    )
    await Server(case, entry, "catalogue", "i-cat").start()
    old = SilentServer(case, member, "fittings", "i-old", slots=SLOTS, work_s=0.3)
    await old.start()
    await case.wait_ready("/fitting/x", [entry])
    await asyncio.sleep(2.0)
    if TROUBLE:
        case.record.write("i-old falls silent")
        old.fall_silent()
    fallen_s = time.monotonic()
    sends = []
    for number in range(SLOTS):
        sends.append(case.send(entry, "GET", f"/fitting/short{number}", 5000))
    tasks = [asyncio.create_task(send) for send in sends]
    await asyncio.sleep(0.2)
    for number in range(2):
        send = case.send(entry, "GET", f"/fitting/long{number}", 9000)
        tasks.append(asyncio.create_task(send))
    await asyncio.sleep(REUSED_AFTER_S - (time.monotonic() - fallen_s))
    if TROUBLE:
        old.listener.close()
        new = Server(case, member, "catalogue", "i-new", slots=SLOTS, work_s=0.3)
        await new.start()
        case.change_service(member, "catalogue")
        case.record.write(f"i-new of catalogue has the address, {REUSED_AFTER_S} s later")
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    held = True
    for _, server, target, _ in case.run_list:
        if target.startswith("/fitting/") and server.service != "fittings":
            case.record.write(f"ROUTE: {server.id} of {server.service} ran {target}")
            held = False
    return held


main(play)

"""A server that has left is in use again after the daemon beside it was restarted.

The server deregisters at once, without a state "draining" before. A heartbeat that it had
sent earlier arrives seconds late, at the restarted daemon.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

MACHINES = [
    s.Machine("sidecar-a-1", "zone-a", "region-1", "blue"),
    s.Machine("sidecar-b-1", "zone-b", "region-2", "blue"),
    s.Machine("sidecar-a-2", "zone-a", "region-1", "green"),
]
ROUTES = [
    s.make_route("blue", "/blue/", "blue", "non_idempotent", "2000ms"),
    s.make_route("green", "/green/", "green", "idempotent", "2000ms"),
]
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
LATE_BEAT_S = 5.0
"""How late the last heartbeat arrives."""
SERVES_ON_S = 15.0
"""How long the server serves after its leaving was acknowledged."""


async def case(record, trouble):
    deployment = s.Deployment(record, MACHINES)
    try:
        await deployment.start(s.make_configuration(7, ["blue", "green"], ROUTES))
        leaving = s.Server(deployment, MACHINES[0], work_s=0.3)
        for server in (leaving, *(s.Server(deployment, m, work_s=0.3) for m in MACHINES[1:])):
            await server.start()
        await deployment.wait_ready()
        await asyncio.sleep(1.0)

        # The last heartbeat is sent now and held up on its way.
        leaving.beats.cancel()
        beat = leaving.make_beat()
        record("beat_sent", server=leaving.name, sequence=leaving.sequence)
        beat_sent_at = time.monotonic()
        await asyncio.sleep(0.3)
        answer = await leaving.deregister()
        acknowledged_at = time.monotonic()
        record("deregistered", server=leaving.name, status=answer.status)
        if answer.status != 200:
            raise s.CannotRun("the leaving was not acknowledged")

        restarted_at = acknowledged_at
        if trouble:
            await asyncio.sleep(0.2)
            await deployment.kill_and_restart(MACHINES[0])
            restarted_at = time.monotonic()

        async def deliver_beat():
            await asyncio.sleep(max(0, beat_sent_at + LATE_BEAT_S - time.monotonic()))
            status = (await leaving.post_beat(beat)).status
            record("beat_arrived_late", server=leaving.name, status=status)

        late = asyncio.create_task(deliver_beat())
        requests = []
        while time.monotonic() < acknowledged_at + SERVES_ON_S:
            requests.append(
                asyncio.create_task(s.ask(deployment, MACHINES[2], "POST", "/blue/a", 2000, b"order"))
            )
            await asyncio.sleep(0.1)
        # The server exits. Requests that still run there are lost.
        leaving.crash()
        answers = await asyncio.gather(*requests)
        await late
        unsure = sum(a.status in (0, 502, 504) for a in answers)

        # In touch: the daemon beside the server has run for the whole stable window.
        counted_from = max(acknowledged_at + DRAIN_S, restarted_at + STABLE_WINDOW_S)
        sent_at = {a.attempt: a.sent_at for a in answers}
        too_late = [
            r for r in leaving.runs
            if r.received_at > counted_from and sent_at[r.attempt] > counted_from
        ]
        record("judged", rule="DRAIN", reached_the_server_too_late=len(too_late), outcome_unknown=unsure)
        print(f"{len(answers)} requests; {len(too_late)} reached the server that had left, "
              f"up to {max([r.received_at for r in too_late], default=acknowledged_at) - acknowledged_at:.1f} s "
              f"after the acknowledgement; {unsure} ended with an unknown outcome")
        return not too_late
    finally:
        await deployment.close()


s.run_case(FOLDER, case)

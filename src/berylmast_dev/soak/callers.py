"""Simulated callers, which reuse connections and record the result of each request."""

from hashlib import sha256
from random import Random
from uuid import uuid4

import anyio

from ..fleet import HOST
from ..lean_client import CONNECTION_FAILURES, LeanClient, LeanResponse
from ..platform_fleet import ENTRY_HOST, TIMEOUT_MS, PlatformMember
from .configurations import MOVED, READ, WRITE
from .layout import SoakFleet
from .promises import CLOSED, LEFT, Sent

PATHS = (READ, READ, READ, WRITE, WRITE, MOVED)
BODY_BYTES = (400, 400, 400, 400, 80_000)
LEAVING_SHARE = 0.04
LEAVES_AFTER_S = 0.03
TIMEOUT_S = TIMEOUT_MS / 1000
GIVE_UP_S = TIMEOUT_S + 2.0


async def send_traffic(
    fleet: SoakFleet, member: PlatformMember, rate: float, seed: int, until_s: float
) -> list[Sent]:
    """Send requests to one entry until a point in time and wait for their responses.

    ``rate`` is in requests per second; the intervals are distributed exponentially.
    """
    rng = Random(f"{seed} {member.name}")
    client = LeanClient()
    found: list[Sent] = []
    async with anyio.create_task_group() as tg:
        while anyio.current_time() < until_s:
            tg.start_soon(_send_one, client, fleet, member, rng, found)
            await anyio.sleep(rng.expovariate(rate))
    await client.aclose()
    return found


async def _send_one(
    client: LeanClient,
    fleet: SoakFleet,
    member: PlatformMember,
    rng: Random,
    found: list[Sent],
) -> None:
    prefix = rng.choice(PATHS)
    path, attempt = f"{prefix}item", uuid4().hex
    body = rng.randbytes(rng.choice(BODY_BYTES)) if prefix == WRITE else b""
    patience_s = LEAVES_AFTER_S if rng.random() < LEAVING_SHARE else GIVE_UP_S
    headers = {
        "host": ENTRY_HOST,
        "x-attempt-id": attempt,
        "x-deadline-ms": str(TIMEOUT_MS),
    }
    address = (HOST, fleet.get_port(member, "callers"))
    method = "POST" if body else "GET"
    at_s = anyio.current_time()
    status, whole = LEFT, True
    try:
        with anyio.move_on_after(patience_s):
            res = await client.request(address, method, path, headers, body)
            status, whole = res.status, _is_whole(res, attempt, body)
    except CONNECTION_FAILURES:
        status = CLOSED
    found.append(
        Sent(
            attempt=attempt,
            entry=member.name,
            path=path,
            body_digest=sha256(body).hexdigest(),
            idempotent=prefix != WRITE,
            at_s=at_s,
            ended_s=anyio.current_time(),
            timeout_s=TIMEOUT_S,
            status=status,
            whole=whole,
        )
    )


def _is_whole(res: LeanResponse, attempt: str, body: bytes) -> bool:
    """Return whether a response is complete and belongs to this request.

    The seal is the digest of the response's body; the body begins with the digest of
    the attempt id and the request's body.
    """
    seal = res.headers.get(b"x-response-seal", b"").decode()
    expected = sha256(attempt.encode() + body).hexdigest().encode()
    return seal == sha256(res.body).hexdigest() and res.body.startswith(expected)

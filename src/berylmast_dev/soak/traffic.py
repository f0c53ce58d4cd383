"""Simulated callers, which reuse connections and record the result of each request."""

from hashlib import sha256
from random import Random
from uuid import uuid4

import anyio

from ..fleet import HOST
from ..http_client import CONNECTION_ERRORS, HttpClient, HttpResponse
from ..platform_fleet import REQUEST_TIMEOUT_MS, VIRTUAL_HOST, PlatformMember
from .configuration_writer import READ_PREFIX, REASSIGNED_PREFIX, WRITE_PREFIX
from .invariants import CALLER_DISCONNECTED, CONNECTION_CLOSED, SentRequest
from .soak_fleet import SoakFleet

PREFIX_CHOICES = (
    READ_PREFIX,
    READ_PREFIX,
    READ_PREFIX,
    WRITE_PREFIX,
    WRITE_PREFIX,
    REASSIGNED_PREFIX,
)
UPLOAD_BYTES_CHOICES = (400, 400, 400, 400, 80_000)
DISCONNECT_PROBABILITY = 0.04
DISCONNECT_AFTER_S = 0.03
REQUEST_TIMEOUT_S = REQUEST_TIMEOUT_MS / 1000
CLIENT_TIMEOUT_S = REQUEST_TIMEOUT_S + 2.0


async def send_traffic(
    fleet: SoakFleet, member: PlatformMember, rate: float, seed: int, until_s: float
) -> list[SentRequest]:
    """Send requests to one entry until a point in time and wait for their responses.

    ``rate`` is in requests per second; the intervals are distributed exponentially.
    """
    rng = Random(f"{seed} {member.name}")
    client = HttpClient()
    requests: list[SentRequest] = []
    async with anyio.create_task_group() as tg:
        while anyio.current_time() < until_s:
            tg.start_soon(_send_one, client, fleet, member, rng, requests)
            await anyio.sleep(rng.expovariate(rate))
    await client.aclose()
    return requests


async def _send_one(
    client: HttpClient,
    fleet: SoakFleet,
    member: PlatformMember,
    rng: Random,
    requests: list[SentRequest],
) -> None:
    prefix = rng.choice(PREFIX_CHOICES)
    path, attempt = f"{prefix}item", uuid4().hex
    body = (
        rng.randbytes(rng.choice(UPLOAD_BYTES_CHOICES))
        if prefix == WRITE_PREFIX
        else b""
    )
    wait_limit_s = (
        DISCONNECT_AFTER_S
        if rng.random() < DISCONNECT_PROBABILITY
        else CLIENT_TIMEOUT_S
    )
    headers = {
        "host": VIRTUAL_HOST,
        "x-attempt-id": attempt,
        "x-deadline-ms": str(REQUEST_TIMEOUT_MS),
    }
    address = (HOST, fleet.get_link_port(member, "callers"))
    method = "POST" if body else "GET"
    at_s = anyio.current_time()
    status, intact = CALLER_DISCONNECTED, True
    try:
        with anyio.move_on_after(wait_limit_s):
            res = await client.request(address, method, path, headers, body)
            status, intact = res.status, _is_intact(res, attempt, body)
    except CONNECTION_ERRORS:
        status = CONNECTION_CLOSED
    requests.append(
        SentRequest(
            attempt=attempt,
            entry=member.name,
            path=path,
            body_digest=sha256(body).hexdigest(),
            idempotent=prefix != WRITE_PREFIX,
            at_s=at_s,
            ended_s=anyio.current_time(),
            timeout_s=REQUEST_TIMEOUT_S,
            status=status,
            intact=intact,
        )
    )


def _is_intact(res: HttpResponse, attempt: str, body: bytes) -> bool:
    """Return whether a response is complete and belongs to this request.

    The seal is the digest of the response's body; the body begins with the digest of
    the attempt id and the request's body.
    """
    seal = res.headers.get(b"x-response-seal", b"").decode()
    expected = sha256(attempt.encode() + body).hexdigest().encode()
    return seal == sha256(res.body).hexdigest() and res.body.startswith(expected)

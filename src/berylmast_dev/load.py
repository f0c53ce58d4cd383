"""Simulates callers: an open-loop load generator with results per traffic class."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import anyio
from hdrh.histogram import HdrHistogram

from .lean_client import LeanClient

REQUEST_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class LoadClass:
    """Requests of one kind; ``rate`` is their mean number per second."""

    name: str
    host: str
    method: str
    path: str
    rate: float
    body_bytes: int = 0
    tenant: str = "default"


@dataclass(slots=True)
class LoadResult:
    """Results of one class; ``latencies_us`` holds only answered requests."""

    answered: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    latencies_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60_000_000, 3)
    )
    answered_ids: list[str] = field(default_factory=list)
    not_run_ids: list[str] = field(default_factory=list)

    def count(self, outcome: str) -> None:
        """Count a request that was not answered, by its outcome."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


async def run_load(
    entries: Sequence[tuple[str, int]],
    classes: Sequence[LoadClass],
    seconds: float,
    seed: int = 1,
) -> dict[str, LoadResult]:
    """Send each class at its rate to random entries and wait for the responses."""
    results = {item.name: LoadResult() for item in classes}
    client = LeanClient()
    async with anyio.create_task_group() as tg:
        for index, item in enumerate(classes):
            rng = Random(seed * 1000 + index)
            tg.start_soon(
                _send_class, client, entries, item, seconds, rng, results[item.name]
            )
    await client.aclose()
    return results


async def _send_class(
    client: LeanClient,
    entries: Sequence[tuple[str, int]],
    item: LoadClass,
    seconds: float,
    rng: Random,
    result: LoadResult,
) -> None:
    next_s = anyio.current_time()
    end_s = next_s + seconds
    number = 0
    async with anyio.create_task_group() as tg:
        while True:
            next_s += rng.expovariate(item.rate)
            if next_s >= end_s:
                return
            await anyio.sleep_until(next_s)
            number += 1
            entry = entries[rng.randrange(len(entries))]
            request_id = f"{item.name}-{number}"
            tg.start_soon(_send_one, client, entry, item, request_id, next_s, result)


async def _send_one(
    client: LeanClient,
    entry: tuple[str, int],
    item: LoadClass,
    request_id: str,
    due_s: float,
    result: LoadResult,
) -> None:
    headers = {
        "host": item.host,
        "x-request-id": request_id,
        "x-tenant": item.tenant,
    }
    body = b"x" * item.body_bytes
    try:
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            res = await client.request(entry, item.method, item.path, headers, body)
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError) as exc:
        result.count(type(exc).__name__)
        return
    outcome = res.headers.get(b"berylmast-outcome", b"").decode()
    if outcome:
        result.count(outcome)
        if outcome == "not-run":
            result.not_run_ids.append(request_id)
        return
    if res.status >= 500:
        result.count(str(res.status))
        return
    result.answered += 1
    result.answered_ids.append(request_id)
    # Measured from the due time: a stalled load generator would otherwise hide delay
    # (coordinated omission).
    delay_us = int((anyio.current_time() - due_s) * 1_000_000)
    result.latencies_us.record_value(max(1, delay_us))

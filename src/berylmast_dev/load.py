"""Simulates callers: an open-loop load generator with results per traffic class."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import anyio
from hdrh.histogram import HdrHistogram

from .http_client import HttpClient

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

    def count_outcome(self, outcome: str) -> None:
        """Count a request that was not answered, by its outcome."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


async def run_load(
    entries: Sequence[tuple[str, int]],
    classes: Sequence[LoadClass],
    seconds: float,
    seed: int = 1,
) -> dict[str, LoadResult]:
    """Send each class at its rate to random entries and wait for the responses."""
    results = {load_class.name: LoadResult() for load_class in classes}
    client = HttpClient()
    async with anyio.create_task_group() as tg:
        for index, load_class in enumerate(classes):
            rng = Random(seed * 1000 + index)
            tg.start_soon(
                _send_class,
                client,
                entries,
                load_class,
                seconds,
                rng,
                results[load_class.name],
            )
    await client.aclose()
    return results


async def _send_class(
    client: HttpClient,
    entries: Sequence[tuple[str, int]],
    load_class: LoadClass,
    seconds: float,
    rng: Random,
    result: LoadResult,
) -> None:
    due_s = anyio.current_time()
    end_s = due_s + seconds
    number = 0
    async with anyio.create_task_group() as tg:
        while True:
            due_s += rng.expovariate(load_class.rate)
            if due_s >= end_s:
                return
            await anyio.sleep_until(due_s)
            number += 1
            entry = entries[rng.randrange(len(entries))]
            request_id = f"{load_class.name}-{number}"
            tg.start_soon(
                _send_one, client, entry, load_class, request_id, due_s, result
            )


async def _send_one(
    client: HttpClient,
    entry: tuple[str, int],
    load_class: LoadClass,
    request_id: str,
    due_s: float,
    result: LoadResult,
) -> None:
    headers = {
        "host": load_class.host,
        "x-request-id": request_id,
        "x-tenant": load_class.tenant,
    }
    body = b"x" * load_class.body_bytes
    try:
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            res = await client.request(
                entry, load_class.method, load_class.path, headers, body
            )
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError) as exc:
        result.count_outcome(type(exc).__name__)
        return
    outcome = res.headers.get(b"berylmast-outcome", b"").decode()
    if outcome:
        result.count_outcome(outcome)
        if outcome == "not-run":
            result.not_run_ids.append(request_id)
        return
    if res.status >= 500:
        result.count_outcome(str(res.status))
        return
    result.answered += 1
    result.answered_ids.append(request_id)
    # Measured from the due time: a stalled load generator would otherwise hide delay
    # (coordinated omission).
    latency_us = int((anyio.current_time() - due_s) * 1_000_000)
    result.latencies_us.record_value(max(1, latency_us))

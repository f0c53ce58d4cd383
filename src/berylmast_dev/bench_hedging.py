"""Compares rules for the delay of a second copy, on times with rare slow spells.

    PYTHONPATH=src python -m berylmast_dev.bench_hedging

Simulated: requests arrive at random at SERVERS servers with enough free slots. Times
are lognormal; each server is SPELL_SLOWDOWN times slower for SPELL_S, on average every
SPELL_GAP_S. A copy goes to another server, and the slower attempt is cancelled. The
daemon's own decisions are used, in each of ENTRIES entries for its requests. The extra
work is the time that servers spend on copies, as a share of all other time; a server
spends no more time on an attempt that is cancelled.
"""

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from berylmast.limits.hedging import (
    DelayRule,
    Hedging,
    LateRequest,
    choose_delay_by_budget,
    make_fixed_rule,
)

SERVERS = 12
ENTRIES = 8
RATE_PER_S = 120.0
DURATION_S = 600.0
MEDIAN_S = 0.02
SIGMA = 0.35
SPELL_S = 0.15
SPELL_SLOWDOWN = 5.0
SPELL_GAP_S = 10.0
DEADLINE_S = 2.0
EXTRA_RATIOS = (0.01, 0.02, 0.05, 0.1)
SEED = 1

_SERVICE = "s"
_ROUTE = "r"


def _make_rules() -> dict[str, DelayRule]:
    return {
        "none": lambda _times, _extra_ratio: None,
        "p95": make_fixed_rule(0.95),
        "p99": make_fixed_rule(0.99),
        "budget": choose_delay_by_budget,
    }


@dataclass
class _Result:
    """Times of all requests to the response head, and the work of the servers."""

    times_s: list[float] = field(default_factory=list)
    copies: int = 0
    copies_won: int = 0
    first_work_s: float = 0.0
    copy_work_s: float = 0.0

    def get_ms(self, quantile: float) -> float:
        """Return a quantile of the times in milliseconds."""
        ordered = sorted(self.times_s)
        return ordered[math.ceil(quantile * len(ordered)) - 1] * 1000


class _Servers:
    """Draws times; the spells of each server are drawn in advance."""

    def __init__(self, rng: Random) -> None:
        self._spells = [_draw_spells(rng) for _ in range(SERVERS)]

    def draw_time_s(self, server: int, started_s: float, rng: Random) -> float:
        """Return how long a server takes for a request that starts now."""
        work_s = MEDIAN_S * math.exp(rng.gauss(0, SIGMA))
        now_s = started_s
        for begin_s, end_s in self._spells[server]:
            if end_s <= now_s:
                continue
            if now_s < begin_s:
                if now_s + work_s <= begin_s:
                    break
                work_s -= begin_s - now_s
                now_s = begin_s
            slow_work_s = (end_s - now_s) / SPELL_SLOWDOWN
            if work_s <= slow_work_s:
                return now_s + work_s * SPELL_SLOWDOWN - started_s
            work_s -= slow_work_s
            now_s = end_s
        return now_s + work_s - started_s


def _draw_spells(rng: Random) -> list[tuple[float, float]]:
    spells = []
    now_s = rng.expovariate(1 / SPELL_GAP_S)
    while now_s < DURATION_S:
        spells.append((now_s, now_s + SPELL_S))
        now_s += SPELL_S + rng.expovariate(1 / SPELL_GAP_S)
    return spells


def _simulate(rule: DelayRule, extra_ratio: float) -> _Result:
    """Run all requests; the same seed gives every rule the same first attempts."""
    servers = _Servers(Random(SEED))
    arrivals, copies_rng = Random(SEED + 1), Random(SEED + 2)
    entries = [Hedging(extra_ratio, rule) for _ in range(ENTRIES)]
    result = _Result()
    # Events are (time, number, action); the number keeps their order unique.
    numbers = itertools.count()
    events: list[tuple[float, int, Callable[[float], None]]] = []

    def plan(time_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(events, (time_s, next(numbers), action))

    def arrive(now_s: float) -> None:
        if now_s < DURATION_S:
            plan(now_s + arrivals.expovariate(RATE_PER_S), arrive)
        server = arrivals.randrange(SERVERS)
        time_s = servers.draw_time_s(server, now_s, arrivals)
        hedging = arrivals.choice(entries)
        hedging.record_request(_SERVICE)
        delay_s = hedging.get_delay_s(_ROUTE, now_s)
        if delay_s is None or time_s <= delay_s:
            plan(now_s + time_s, lambda end_s: finish(hedging, end_s, time_s))
            return
        plan(
            now_s + delay_s, lambda late_s: copy(hedging, late_s, server, now_s, time_s)
        )

    def copy(
        hedging: Hedging, now_s: float, server: int, started_s: float, time_s: float
    ) -> None:
        age_s = now_s - started_s
        late = LateRequest(_SERVICE, _ROUTE, DEADLINE_S - age_s, None, 0.0)
        if hedging.find_unsent_reason(late, now_s) is not None:
            plan(started_s + time_s, lambda end_s: finish(hedging, end_s, time_s))
            return
        hedging.spend(_SERVICE)
        other = (server + copies_rng.randrange(1, SERVERS)) % SERVERS
        copy_s = servers.draw_time_s(other, now_s, copies_rng)
        won = age_s + copy_s < time_s
        shortest_s = min(age_s + copy_s, time_s)
        result.copies += 1
        result.copies_won += won
        result.copy_work_s += shortest_s - age_s
        plan(started_s + shortest_s, lambda end_s: finish(hedging, end_s, shortest_s))

    def finish(hedging: Hedging, now_s: float, time_s: float) -> None:
        result.times_s.append(time_s)
        result.first_work_s += time_s
        hedging.record_time(_ROUTE, time_s, now_s)

    plan(0.0, arrive)
    while events:
        time_s, _, action = heapq.heappop(events)
        action(time_s)
    return result


def main() -> None:
    """Print a table of all rules and ratios."""
    print("| ratio | rule | p50 ms | p99 ms | p99.9 ms | copies | won | extra work |")
    print("|---|---|---|---|---|---|---|---|")
    for extra_ratio in EXTRA_RATIOS:
        for name, rule in _make_rules().items():
            result = _simulate(rule, extra_ratio)
            times = " | ".join(f"{result.get_ms(q):.1f}" for q in (0.5, 0.99, 0.999))
            copies = result.copies / len(result.times_s)
            won = result.copies_won / max(1, result.copies)
            extra = result.copy_work_s / result.first_work_s
            print(
                f"| {extra_ratio:g} | {name} | {times} "
                f"| {copies:.2%} | {won:.0%} | {extra:.2%} |"
            )


if __name__ == "__main__":
    main()

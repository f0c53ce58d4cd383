"""Measures the latency that an entry and an owner daemon add to a call.

Runs the daemons as separate processes. Rounds of direct calls to the backend server
alternate with rounds through the daemons, so that changes in the load of the machine
affect both. The added latency is the difference of the two percentiles.
"""

import sys

import anyio
from cyclopts import App
from hdrh.histogram import HdrHistogram

from ._daemon_pair import BENCH_HOST, DaemonPair, run_daemon_pair
from .load import LoadClass, run_load

WARM_UP_S = 2.0
_MEAN_MS = 0.01

cli = App(name="bench_path", help=__doc__)


@cli.default
def run(*, rate: float = 270.0, seconds: float = 5.0, rounds: int = 4) -> None:
    """Run the benchmark; ``rate`` is in calls per second, ``seconds`` per round."""
    anyio.run(_run, rate, seconds, rounds, backend_options={"use_uvloop": True})


async def _run(rate: float, seconds: float, rounds: int) -> None:
    async with run_daemon_pair(mean_ms=_MEAN_MS) as pair:
        load_class = LoadClass("calls", BENCH_HOST, "GET", "/bench", rate)
        targets = {
            "direct": pair.owner.backend_address,
            "daemons": pair.entry.caller_address,
        }
        for target in targets.values():
            await run_load([target], [load_class], WARM_UP_S)
        latencies = {name: HdrHistogram(1, 60_000_000, 3) for name in targets}
        cpu_s = {"entry": 0.0, "owner": 0.0}
        failed = 0
        for seed in range(rounds):
            for name, target in targets.items():
                before = _read_cpu(pair)
                result = (await run_load([target], [load_class], seconds, seed))[
                    "calls"
                ]
                latencies[name].add(result.latencies_us)
                failed += sum(result.outcomes.values())
                if name == "daemons":
                    for role, used_s in _read_cpu(pair).items():
                        cpu_s[role] += used_s - before[role]
        _print_results(pair, latencies, cpu_s, failed)


def _read_cpu(pair: DaemonPair) -> dict[str, float]:
    return {
        "entry": pair.read_usage(pair.entry).cpu_s,
        "owner": pair.read_usage(pair.owner).cpu_s,
    }


def _print_results(
    pair: DaemonPair,
    latencies: dict[str, HdrHistogram],
    cpu_s: dict[str, float],
    failed: int,
) -> None:
    count = latencies["daemons"].get_total_count()
    print(f"{count} calls through the daemons, {failed} not answered")
    for percentile in (50, 99):
        direct, daemons = (
            latencies[name].get_value_at_percentile(percentile) / 1000
            for name in ("direct", "daemons")
        )
        print(
            f"p{percentile}: direct {direct:.2f} ms, through daemons {daemons:.2f} ms, "
            f"added {daemons - direct:.2f} ms"
        )
    for role, member in (("entry", pair.entry), ("owner", pair.owner)):
        usage = pair.read_usage(member)
        per_call_ms = cpu_s[role] / max(1, count) * 1000
        print(
            f"{role}: {per_call_ms:.2f} ms processor time per call, "
            f"{usage.resident_kib / 1024:.0f} MB resident"
        )
    sys.stdout.flush()


if __name__ == "__main__":
    cli()

"""Command line of the soak: ``python -m berylmast_dev.soak``."""

import signal
import sys
from pathlib import Path

import anyio
from cyclopts import App

from .run import Outcome, play_seed

cli = App(name="soak", help=__doc__)


@cli.default
def run(
    *, first: int = 1, count: int = 1, seconds: float = 12.0, keep: Path = Path("soak")
) -> None:
    """Play seeds one after the other; status 1 if one broke a promise."""
    # A soak that is told to end stops the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = [
        seed
        for seed in range(first, first + count)
        if not print_outcome(_play(seed, seconds, keep))
    ]
    if failed:
        sys.exit(f"seeds that failed: {', '.join(map(str, failed))}")


def _play(seed: int, seconds: float, keep: Path) -> Outcome:
    return anyio.run(
        play_seed, seed, seconds, keep, backend_options={"use_uvloop": True}
    )


def print_outcome(outcome: Outcome) -> bool:
    """Print what one seed showed; True if all promises were kept."""
    statuses = dict(sorted(outcome.statuses.items()))
    print(f"seed {outcome.seed}: {len(outcome.faults)} faults, answers {statuses}")
    for violation in outcome.violations:
        print(f"  {violation.promise}: {violation.subject}: {violation.detail}")
    for error in outcome.errors:
        print(f"  process: {error}")
    if outcome.folder is None:
        return True
    for fault in outcome.faults:
        where = f"{fault.member} {fault.link} {fault.how}"
        print(f"  {fault.at_s:6.2f} {fault.for_s:5.2f} {fault.kind} {where}")
    print(f"  logs: {outcome.folder}", flush=True)
    return False


if __name__ == "__main__":
    cli()

"""Command line of the soak: ``python -m berylmast_dev.soak``."""

import signal
import sys
from pathlib import Path

import anyio
from cyclopts import App

from .cases import Case, draw_case, list_regressions, load_case
from .run import Outcome, play_case

cli = App(name="soak", help=__doc__)


@cli.default
def run(
    *,
    first: int = 1,
    count: int = 1,
    seconds: float = 12.0,
    replay: tuple[Path, ...] = (),
    regressions: bool = False,
    keep: Path = Path("soak"),
) -> None:
    """Play seeds, or kept cases, one after the other; status 1 if a promise broke.

    ``replay`` names files of kept cases; ``regressions`` plays all that failed once.
    """
    paths = [*replay, *(list_regressions() if regressions else [])]
    seeds = () if paths else range(first, first + count)
    cases = [load_case(path) for path in paths]
    cases += [draw_case(seed, seconds) for seed in seeds]
    failed = [case for case in cases if not print_outcome(_play(case, keep))]
    if failed:
        sys.exit(f"{len(failed)} of {len(cases)} cases failed")


def _play(case: Case, keep: Path) -> Outcome:
    outcome = anyio.run(
        _play_until_signal, case, keep, backend_options={"use_uvloop": True}
    )
    if outcome is None:
        sys.exit("stopped by a signal")
    return outcome


async def _play_until_signal(case: Case, keep: Path) -> Outcome | None:
    """Play a case; None if a signal ends it, after its processes were stopped."""
    outcome = None

    async def wait_signal() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(wait_signal)
        outcome = await play_case(case, keep)
        tg.cancel_scope.cancel()
    return outcome


def print_outcome(outcome: Outcome) -> bool:
    """Print what one case showed; True if all promises were kept."""
    case, statuses = outcome.case, dict(sorted(outcome.statuses.items()))
    print(f"seed {case.seed}: {len(case.faults)} faults, answers {statuses}")
    for violation in outcome.violations:
        print(f"  {violation.promise}: {violation.subject}: {violation.detail}")
    for error in outcome.errors:
        print(f"  process: {error}")
    if outcome.folder is not None:
        print(f"  faults and logs: {outcome.folder}", flush=True)
    return outcome.folder is None


if __name__ == "__main__":
    cli()

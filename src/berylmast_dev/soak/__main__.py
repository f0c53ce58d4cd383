"""Command line of the soak test: ``python -m berylmast_dev.soak``."""

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
    """Run cases one after the other; exit status 1 if an invariant was violated.

    Cases come from ``count`` seeds beginning with ``first``. ``replay`` names files of
    saved cases and ``regressions`` selects all that failed before; either replaces the
    seeds. ``keep`` is the folder for the faults and logs of failed cases.
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
        sys.exit("interrupted by a signal")
    return outcome


async def _play_until_signal(case: Case, keep: Path) -> Outcome | None:
    """Run a case; None if a signal interrupted it. Its processes are stopped first."""
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
    """Print the result of one case; True if it passed."""
    case, statuses = outcome.case, dict(sorted(outcome.statuses.items()))
    print(f"seed {case.seed}: {len(case.faults)} faults, responses {statuses}")
    for violation in outcome.violations:
        print(f"  {violation.promise}: {violation.subject}: {violation.detail}")
    for error in outcome.errors:
        print(f"  process: {error}")
    if outcome.folder is not None:
        print(f"  faults and logs saved in {outcome.folder}", flush=True)
    return outcome.folder is None


if __name__ == "__main__":
    cli()

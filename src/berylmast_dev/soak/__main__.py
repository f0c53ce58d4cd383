"""Command line of the soak test: ``python -m berylmast_dev.soak``."""

import signal
import sys
from pathlib import Path

import anyio
from cyclopts import App

from .cases import Case, generate_case, list_regressions, load_case
from .runner import CaseResult, run_case

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
    cases += [generate_case(seed, seconds) for seed in seeds]
    failed = [case for case in cases if not print_result(_run_or_exit(case, keep))]
    if failed:
        sys.exit(f"{len(failed)} of {len(cases)} cases failed")


def _run_or_exit(case: Case, keep: Path) -> CaseResult:
    result = anyio.run(
        _run_until_signal, case, keep, backend_options={"use_uvloop": True}
    )
    if result is None:
        sys.exit("interrupted by a signal")
    return result


async def _run_until_signal(case: Case, keep: Path) -> CaseResult | None:
    """Run a case; None if a signal interrupted it. Its processes are stopped first."""
    result = None

    async def wait_signal() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                tg.cancel_scope.cancel()

    async with anyio.create_task_group() as tg:
        tg.start_soon(wait_signal)
        result = await run_case(case, keep)
        tg.cancel_scope.cancel()
    return result


def print_result(result: CaseResult) -> bool:
    """Print the result of one case; True if it passed."""
    case, statuses = result.case, dict(sorted(result.statuses.items()))
    print(f"seed {case.seed}: {len(case.faults)} faults, responses {statuses}")
    for violation in result.violations:
        print(f"  {violation.invariant}: {violation.subject}: {violation.detail}")
    for error in result.errors:
        print(f"  process: {error}")
    if result.folder is not None:
        print(f"  faults and logs saved in {result.folder}", flush=True)
    return result.folder is None


if __name__ == "__main__":
    cli()

"""Runs the soak test briefly, with one generated case and one that failed before."""

from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import pytest

from ..cases import (
    REGRESSIONS_FOLDER,
    Case,
    generate_case,
    list_regressions,
    load_case,
    save_case,
)
from ..fault_schedule import VARIANTS, Fault, FaultKind, generate_faults
from ..runner import run_case

pytestmark = pytest.mark.anyio

SECONDS = 4.0
# Low enough for CI machines with few cores; the command line sends more.
ENTRY_RATE_PER_S = 5.0


@pytest.fixture
def anyio_backend(real_clock: Any) -> Any:
    return real_clock


def test_seed_determines_the_faults() -> None:
    """Guards against seeds that cannot be replayed after a failure."""
    assert generate_faults(7, 6, 12.0) == generate_faults(7, 6, 12.0)
    assert generate_faults(7, 6, 12.0) != generate_faults(8, 6, 12.0)


def test_saved_case_is_loaded_unchanged(tmp_path: Path) -> None:
    """Guards against saved cases that change when the generator does."""
    case = generate_case(7, SECONDS)
    path = tmp_path / "case.json"
    anyio.run(save_case, case, path)
    assert load_case(path) == case


@pytest.mark.parametrize("path", list_regressions(), ids=lambda path: path.stem)
def test_saved_cases_name_their_cause(path: Path) -> None:
    """Guards against saved cases without the cause of their failure."""
    assert load_case(path).cause


@pytest.mark.parametrize(
    "case",
    [generate_case(1, SECONDS), load_case(REGRESSIONS_FOLDER / "seed-2.json")],
    ids=["seed-1", "cut-body"],
)
async def test_invariants_hold_under_random_faults(case: Case, tmp_path: Path) -> None:
    result = await run_case(replace(case, rate=ENTRY_RATE_PER_S), tmp_path)
    assert result.violations == []
    assert result.errors == []
    assert result.statuses[200] > 50


def make_case_of_another_writer(*, kill_all_s: float) -> Case:
    """Return a case with each message of another writer, and a kill of all daemons."""
    messages = VARIANTS[FaultKind.OTHER_WRITER]
    faults = [
        Fault(0.4 * number, 0.5, FaultKind.OTHER_WRITER, number % 6, "reports", how)
        for number, how in enumerate([*messages, *messages])
    ]
    faults.append(Fault(kill_all_s, 0.5, FaultKind.DAEMONS_KILL, 0, "peers", ""))
    return Case(1, 8.0, sorted(faults, key=lambda fault: fault.at_s))


@pytest.mark.parametrize("kill_all_s", [1.7, 7.5], ids=["between", "after"])
async def test_another_writer_ends_no_daemon_and_displaces_no_server(
    kill_all_s: float, tmp_path: Path
) -> None:
    """Daemons ended, or knew only themselves, or sent requests to a server's rival."""
    result = await run_case(
        make_case_of_another_writer(kill_all_s=kill_all_s), tmp_path
    )
    assert result.violations == []
    assert result.errors == []
    assert result.statuses[200] > 500

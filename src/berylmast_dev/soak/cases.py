"""Test cases: generated from a seed, or saved from a run that failed."""

from dataclasses import dataclass
from pathlib import Path

import anyio
from pydantic import TypeAdapter

from .configuration_writer import SERVICES
from .fault_schedule import Fault, generate_faults
from .soak_fleet import FAILURE_DOMAINS

REGRESSIONS_FOLDER = Path(__file__).parent / "regressions"
ENTRY_RATE_PER_S = 12.0
INSTANCE_COUNT = len(SERVICES) * len(FAILURE_DOMAINS)


@dataclass(frozen=True, slots=True)
class Case:
    """One run: ``seed`` determines the traffic, faults begin within ``seconds``.

    ``rate`` is in requests per second for each entry. ``cause`` says why a saved case
    failed; it is empty for a new one.
    """

    seed: int
    seconds: float
    faults: list[Fault]
    cause: str = ""
    rate: float = ENTRY_RATE_PER_S


_CASE = TypeAdapter(Case)


def generate_case(seed: int, seconds: float) -> Case:
    """Return the case of a seed."""
    return Case(seed, seconds, generate_faults(seed, INSTANCE_COUNT, seconds))


def load_case(path: Path) -> Case:
    """Load a saved case; raises pydantic.ValidationError if it is invalid."""
    return _CASE.validate_json(path.read_bytes())


async def save_case(case: Case, path: Path) -> None:
    """Save a case with its faults.

    The seed alone is not enough: a change of the generator changes its faults.
    """
    await anyio.Path(path).write_bytes(_CASE.dump_json(case, indent=2))


def list_regressions() -> list[Path]:
    """Return the paths of the saved cases that failed before."""
    return sorted(REGRESSIONS_FOLDER.glob("*.json"))

"""Faults to play: drawn from a seed, or those of a run that failed once."""

from dataclasses import dataclass
from pathlib import Path

import anyio
from pydantic import TypeAdapter

from .configurations import SERVICES
from .layout import ZONES
from .schedule import Fault, draw_faults

REGRESSIONS = Path(__file__).parent / "regressions"
RATE_PER_ENTRY = 12.0
INSTANCES = len(SERVICES) * len(ZONES)


@dataclass(frozen=True, slots=True)
class Case:
    """One run: ``seed`` decides the traffic, ``seconds`` how long faults strike.

    ``rate`` is in requests a second for each entry. ``cause`` tells what a case that
    failed has shown; empty for a new one.
    """

    seed: int
    seconds: float
    faults: list[Fault]
    cause: str = ""
    rate: float = RATE_PER_ENTRY


_CASE = TypeAdapter(Case)


def draw_case(seed: int, seconds: float) -> Case:
    """Draw the faults of a seed."""
    return Case(seed, seconds, draw_faults(seed, INSTANCES, seconds))


def load_case(path: Path) -> Case:
    """Load a case that was kept; raises pydantic.ValidationError if unusable."""
    return _CASE.validate_json(path.read_bytes())


async def save_case(case: Case, path: Path) -> None:
    """Keep a case, so that a later draw from its seed does not change it."""
    await anyio.Path(path).write_bytes(_CASE.dump_json(case, indent=2))


def list_regressions() -> list[Path]:
    """Return the cases that failed once."""
    return sorted(REGRESSIONS.glob("*.json"))

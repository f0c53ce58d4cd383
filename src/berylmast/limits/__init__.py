"""Admission at the owner, shedding and retry budget at the entry."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..model import ServiceSlice
from .admission import Admission, AdmissionController, Permit
from .retry_budget import RetryBudget
from .shedder import EntryShedder, NoShedder, Shedder
from .slots import Meter, SlotAdmission

MakeAdmission = Callable[
    [str, int, Callable[[], ServiceSlice | None], Meter, Callable[[], float]],
    Admission,
]


@dataclass(frozen=True, slots=True)
class Limits:
    """What a daemon limits with; benchmarks replace it by baselines.

    ``admission`` takes the daemon's id and incarnation, a getter of the slice, the
    meter of the backend server's load and a getter of how much other backend servers
    usually slow down when they are nearly full.
    """

    admission: MakeAdmission = lambda name, incarnation, get_slice, _meter, _usual: (
        AdmissionController(name, incarnation, get_slice)
    )
    shedder: Callable[[Random], Shedder] = EntryShedder


DEFAULT_LIMITS = Limits()

SLOT_LIMITS = Limits(
    lambda name, incarnation, get_slice, meter, usual: SlotAdmission(
        name, incarnation, get_slice, meter, get_usual_slowdown=usual
    ),
    lambda _rng: NoShedder(),
)
"""For backend servers that report their slots: each owner knows exactly what fits."""

__all__ = [
    "DEFAULT_LIMITS",
    "SLOT_LIMITS",
    "Admission",
    "AdmissionController",
    "EntryShedder",
    "Limits",
    "NoShedder",
    "Permit",
    "RetryBudget",
    "Shedder",
    "SlotAdmission",
]

"""Overload protection: admission control, load shedding and retry budgets.

The owner is the daemon beside a backend server; it admits requests to that server. The
entry is the daemon that accepts a caller's request; it sheds load and limits retries.
"""

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
    """Factories of a daemon's overload protection; benchmarks pass baselines instead.

    ``admission`` takes the daemon's id and incarnation, a getter of the service slice,
    the slowdown meter of the backend server, and a getter of the slowdown factor that
    other backend servers of the service typically have near their full slots.
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
"""For backend servers that report their slots.

The entry sheds nothing, because each owner knows the exact capacity of its server.
"""

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

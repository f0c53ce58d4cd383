"""Overload protection: admission control, load shedding and retry budgets.

The owner is the daemon beside a backend server; it admits requests to that server. The
entry is the daemon that accepts a caller's request; it sheds load and limits retries.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..model import ServiceSlice
from .admission import AdaptiveAdmission, Admission, Permit
from .retry_budget import RetryBudget
from .shedder import AdaptiveShedder, NoShedder, Shedder
from .slot_admission import SlotAdmission, SlowdownMeter

AdmissionFactory = Callable[
    [str, int, Callable[[], ServiceSlice | None], SlowdownMeter, Callable[[], float]],
    Admission,
]


@dataclass(frozen=True, slots=True)
class Limits:
    """Factories of a daemon's overload protection; benchmarks pass baselines instead.

    ``make_admission`` takes the daemon's id and incarnation, a getter of the service
    slice, the slowdown meter of the backend server, and a getter of the slowdown that
    other backend servers usually have while they are nearly full.
    """

    make_admission: AdmissionFactory = (
        lambda daemon_id, incarnation, get_slice, _meter, _get_median_full_slowdown: (
            AdaptiveAdmission(daemon_id, incarnation, get_slice)
        )
    )
    make_shedder: Callable[[Random], Shedder] = AdaptiveShedder


ADAPTIVE_LIMITS = Limits()

SLOT_LIMITS = Limits(
    lambda daemon_id, incarnation, get_slice, meter, get_median_full_slowdown: (
        SlotAdmission(
            daemon_id,
            incarnation,
            get_slice,
            meter,
            get_median_full_slowdown=get_median_full_slowdown,
        )
    ),
    lambda _rng: NoShedder(),
)
"""For backend servers that report their slots.

The entry sheds nothing, because each owner knows the exact capacity of its server.
"""

__all__ = [
    "ADAPTIVE_LIMITS",
    "SLOT_LIMITS",
    "AdaptiveAdmission",
    "AdaptiveShedder",
    "Admission",
    "Limits",
    "NoShedder",
    "Permit",
    "RetryBudget",
    "Shedder",
    "SlotAdmission",
]

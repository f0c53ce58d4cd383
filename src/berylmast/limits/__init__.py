"""Overload protection: admission control, load shedding and retry budgets.

The owner is the daemon beside a backend server; it admits requests to that server. The
entry is the daemon that accepts a caller's request; it sheds load and limits retries.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..model import ServiceSlice
from .admission import AdaptiveAdmission, Admission, Permit
from .backend_notices import BackendNotices
from .cold_limit import ColdLimit
from .retry_budget import RetryBudget
from .shedder import AdaptiveShedder, NoShedder, Shedder
from .slot_admission import SlotAdmission
from .slowdown_meter import SlowdownMeter


@dataclass(frozen=True, slots=True)
class AdmissionInputs:
    """What admission control knows of the daemon and its backend server.

    ``get_slice`` returns the service slice, None while there is none. ``meter`` and
    ``notices`` hold what the backend server states about itself.
    ``get_median_full_slowdown`` returns the slowdown that other backend servers usually
    have while they are nearly full. ``cold_limit`` bounds the requests to a cold
    server, None without such a bound.
    """

    daemon_id: str
    incarnation: int
    get_slice: Callable[[], ServiceSlice | None]
    meter: SlowdownMeter
    get_median_full_slowdown: Callable[[], float]
    notices: BackendNotices
    cold_limit: ColdLimit | None = None


AdmissionFactory = Callable[[AdmissionInputs], Admission]


def make_adaptive_admission(inputs: AdmissionInputs) -> Admission:
    """Return admission control for backend servers that state nothing."""
    return AdaptiveAdmission(inputs.daemon_id, inputs.incarnation, inputs.get_slice)


def make_slot_admission(inputs: AdmissionInputs) -> Admission:
    """Return admission control for backend servers that report their slots."""
    return SlotAdmission(
        inputs.daemon_id,
        inputs.incarnation,
        inputs.get_slice,
        inputs.meter,
        get_median_full_slowdown=inputs.get_median_full_slowdown,
        notices=inputs.notices,
        cold_limit=inputs.cold_limit,
    )


@dataclass(frozen=True, slots=True)
class Limits:
    """Factories of a daemon's overload protection; benchmarks pass baselines."""

    make_admission: AdmissionFactory = make_adaptive_admission
    make_shedder: Callable[[Random], Shedder] = AdaptiveShedder


ADAPTIVE_LIMITS = Limits()

SLOT_LIMITS = Limits(make_slot_admission, lambda _rng: NoShedder())
"""For backend servers that report their slots.

The entry sheds nothing, because each owner knows the exact capacity of its server.
"""

__all__ = [
    "ADAPTIVE_LIMITS",
    "SLOT_LIMITS",
    "AdaptiveAdmission",
    "AdaptiveShedder",
    "Admission",
    "AdmissionInputs",
    "BackendNotices",
    "ColdLimit",
    "Limits",
    "NoShedder",
    "Permit",
    "RetryBudget",
    "Shedder",
    "SlotAdmission",
]

"""Admission at the owner, shedding and retry budget at the entry."""

from dataclasses import dataclass

from .admission import Admission, AdmissionController, Permit
from .retry_budget import RetryBudget
from .shedder import EntryShedder


@dataclass(frozen=True, slots=True)
class Limits:
    """The classes that a daemon limits with; benchmarks replace them by baselines."""

    admission: type[AdmissionController] = AdmissionController
    shedder: type[EntryShedder] = EntryShedder


DEFAULT_LIMITS = Limits()

__all__ = [
    "DEFAULT_LIMITS",
    "Admission",
    "AdmissionController",
    "EntryShedder",
    "Limits",
    "Permit",
    "RetryBudget",
]

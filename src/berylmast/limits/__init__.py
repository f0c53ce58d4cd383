"""Admission at the owner, shedding and retry budget at the entry."""

from .admission import AdmissionController, Permit
from .retry_budget import RetryBudget

__all__ = ["AdmissionController", "Permit", "RetryBudget"]

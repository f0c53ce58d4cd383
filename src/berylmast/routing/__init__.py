"""Backend server selection: policies, load estimates, locality, probes and budgets."""

from .eligibility import Eligibility
from .policies import POLICIES, Candidate, Policy
from .probes import ProbeBudget, Prober
from .router import Router

__all__ = [
    "POLICIES",
    "Candidate",
    "Eligibility",
    "Policy",
    "ProbeBudget",
    "Prober",
    "Router",
]

"""Backend server selection: policies, load estimates, locality, probes and budgets."""

from .policies import POLICIES, Candidate, Policy
from .probes import ProbeBudget, Prober
from .router import Router

__all__ = ["POLICIES", "Candidate", "Policy", "ProbeBudget", "Prober", "Router"]

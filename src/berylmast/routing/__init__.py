"""Choosing a backend server: policies, load table, locality."""

from .policies import POLICIES, Candidate, Policy
from .router import Router

__all__ = ["POLICIES", "Candidate", "Policy", "Router"]

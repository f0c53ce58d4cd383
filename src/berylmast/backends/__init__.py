"""The owner of the local backend server: attempt ledger, admission, dispatch."""

from .ledger import AttemptLedger, AttemptState
from .owner import Owner

__all__ = ["AttemptLedger", "AttemptState", "Owner"]

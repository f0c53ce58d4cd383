"""The owner of the local backend server: attempt ledger, admission, dispatch."""

from .keys import KeyLedger
from .ledger import AttemptLedger
from .owner import Owner

__all__ = ["AttemptLedger", "KeyLedger", "Owner"]

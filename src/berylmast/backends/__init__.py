"""The daemon's side towards its local backend server.

The *entry* of a request is the daemon that received it from the caller. The *owner* of
a backend server is the daemon beside it, and the only one that sends it requests. The
owner deduplicates attempts, applies admission control and dispatches requests.
"""

from .idempotency_keys import IdempotencyKeyLedger
from .ledger import AttemptLedger
from .owner import Owner

__all__ = ["AttemptLedger", "IdempotencyKeyLedger", "Owner"]

"""The adapter to the platform: its names, formats and calls, and no decisions.

The protocol of the users' machines is loaded from ``adapter`` by its own module name,
so that a daemon imports only what it speaks.
"""

from .objects import (
    Changes,
    Conflict,
    Listing,
    ObjectChange,
    ObjectStore,
    PlatformUnavailable,
    StoredObject,
    VersionTooOld,
)
from .store import StoreClient

__all__ = [
    "Changes",
    "Conflict",
    "Listing",
    "ObjectChange",
    "ObjectStore",
    "PlatformUnavailable",
    "StoreClient",
    "StoredObject",
    "VersionTooOld",
]

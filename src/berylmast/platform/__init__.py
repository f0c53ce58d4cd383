"""Adapter to the platform: its names, formats and calls, without any policy.

``adapter`` is not imported here. A daemon loads it by module name, and only if its
settings select the platform's protocol.
"""

from .objects import (
    Changes,
    Conflict,
    Listing,
    ObjectChange,
    ObjectStore,
    PlatformUnavailable,
    RevisionExpired,
    StoredObject,
)
from .store_client import StoreClient

__all__ = [
    "Changes",
    "Conflict",
    "Listing",
    "ObjectChange",
    "ObjectStore",
    "PlatformUnavailable",
    "RevisionExpired",
    "StoreClient",
    "StoredObject",
]

"""The platform's object API: versions, conditional updates, watches."""

from .client import PlatformClient
from .confirm import PutFailure, PutFault, put_confirmed
from .follow import follow_objects
from .objects import (
    Conflict,
    EventType,
    Listing,
    Metadata,
    Platform,
    PlatformObject,
    PlatformUnavailable,
    VersionTooOld,
    WatchEvent,
)

__all__ = [
    "Conflict",
    "EventType",
    "Listing",
    "Metadata",
    "Platform",
    "PlatformClient",
    "PlatformObject",
    "PlatformUnavailable",
    "PutFailure",
    "PutFault",
    "VersionTooOld",
    "WatchEvent",
    "follow_objects",
    "put_confirmed",
]

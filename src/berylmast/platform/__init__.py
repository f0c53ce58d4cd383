"""The platform's object API: versions, conditional updates, watches."""

from .client import Conflict, PlatformClient, PlatformObject, PlatformUnavailable

__all__ = ["Conflict", "PlatformClient", "PlatformObject", "PlatformUnavailable"]

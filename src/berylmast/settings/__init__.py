"""The settings of one daemon: JSON with comments, checked when loaded."""

from ._load import SettingsError, load_settings
from ._models import (
    Address,
    DaemonSettings,
    DrainSettings,
    HealthSettings,
    LimitSettings,
)

__all__ = [
    "Address",
    "DaemonSettings",
    "DrainSettings",
    "HealthSettings",
    "LimitSettings",
    "SettingsError",
    "load_settings",
]

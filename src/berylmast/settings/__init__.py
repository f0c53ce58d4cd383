"""Settings of one daemon: a JSON file with comments, validated when loaded."""

from ._live import LiveSettings
from ._load import SettingsError, load_settings
from ._models import (
    Address,
    DaemonSettings,
    DrainSettings,
    HealthSettings,
    Interface,
    LimitSettings,
    RetrySettings,
)
from ._units import Seconds, parse_seconds

__all__ = [
    "Address",
    "DaemonSettings",
    "DrainSettings",
    "HealthSettings",
    "Interface",
    "LimitSettings",
    "LiveSettings",
    "RetrySettings",
    "Seconds",
    "SettingsError",
    "load_settings",
    "parse_seconds",
]

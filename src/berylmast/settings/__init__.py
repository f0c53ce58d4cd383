"""Settings of one daemon: a JSON file with comments, validated when loaded."""

from ._live import LiveSettings
from ._load import SettingsError, load_settings
from ._models import (
    Address,
    ColdServerSettings,
    DaemonSettings,
    DrainSettings,
    EvacuationSettings,
    HealthSettings,
    HedgingSettings,
    Interface,
    KeyRevocationSettings,
    LimitSettings,
    QuotaSettings,
    RetrySettings,
)
from ._units import Seconds, parse_seconds

__all__ = [
    "Address",
    "ColdServerSettings",
    "DaemonSettings",
    "DrainSettings",
    "EvacuationSettings",
    "HealthSettings",
    "HedgingSettings",
    "Interface",
    "KeyRevocationSettings",
    "LimitSettings",
    "LiveSettings",
    "QuotaSettings",
    "RetrySettings",
    "Seconds",
    "SettingsError",
    "load_settings",
    "parse_seconds",
]

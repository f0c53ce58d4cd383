"""Loads a settings file and reports every validation error with path and value."""

import os
from pathlib import Path

from pydantic import ValidationError

from .._jsonc import JsoncError, decode_jsonc, format_validation_errors
from ._models import DaemonSettings

ADDITIONAL_SETTINGS_VARIABLE = "BERYLMAST_ADDITIONAL_SETTINGS"
"""Environment variable with further settings, as JSON with comments. A deployment sets
in it what not every deployment has; the settings file takes precedence."""


class SettingsError(Exception):
    """The settings file is invalid; the message has one line per error."""


def load_settings(path: Path) -> DaemonSettings:
    """Read and validate a settings file.

    Raises SettingsError with one line per error.
    """
    try:
        additional = decode_jsonc(os.environ.get(ADDITIONAL_SETTINGS_VARIABLE, "{}"))
        values = decode_jsonc(path.read_text())
        if isinstance(additional, dict) and isinstance(values, dict):
            values = {**additional, **values}
        return DaemonSettings.model_validate(values)
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"cannot read {path}: {exc}") from exc
    except JsoncError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    except ValidationError as exc:
        errors = format_validation_errors(DaemonSettings, exc)
        raise SettingsError("\n".join(f"{path}: {line}" for line in errors)) from exc

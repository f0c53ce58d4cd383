"""Reads a settings file and reports every fault with its path and value."""

from pathlib import Path

import pyjson5
from pydantic import ValidationError

from ._models import DaemonSettings


class SettingsError(Exception):
    """The settings file can't be used; the message names each fault."""


def load_settings(path: Path) -> DaemonSettings:
    """Read and check one settings file.

    Raises SettingsError with one line per fault.
    """
    try:
        data = pyjson5.decode(path.read_text())
    except OSError as exc:
        raise SettingsError(f"cannot read {path}: {exc.strerror}") from exc
    except pyjson5.Json5DecoderException as exc:
        raise SettingsError(f"{path} is not valid JSON with comments: {exc}") from exc
    try:
        return DaemonSettings.model_validate(data)
    except ValidationError as exc:
        lines = [
            f"{path}: {'.'.join(str(part) for part in fault['loc'])}: "
            f"{fault['msg']} (got {fault['input']!r})"
            for fault in exc.errors()
        ]
        raise SettingsError("\n".join(lines)) from exc

"""Log lines: one event a line, as key=value pairs."""

import logging
import re
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_logger = logging.getLogger("berylmast")
_PLAIN = re.compile(r"[A-Za-z0-9_.:,/+-]+")
"""Values that are written as they are; the check by character is much slower."""


class KeyValueFormatter(BaseJsonFormatter):
    """Collects fields as the library does and writes them as key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return one line; values with spaces, quotes or "=" are quoted."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


def _quote(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if _PLAIN.fullmatch(text):
        return text
    if text and not any(c in ' "=\\' or not c.isprintable() for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    printable = "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode() for c in escaped
    )
    return f'"{printable}"'


def configure_logs(level: int = logging.INFO) -> None:
    """Send the events of this process to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(
        KeyValueFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "message": "event",
            },
        )
    )
    _logger.handlers = [handler]
    _logger.setLevel(level)
    _logger.propagate = False


def log_event(event: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Write one event with its fields."""
    # Logger.log walks the stack for the caller's file and line, which no line shows.
    if _logger.isEnabledFor(level):
        _logger.handle(
            _logger.makeRecord(
                _logger.name, level, "", 0, event, (), None, extra=fields
            )
        )

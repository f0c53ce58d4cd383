"""Log lines: one event a line, as key=value pairs, bounded in number.

Lines are written by a thread from a bounded queue: a reader that stops reading must not
stop the daemon. Events that come in numbers have a rate of their own, so that a flood
of ordinary ones leaves room for those that explain a failure; what is left out is
counted in a line of its own.
"""

import logging
import queue
import re
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from logging.handlers import QueueHandler, QueueListener
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_logger = logging.getLogger("berylmast")
_PLAIN = re.compile(r"[A-Za-z0-9_.:,/+-]+")
"""Values that are written as they are; the check by character is much slower."""


MAX_QUEUED = 5_000
"""Lines that wait for the reader of standard output; further ones are dropped."""


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


class BoundedHandler(QueueHandler):
    """Hands records of this process to the writing thread; drops what does not fit."""

    def __init__(self, records: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(records)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is: the thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


def configure_logs(level: int = logging.INFO) -> Callable[[], None]:
    """Send the events of this process to standard output.

    Returns the function that writes what is queued and stops the writing thread.
    """
    handler = logging.StreamHandler(sys.stdout)
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
    records: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED)
    bounded = BoundedHandler(records)
    listener = QueueListener(records, handler)
    listener.start()
    _logger.handlers = [bounded]
    _logger.setLevel(level)
    _logger.propagate = False

    def stop() -> None:
        if bounded.dropped:
            log_event("log_dropped", count=bounded.dropped)
        listener.stop()

    return stop


def log_event(event: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Write one event with its fields."""
    # Logger.log walks the stack for the caller's file and line, which no line shows.
    if _logger.isEnabledFor(level):
        _logger.handle(
            _logger.makeRecord(
                _logger.name, level, "", 0, event, (), None, extra=fields
            )
        )


@dataclass(slots=True)
class _Rate:
    tokens: float
    refilled_s: float
    left_out: int = 0


class EventRates:
    """Writes at most ``per_s`` lines a second of each key, and counts the others.

    ``clock`` gives seconds that never go back.
    """

    def __init__(
        self, per_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._per_s = per_s
        self._clock = clock
        self._rates: dict[str, _Rate] = {}

    def write(self, key: str, event: str, **fields: object) -> None:
        """Write an event unless its key has used up its lines."""
        now_s = self._clock()
        rate = self._rates.get(key)
        if rate is None:
            rate = self._rates[key] = _Rate(self._per_s, now_s)
        earned = (now_s - rate.refilled_s) * self._per_s
        rate.tokens = min(self._per_s, rate.tokens + earned)
        rate.refilled_s = now_s
        if rate.tokens < 1:
            rate.left_out += 1
            return
        rate.tokens -= 1
        if rate.left_out:
            log_event("left_out", of=event, key=key, count=rate.left_out)
            rate.left_out = 0
        log_event(event, level=logging.INFO, **fields)

"""Structured logs: one event per line as key=value pairs, with rate limits.

A thread writes the lines from a bounded queue, so that a blocked reader of standard
output can't block the daemon. Frequent events are rate-limited by key, so that many
routine events don't suppress those that explain a failure. The next event logged for a
key is preceded by the count of the suppressed ones.
"""

import logging
import queue
import re
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from logging.handlers import QueueHandler, QueueListener
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

_logger = logging.getLogger("berylmast")
_NEEDS_NO_QUOTES = re.compile(r"[A-Za-z0-9_.:,/+-]+")
"""Values that need no quoting; a fast path, as checking each character is slower."""


_RESERVED_NAMES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
"""Attributes of a log record that ``extra`` must not set."""

MAX_QUEUED_LINES = 5_000
"""Maximum number of queued lines; lines beyond it are dropped."""


class KeyValueFormatter(BaseJsonFormatter):
    """Collects the record's fields as the base class does; writes key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return one line; values with spaces, quotes, backslashes or = are quoted."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


def _quote(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if _NEEDS_NO_QUOTES.fullmatch(text):
        return text
    if text and not any(c in ' "=\\' or not c.isprintable() for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    printable = "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode() for c in escaped
    )
    return f'"{printable}"'


def escape_text(text: str, max_length: int) -> str:
    """Return a text of another program as ASCII of at most ``max_length`` characters.

    Lone surrogates in it would make a log line that can't be written.
    """
    return text[:max_length].encode("ascii", "backslashreplace").decode()[:max_length]


class BoundedHandler(QueueHandler):
    """Queues records for the writer thread; drops them while the queue is full."""

    def __init__(self, records: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(records)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged, since the writer thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it if the queue is full."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


def configure_logs(level: int = logging.INFO) -> Callable[[], None]:
    """Log the events of this process to standard output.

    Returns a function that flushes the queue and stops the writer thread.
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
    records: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    queue_handler = BoundedHandler(records)
    listener = QueueListener(records, handler)
    listener.start()
    _logger.handlers = [queue_handler]
    _logger.setLevel(level)
    _logger.propagate = False

    def stop() -> None:
        if queue_handler.dropped:
            log_event("log_dropped", count=queue_handler.dropped)
        listener.stop()

    return stop


_event_counts: Counter[str] = Counter()


def get_event_count(event: str) -> int:
    """Return how often an event was logged by this process, written or not."""
    return _event_counts[event]


def log_event(event: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log one event with its fields.

    A field whose name the logging library reserves gets a trailing underscore.
    """
    _event_counts[event] += 1
    # Logger.log would walk the stack for the caller's file and line, which are not
    # logged.
    if _logger.isEnabledFor(level):
        extra = {
            f"{name}_" if name in _RESERVED_NAMES else name: value
            for name, value in fields.items()
        }
        _logger.handle(
            _logger.makeRecord(_logger.name, level, "", 0, event, (), None, extra=extra)
        )


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    refilled_s: float
    left_out: int = 0


class EventRateLimiter:
    """Logs at most ``per_s`` events per second and key; counts suppressed events.

    ``clock`` returns monotonic seconds.
    """

    def __init__(
        self, per_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._per_s = per_s
        self._clock = clock
        self._buckets: dict[str, _TokenBucket] = {}

    def write(self, key: str, event: str, **fields: object) -> None:
        """Log an event unless its key has exceeded its rate."""
        now_s = self._clock()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _TokenBucket(self._per_s, now_s)
        refill = (now_s - bucket.refilled_s) * self._per_s
        bucket.tokens = min(self._per_s, bucket.tokens + refill)
        bucket.refilled_s = now_s
        if bucket.tokens < 1:
            bucket.left_out += 1
            return
        bucket.tokens -= 1
        if bucket.left_out:
            log_event("left_out", of=event, key=key, count=bucket.left_out)
            bucket.left_out = 0
        log_event(event, level=logging.INFO, **fields)

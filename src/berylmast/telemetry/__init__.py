"""Logs, metrics and latency histograms of one daemon."""

from .logs import (
    EventRateLimiter,
    configure_logs,
    escape_text,
    get_event_count,
    log_event,
)
from .metrics import Counter, Gauge, make_metrics_renderer
from .request_recorder import RequestLogEntry, RequestRecorder
from .statsd_reporter import StatsdReporter, make_statsd_reporter

__all__ = [
    "Counter",
    "EventRateLimiter",
    "Gauge",
    "RequestLogEntry",
    "RequestRecorder",
    "StatsdReporter",
    "configure_logs",
    "escape_text",
    "get_event_count",
    "log_event",
    "make_metrics_renderer",
    "make_statsd_reporter",
]

"""Logs, counters and histograms of one daemon."""

from .logs import configure_logs, log_event
from .sight import RequestLog, Sight
from .statsd_report import StatsdReport, make_statsd_report

__all__ = [
    "RequestLog",
    "Sight",
    "StatsdReport",
    "configure_logs",
    "log_event",
    "make_statsd_report",
]

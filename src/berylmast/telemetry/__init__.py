"""Logs, counters and histograms of one daemon."""

from .logs import configure_logs, log_event
from .sight import RequestLog, Sight

__all__ = ["RequestLog", "Sight", "configure_logs", "log_event"]

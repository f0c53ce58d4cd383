"""Logs, metrics and latency histograms of one daemon."""

from .logs import EventRates, configure_logs, log_event
from .metrics import Count, Gauge, make_metrics
from .sight import RequestLog, Sight
from .statsd_report import StatsdReport, make_statsd_report

__all__ = [
    "Count",
    "EventRates",
    "Gauge",
    "RequestLog",
    "Sight",
    "StatsdReport",
    "configure_logs",
    "log_event",
    "make_metrics",
    "make_statsd_report",
]

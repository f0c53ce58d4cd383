"""Sends counters and percentiles to statsd at a fixed interval.

One datagram per request would cost about 30 KB/s at 273 requests per second, ten times
the budget of a daemon for control traffic.
"""

from collections import Counter

import anyio
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from ..settings import Address
from .histograms import MAX_LATENCY_US, MIN_LATENCY_US, SIGNIFICANT_DIGITS

STATSD_PREFIX = "berylmast"
FLUSH_INTERVAL_S = 10.0


class StatsdReporter:
    """Aggregates counts and durations between flushes."""

    def __init__(self, client: StatsClient) -> None:
        self._client = client
        self._counts: Counter[str] = Counter()
        self._durations: dict[str, HdrHistogram] = {}

    def add(
        self, service: str, priority: str, outcome: str, reason: str, duration_ms: float
    ) -> None:
        """Add one request to the counts and durations."""
        name = f"{_sanitize_name(service)}.{_sanitize_name(priority)}"
        self._counts[f"{name}.{outcome}"] += 1
        if reason:
            self._counts[f"{name}.reason.{reason}"] += 1
        histogram = self._durations.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._durations[name] = histogram
        duration_us = int(duration_ms * 1000)
        histogram.record_value(min(max(duration_us, MIN_LATENCY_US), MAX_LATENCY_US))

    def flush(self) -> None:
        """Send the values added since the last flush, if any."""
        counts, self._counts = self._counts, Counter()
        durations, self._durations = self._durations, {}
        if not counts:
            return
        with self._client.pipeline() as pipe:
            for name, count in sorted(counts.items()):
                pipe.incr(name, count)
            for name, histogram in sorted(durations.items()):
                for percentile in (50, 99):
                    value_ms = histogram.get_value_at_percentile(percentile) / 1000
                    pipe.gauge(f"{name}.duration_p{percentile}_ms", value_ms)

    async def run(self) -> None:
        """Flush periodically until cancelled, then once more."""
        try:
            while True:
                await anyio.sleep(FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()


def make_statsd_reporter(address: Address | None) -> StatsdReporter | None:
    """Return a reporter for a statsd server, None without an address."""
    if address is None:
        return None
    return StatsdReporter(StatsClient(address.host, address.port, STATSD_PREFIX))


def _sanitize_name(name: str) -> str:
    """Replace all characters but letters, digits, ``-`` and ``_``.

    Others may be separators in a statsd line.
    """
    return "".join(c if c.isalnum() or c in "-_" else "_" for c in name)

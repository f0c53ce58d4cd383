"""Reloads the settings on SIGHUP and when the settings file has changed."""

import signal

import anyio

from .settings import LiveSettings
from .telemetry import log_event

FILE_CHECK_INTERVAL_S = 2.0
"""Interval at which the file is checked, since it may change without a signal."""


async def follow_settings(live: LiveSettings) -> None:
    """Reload the settings whenever SIGHUP arrives or the file has changed."""
    async with anyio.create_task_group() as tg:
        tg.start_soon(_check_file_periodically, live)
        with anyio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                _reload(live, "signal")


async def _check_file_periodically(live: LiveSettings) -> None:
    while True:
        await anyio.sleep(FILE_CHECK_INTERVAL_S)
        if live.file_changed:
            _reload(live, "changed-file")


def _reload(live: LiveSettings, cause: str) -> None:
    def report(outcome: str, detail: str) -> None:
        log_event("reload", cause=cause, outcome=outcome, settings=detail)

    live.reload(report)

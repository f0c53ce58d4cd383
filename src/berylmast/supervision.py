"""Keeps the background tasks of a daemon running after unexpected errors."""

import logging
from collections.abc import Awaitable, Callable

import anyio

from .telemetry import log_event

RESTART_DELAY_S = 1.0
"""Limits the log lines and the load of a task that fails again at once."""


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; log an error and run the task again after it.

    The requests in progress do not depend on these tasks, so an error in one of them
    must not end the process.
    """
    while True:
        try:
            await run()
        except Exception as exc:
            log_event("task_failed", level=logging.ERROR, task=name, reason=repr(exc))
            await anyio.sleep(RESTART_DELAY_S)
        else:
            return


async def run_logged(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task once; log an error that ends it.

    For a task in a group whose other tasks must go on without it.
    """
    try:
        await run()
    except Exception as exc:
        log_event("task_failed", level=logging.ERROR, task=name, reason=repr(exc))

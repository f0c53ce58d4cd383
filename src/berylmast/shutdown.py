"""Signal handling and graceful shutdown of one daemon."""

import logging
import signal
from collections.abc import AsyncIterator, Callable

import anyio
from anyio.abc import TaskGroup

from ._serve import HttpServer
from .lifecycle import LeaveReason, Lifecycle, wait_idle
from .settings import DrainSettings
from .telemetry import log_event


async def serve_until_signal(
    server: HttpServer,
    lifecycle: Lifecycle,
    get_cfg: Callable[[], DrainSettings],
    count_exchanges: Callable[[], int],
) -> None:
    """Serve callers until SIGTERM or SIGINT, then shut down gracefully.

    A second signal cancels the requests that are still in progress.
    ``count_exchanges`` returns the number of requests from other daemons in progress.
    """
    ended = anyio.Event()

    async def serve() -> None:
        await server.serve()
        ended.set()

    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tg:
            tg.start_soon(serve)
            await anext(signals)
            tg.start_soon(_cut_at_next_signal, signals, tg)
            await stop_gracefully(server, ended, lifecycle, get_cfg(), count_exchanges)
            tg.cancel_scope.cancel()


async def stop_gracefully(
    server: HttpServer,
    ended: anyio.Event,
    lifecycle: Lifecycle,
    cfg: DrainSettings,
    count_exchanges: Callable[[], int],
) -> None:
    """Accept no new requests, wait for those in progress, then return.

    The listening socket stays open for the grace period, in which responses tell
    callers to reconnect elsewhere, so that callers do not find the port closed without
    warning.
    """
    lifecycle.add(LeaveReason.SIGNAL)
    await anyio.sleep(cfg.grace_s)
    server.should_exit = True
    deadline_s = anyio.current_time() + cfg.timeout_s
    with anyio.move_on_after(cfg.timeout_s) as scope:
        await ended.wait()
    left_s = max(0.0, deadline_s - anyio.current_time())
    idle = await wait_idle(count_exchanges, timeout_s=left_s)
    if scope.cancelled_caught or not idle:
        log_event("drain-timeout", level=logging.WARNING, left=count_exchanges())


async def _cut_at_next_signal(
    signals: AsyncIterator[signal.Signals], tg: TaskGroup
) -> None:
    await anext(signals)
    log_event("stopping-at-once", level=logging.WARNING)
    tg.cancel_scope.cancel()

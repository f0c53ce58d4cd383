"""Signal handling and graceful shutdown of one daemon."""

import logging
import signal
from collections.abc import AsyncIterator, Callable

import anyio
from anyio.abc import TaskGroup

from ._http_server import HttpServer
from .lifecycle import LeaveReason, Lifecycle, wait_until_idle
from .settings import DrainSettings
from .telemetry import log_event

WITHDRAWAL_TIME_S = 0.8
"""Time in seconds in which owners are asked and callers get their responses."""


async def serve_until_signal(
    server: HttpServer,
    lifecycle: Lifecycle,
    get_drain_settings: Callable[[], DrainSettings],
    count_peer_requests: Callable[[], int],
    withdraw_waiting: Callable[[], None],
) -> None:
    """Serve callers until SIGTERM or SIGINT, then shut down gracefully.

    A second signal cancels the requests that are still in progress.
    ``count_peer_requests`` returns the number of them that come from other daemons.
    ``withdraw_waiting`` gives up the requests of callers that wait for admission.
    """
    server_stopped = anyio.Event()

    async def serve() -> None:
        await server.serve()
        server_stopped.set()

    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tg:
            tg.start_soon(serve)
            await anext(signals)
            tg.start_soon(_cancel_on_next_signal, signals, tg)
            await stop_gracefully(
                server,
                server_stopped,
                lifecycle,
                get_drain_settings(),
                count_peer_requests,
                withdraw_waiting,
            )
            tg.cancel_scope.cancel()


async def stop_gracefully(
    server: HttpServer,
    server_stopped: anyio.Event,
    lifecycle: Lifecycle,
    cfg: DrainSettings,
    count_peer_requests: Callable[[], int],
    withdraw_waiting: Callable[[], None] = lambda: None,
) -> None:
    """Accept no new requests, wait for those in progress, then return.

    The listening socket stays open for the grace period, in which responses tell
    callers to reconnect elsewhere, so that callers do not find the port closed without
    warning. Shortly before the end the requests that no server has begun are given up,
    so that their callers learn that they have not run.
    """
    lifecycle.add(LeaveReason.SIGNAL)
    await anyio.sleep(cfg.accept_s)
    server.should_exit = True
    deadline_s = anyio.current_time() + cfg.finish_s
    with anyio.move_on_after(cfg.finish_s) as scope:
        with anyio.move_on_after(max(0.0, cfg.finish_s - WITHDRAWAL_TIME_S)):
            await server_stopped.wait()
        withdraw_waiting()
        await server_stopped.wait()
    remaining_s = max(0.0, deadline_s - anyio.current_time())
    idle = await wait_until_idle(count_peer_requests, timeout_s=remaining_s)
    if scope.cancelled_caught or not idle:
        log_event("drain-timeout", level=logging.WARNING, left=count_peer_requests())


async def _cancel_on_next_signal(
    signals: AsyncIterator[signal.Signals], tg: TaskGroup
) -> None:
    await anext(signals)
    log_event("stopping-at-once", level=logging.WARNING)
    tg.cancel_scope.cancel()

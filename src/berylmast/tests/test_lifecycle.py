"""Guards against new requests while leaving and requests cut off at shutdown."""

from dataclasses import dataclass
from typing import cast

import anyio
import pytest

from .._http_server import HttpServer
from ..lifecycle import LeaveReason, Lifecycle, wait_until_idle
from ..settings import DrainSettings
from ..shutdown import WITHDRAWAL_TIME_S, stop_gracefully

pytestmark = pytest.mark.anyio


def test_ready_again_only_when_every_reason_is_gone() -> None:
    changes: list[bool] = []
    lifecycle = Lifecycle()
    lifecycle.add_listener(changes.append)
    lifecycle.add(LeaveReason.HEALTH)
    lifecycle.add(LeaveReason.OPERATOR)
    lifecycle.remove(LeaveReason.HEALTH)
    assert (lifecycle.leaving, lifecycle.reasons) == (True, ["operator"])
    lifecycle.remove(LeaveReason.OPERATOR)
    assert not lifecycle.leaving
    assert changes == [True, False]


def test_stop_listeners_are_called_once_even_if_already_leaving() -> None:
    """An instance whose backend server has failed must shut down gracefully too."""
    calls: list[str] = []
    lifecycle = Lifecycle(LeaveReason.HEALTH)
    lifecycle.add_stop_listener(lambda: calls.append("stop"))
    lifecycle.add(LeaveReason.OPERATOR)
    assert not calls
    lifecycle.add(LeaveReason.SIGNAL)
    lifecycle.add(LeaveReason.SIGNAL)
    assert calls == ["stop"]


@pytest.mark.parametrize(
    ("busy_s", "timeout_s", "idle"), [(0, 1, True), (5, 10, True), (20, 10, False)]
)
async def test_wait_until_idle(busy_s: float, timeout_s: float, idle: bool) -> None:
    end_s = anyio.current_time() + busy_s
    assert (
        await wait_until_idle(
            lambda: int(anyio.current_time() < end_s), timeout_s=timeout_s
        )
        is idle
    )


@dataclass
class FakeServer:
    should_exit: bool = False


@pytest.mark.parametrize(
    ("callers_s", "peers_s", "took_s"),
    [(0, 0, 3), (10, 0, 13), (0, 10, 13), (500, 0, 63), (0, 500, 63)],
)
async def test_stop_waits_for_requests_up_to_the_timeout(
    callers_s: float, peers_s: float, took_s: float
) -> None:
    server, lifecycle, server_stopped = FakeServer(), Lifecycle(), anyio.Event()
    started_s = anyio.current_time()

    async def end_callers() -> None:
        while not server.should_exit:
            await anyio.sleep(0.1)
        await anyio.sleep(callers_s)
        server_stopped.set()

    def count() -> int:
        return int(anyio.current_time() < started_s + 3 + peers_s)

    async with anyio.create_task_group() as tg:
        tg.start_soon(end_callers)
        cfg = DrainSettings(grace_s=3, timeout_s=60)
        await stop_gracefully(
            cast(HttpServer, server), server_stopped, lifecycle, cfg, count
        )
        tg.cancel_scope.cancel()
    assert lifecycle.stopping
    assert anyio.current_time() - started_s == pytest.approx(took_s, abs=0.3)


async def test_waiting_requests_are_withdrawn_before_the_end() -> None:
    """They got an error of unknown outcome when the process ended."""
    withdrawn_s: list[float] = []
    started_s = anyio.current_time()
    await stop_gracefully(
        cast(HttpServer, FakeServer()),
        anyio.Event(),
        Lifecycle(),
        DrainSettings(grace_s=2.6, kill_after_s=6.0),
        lambda: 1,
        lambda: withdrawn_s.append(anyio.current_time() - started_s),
    )
    assert withdrawn_s == [pytest.approx(5.0 - WITHDRAWAL_TIME_S)]
    assert anyio.current_time() - started_s == pytest.approx(5.0, abs=0.3)


@pytest.mark.parametrize(
    ("kill_after_s", "accept_s", "end_s"),
    [(None, 2.6, 62.6), (6.0, 2.6, 5.0), (10.0, 2.6, 10 * 5 / 6), (2.4, 2.0, 2.0)],
    ids=["no-limit", "short", "long", "shorter-than-the-grace-period"],
)
def test_drain_ends_before_the_process_is_killed(
    kill_after_s: float | None, accept_s: float, end_s: float
) -> None:
    """Limits that ignored the kill cut requests off early, or were cut off by it."""
    cfg = DrainSettings(grace_s=2.6, kill_after_s=kill_after_s)
    assert cfg.accept_s == pytest.approx(accept_s)
    assert cfg.accept_s + cfg.finish_s == pytest.approx(end_s)

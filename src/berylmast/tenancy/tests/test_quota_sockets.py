"""Guards against frames that work in memory and not over a connection."""

from typing import Any

import anyio
import pytest
from anyio.abc import TaskGroup

from berylmast_dev.fleet import HOST, reserve_ports

from ...daemons import Exchange, Identity, PeerListener, PeerPool
from ...daemons.frames import Borrow, OpeningFrame
from ...model import DaemonLocation, Endpoint
from ...settings import Address, QuotaSettings
from ..quotas import QuotaFleet, Quotas
from .quota_fleet import make_configuration

pytestmark = pytest.mark.anyio

CLOCK_FACTOR = 2.0
"""Shortens the quarantine of new lenders."""


@pytest.fixture
def anyio_backend(
    real_clock: tuple[str, dict[str, Any]],
) -> tuple[str, dict[str, Any]]:
    return real_clock


async def start_daemon(
    tg: TaskGroup, name: str, port: int, peers: tuple[Endpoint, ...]
) -> Quotas:
    identity = Identity(name, 1)
    quotas = Quotas(
        QuotaFleet(
            DaemonLocation(HOST, port, name, name),
            identity,
            lambda: True,
            lambda: peers,
            PeerPool(tg, identity).open_exchange,
        ),
        QuotaSettings,
        lambda: configuration,
        lambda: anyio.current_time() * CLOCK_FACTOR,
    )
    configuration = make_configuration({"t": (10, 10)})

    async def accept(exchange: Exchange, frame: OpeningFrame) -> None:
        assert isinstance(frame, Borrow)
        await quotas.serve(exchange, frame)

    listener = PeerListener(
        Address(host=HOST, port=port), identity, accept, lambda records: None
    )
    await tg.start(listener.run)
    tg.start_soon(quotas.run)
    return quotas


async def test_a_daemon_borrows_over_a_connection() -> None:
    ports = {name: reserve_ports(1) for name in ("a", "b")}
    endpoints = {
        name: Endpoint(name, "s", HOST, port, name, name, 1, 1)
        for name, port in ports.items()
    }
    async with anyio.create_task_group() as tg:
        first = await start_daemon(tg, "a", ports["a"], (endpoints["b"],))
        second = await start_daemon(tg, "b", ports["b"], (endpoints["a"],))
        # The rate of requests is above the first lender's part, so both are asked.
        with anyio.fail_after(20):
            while not (second.counts.exchanges_served and first.counts.charged):
                await first.charge("t")
                await anyio.sleep(0.02)
        tg.cancel_scope.cancel()

"""Control exchanges: dialling, heartbeats, and tasks beside them."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field

import anyio

from ..daemons import (
    ConnectionLost,
    Exchange,
    ExchangeLost,
    Identity,
    PeerConnection,
)
from ..daemons.frames import Beat, Frame

DIAL_TIMEOUT_S = 1.0
BEAT_INTERVAL_S = 3.5
BEAT_LIMIT_S = 7.5
"""A control exchange that receives nothing for this long is given up.

Two heartbeats are missed by then. With the registrar's check for silence every 0.5 s
and its 2 s for a daemon to attach elsewhere, a dead daemon leaves within 10 s.
"""


@dataclass(slots=True)
class ControlMeter:
    """Counts the bytes of the control connections that this daemon dialled."""

    ended_sent: int = 0
    ended_received: int = 0
    open: set[PeerConnection] = field(default_factory=set)

    def count(self) -> tuple[int, int]:
        """Return the bytes sent and received so far."""
        return (
            self.ended_sent + sum(conn.bytes_sent for conn in self.open),
            self.ended_received + sum(conn.bytes_received for conn in self.open),
        )

    def end(self, conn: PeerConnection) -> None:
        """Keep the bytes of a connection that has ended."""
        self.open.discard(conn)
        self.ended_sent += conn.bytes_sent
        self.ended_received += conn.bytes_received


Dial = Callable[[str, int], AbstractAsyncContextManager[Exchange]]
"""Opens a control exchange to a host and port; raises ConnectionLost."""


def make_dial(identity: Identity, meter: ControlMeter) -> Dial:
    """Return the function that opens control exchanges over TCP.

    Each has a connection of its own, which ends with it: a silent one is never used
    again, and its bytes are counted as control traffic.
    """

    @asynccontextmanager
    async def dial(host: str, port: int) -> AsyncIterator[Exchange]:
        try:
            with anyio.fail_after(DIAL_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as exc:
            raise ConnectionLost(f"cannot reach {host}:{port}") from exc
        conn = PeerConnection(stream, identity)
        conn.control = True
        meter.open.add(conn)
        failure: Exception | None = None
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(conn.run)
                try:
                    await conn.wait_ready()
                    yield conn.open_exchange()
                except (ConnectionLost, ExchangeLost) as exc:
                    # Raised after the group has ended, which would wrap it.
                    failure = exc
                tg.cancel_scope.cancel()
        finally:
            meter.end(conn)
        if failure is not None:
            raise failure

    return dial


async def receive_within_limit(exchange: Exchange) -> Frame:
    """Wait for the next frame; raises ExchangeLost after BEAT_LIMIT_S of silence."""
    try:
        with anyio.fail_after(BEAT_LIMIT_S):
            return await exchange.receive()
    except TimeoutError as exc:
        raise ExchangeLost from exc


async def send_beats(exchange: Exchange, get_version: Callable[[], int]) -> None:
    """Send heartbeats until cancelled or the exchange is lost."""
    while True:
        await exchange.send(Beat(exchange.id, get_version()))
        await anyio.sleep(BEAT_INTERVAL_S)


async def run_beside(
    main: Callable[[], Awaitable[None]], *helpers: Callable[[], Awaitable[None]]
) -> None:
    """Run ``main`` and cancel the helpers when it ends.

    Raises ExchangeLost if ``main`` did. A helper may end by ExchangeLost: ``main``
    reads from the same exchange and notices it too.
    """

    async def help_on(helper: Callable[[], Awaitable[None]]) -> None:
        try:
            await helper()
        except ExchangeLost:
            pass

    lost: ExchangeLost | None = None
    async with anyio.create_task_group() as tg:
        for helper in helpers:
            tg.start_soon(help_on, helper)
        try:
            await main()
        except ExchangeLost as exc:
            # Raised after the group has ended, which would wrap it.
            lost = exc
        tg.cancel_scope.cancel()
    if lost is not None:
        raise lost

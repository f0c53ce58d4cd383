"""A pool of connections to owners, opened on demand and shared by all requests."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskGroup

from ..errors import ErrorKind
from ..model import Endpoint
from .connection import ConnectionLost, Identity, PeerConnection
from .exchange import Exchange
from .frames import Reset

CONNECT_TIMEOUT_S = 1.0

IDLE_CHECK_INTERVAL_S = 15.0
"""A connection without traffic from one check to the next is closed. Otherwise every
daemon would in time hold a connection to every other one."""


class PeerPool:
    """Keeps one connection per owner address.

    The connections run in the task group ``tg``.
    """

    def __init__(
        self,
        tg: TaskGroup,
        identity: Identity,
        *,
        on_goaway: Callable[[str], None] | None = None,
    ) -> None:
        self._tg = tg
        self._identity = identity
        self._on_goaway = on_goaway
        self._connections: dict[tuple[str, int], PeerConnection] = {}
        self._locks: dict[tuple[str, int], anyio.Lock] = {}

    async def run(self) -> None:
        """Close idle connections until cancelled."""
        transferred_before: dict[PeerConnection, int] = {}
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            for address, conn in list(self._connections.items()):
                idle = conn.bytes_transferred == transferred_before.get(conn)
                if conn.closed or (idle and not conn.in_use):
                    self._forget(address)
                    await conn.close()
            transferred_before = {
                conn: conn.bytes_transferred for conn in self._connections.values()
            }

    @property
    def connection_count(self) -> int:
        """Return the number of connections that are kept."""
        return len(self._connections)

    def _forget(self, address: tuple[str, int]) -> None:
        del self._connections[address]
        lock = self._locks.get(address)
        if lock is not None and not lock.locked():
            del self._locks[address]

    @asynccontextmanager
    async def open_exchange(self, endpoint: Endpoint) -> AsyncIterator[Exchange]:
        """Open an exchange with an endpoint's owner.

        Leaving the context before the owner has closed the exchange resets it. Raises
        ConnectionLost if the owner can't be reached; in that case nothing was sent.
        """
        conn = await self.connect(endpoint)
        exchange = conn.open_exchange()
        try:
            yield exchange
        finally:
            conn.close_exchange(exchange, Reset(exchange.id, ErrorKind.CANCELLED))

    async def connect(self, endpoint: Endpoint) -> PeerConnection:
        """Return the open connection to an owner, or open one.

        Raises ConnectionLost if the owner can't be reached.
        """
        address = (endpoint.host, endpoint.port)
        conn = self._connections.get(address)
        if conn is not None and not conn.closed:
            return conn
        async with self._locks.setdefault(address, anyio.Lock()):
            conn = self._connections.get(address)
            if conn is None or conn.closed:
                conn = await self._dial(address)
                self._connections[address] = conn
        return conn

    async def _dial(self, address: tuple[str, int]) -> PeerConnection:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(*address)
        # ValueError: a host that is none, OverflowError: a port that is none.
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            raise ConnectionLost(f"cannot reach {address[0]}:{address[1]}") from exc
        conn = PeerConnection(stream, self._identity, on_goaway=self._on_goaway)
        self._tg.start_soon(conn.run)
        try:
            await conn.wait_ready()
        except BaseException:
            # Otherwise each attempt would leak a socket to a peer that accepts the
            # connection and sends nothing, or whose caller's deadline ended meanwhile.
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            raise
        return conn

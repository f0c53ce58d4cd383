"""Accepts connections from other daemons."""

import logging

import anyio
from anyio.abc import SocketListener, SocketStream, TaskGroup, TaskStatus

from ..settings import Address
from ..telemetry import log_event
from .connection import ExchangeHandler, Identity, OnTell, PeerConnection
from .frames import GoAway

ACCEPT_RETRY_S = 0.2
"""Delay after a failed accept, for example without a free file descriptor."""


class PeerListener:
    """Serves the connections that other daemons open to this one."""

    def __init__(
        self,
        address: Address,
        identity: Identity,
        accept: ExchangeHandler | None,
        on_tell: OnTell | None = None,
    ) -> None:
        self._address = address
        self._identity = identity
        self._accept = accept
        self._on_tell = on_tell
        self._connections: set[PeerConnection] = set()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._address.host, local_port=self._address.port
        )
        async with listener, anyio.create_task_group() as tg:
            task_status.started()
            for part in listener.listeners:
                assert isinstance(part, SocketListener)
                tg.start_soon(self._accept_connections, part, tg)

    async def _accept_connections(
        self, listener: SocketListener, tg: TaskGroup
    ) -> None:
        """Accept connections; a failure ends neither the daemon nor open ones."""
        while True:
            try:
                stream = await listener.accept()
            except OSError as exc:
                log_event("accept_failed", level=logging.ERROR, reason=repr(exc))
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            tg.start_soon(self._serve_stream, stream)

    async def _serve_stream(self, stream: SocketStream) -> None:
        conn = PeerConnection(
            stream, self._identity, accept=self._accept, on_tell=self._on_tell
        )
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)

    @property
    def open_exchange_count(self) -> int:
        """Return the number of open exchanges on all connections."""
        return sum(conn.open_exchange_count for conn in self._connections)

    def send_goaway(self) -> None:
        """Send ``GoAway`` to every connected daemon."""
        for conn in self._connections:
            conn.write(GoAway())

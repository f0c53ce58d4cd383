"""Accepts connections from other daemons."""

import anyio
from anyio.abc import SocketStream, TaskStatus

from ..settings import Address
from .connection import ExchangeHandler, Identity, OnRecords, PeerConnection
from .frames import GoAway


class PeerListener:
    """Serves the connections that other daemons open to this one."""

    def __init__(
        self,
        address: Address,
        identity: Identity,
        accept: ExchangeHandler | None,
        on_records: OnRecords | None = None,
    ) -> None:
        self._address = address
        self._identity = identity
        self._accept = accept
        self._on_records = on_records
        self._connections: set[PeerConnection] = set()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._address.host, local_port=self._address.port
        )
        task_status.started()
        await listener.serve(self._serve_stream)

    async def _serve_stream(self, stream: SocketStream) -> None:
        conn = PeerConnection(
            stream, self._identity, accept=self._accept, on_records=self._on_records
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

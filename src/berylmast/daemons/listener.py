"""Accepts connections of other daemons."""

import anyio
from anyio.abc import SocketStream, TaskStatus

from ..settings import Address
from .connection import Accept, Identity, OnTold, PeerConnection
from .frames import GoAway


class PeerListener:
    """Serves every connection that other daemons open to this one."""

    def __init__(
        self,
        address: Address,
        identity: Identity,
        accept: Accept | None,
        on_told: OnTold | None = None,
    ) -> None:
        self._address = address
        self._identity = identity
        self._accept = accept
        self._on_told = on_told
        self._connections: set[PeerConnection] = set()
        self._ended_control_bytes = (0, 0)

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
            stream, self._identity, accept=self._accept, on_told=self._on_told
        )
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)
            if conn.control:
                sent, received = self._ended_control_bytes
                self._ended_control_bytes = (
                    sent + conn.bytes_sent,
                    received + conn.bytes_received,
                )

    def count_control_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received on control connections so far."""
        control = [conn for conn in self._connections if conn.control]
        sent, received = self._ended_control_bytes
        return (
            sent + sum(conn.bytes_sent for conn in control),
            received + sum(conn.bytes_received for conn in control),
        )

    @property
    def open_exchanges(self) -> int:
        """Return the number of exchanges under way, without control exchanges.

        Those of a registrar stay open for as long as it runs.
        """
        return sum(
            conn.open_exchanges for conn in self._connections if not conn.control
        )

    def announce_leaving(self) -> None:
        """Tell every connected daemon to send no new work."""
        for conn in self._connections:
            conn.write(GoAway())

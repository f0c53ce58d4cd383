"""A loopback proxy that delays, refuses, resets or withholds traffic."""

import socket
import struct
from dataclasses import dataclass
from enum import StrEnum

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from ..fleet import HOST

_READ_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkMode(StrEnum):
    """What a link does with new connections and with data.

    Held data is forwarded once the mode changes back, as after a network partition.
    """

    PASS = "pass"
    REFUSE = "refuse"
    HOLD_REQUESTS = "hold_requests"
    HOLD_ANSWERS = "hold_answers"
    SILENT = "silent"


_MODES_HOLDING_REQUESTS = (LinkMode.HOLD_REQUESTS, LinkMode.SILENT)
_MODES_HOLDING_ANSWERS = (LinkMode.HOLD_ANSWERS, LinkMode.SILENT)


@dataclass(frozen=True, slots=True)
class LinkState:
    """Behaviour of a link; ``delay_s`` is added in each direction."""

    mode: LinkMode = LinkMode.PASS
    delay_s: float = 0.0


class LinkProxy:
    """Forwards connections from one port to another.

    ``source`` is the loopback address from which it connects to the target.
    """

    def __init__(self, port: int, target_port: int, source: str = HOST) -> None:
        self.port = port
        self._target_port = target_port
        self._source = source
        self._state = LinkState()
        self._state_changed = anyio.Event()
        self._connections: set[_Connection] = set()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept and forward connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=HOST, local_port=self.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._forward)

    def set_state(self, state: LinkState) -> None:
        """Change the behaviour of open and new connections."""
        self._state = state
        self._state_changed.set()
        self._state_changed = anyio.Event()

    async def reset(self) -> None:
        """Reset all open connections."""
        for conn in tuple(self._connections):
            await conn.reset()

    async def _forward(self, stream: SocketStream) -> None:
        caller = _Connection(stream)
        try:
            await self._connect_and_copy(caller)
        finally:
            await anyio.aclose_forcefully(stream)

    async def _connect_and_copy(self, caller: "_Connection") -> None:
        if self._state.mode is LinkMode.REFUSE:
            await caller.reset()
            return
        try:
            stream = await anyio.connect_tcp(
                HOST, self._target_port, local_host=self._source
            )
        except OSError:
            # The target does not listen: refuse the connection as the target would.
            await caller.reset()
            return
        target = _Connection(stream)
        self._connections |= {caller, target}
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._copy, caller, target, _MODES_HOLDING_REQUESTS)
                tg.start_soon(self._copy, target, caller, _MODES_HOLDING_ANSWERS)
        finally:
            self._connections -= {caller, target}
            await anyio.aclose_forcefully(stream)

    async def _copy(
        self,
        source: "_Connection",
        sink: "_Connection",
        held_modes: tuple[LinkMode, ...],
    ) -> None:
        try:
            while True:
                data = await source.stream.receive(_READ_BYTES)
                await anyio.sleep(self._state.delay_s)
                await self._wait_until_forwarding(held_modes)
                await sink.stream.send(data)
        except anyio.EndOfStream:
            await self._wait_until_forwarding(held_modes)
            await anyio.aclose_forcefully(sink.stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await sink.reset()

    async def _wait_until_forwarding(self, held_modes: tuple[LinkMode, ...]) -> None:
        while self._state.mode in held_modes:
            await self._state_changed.wait()


class _Connection:
    """One side of a forwarded connection.

    The socket is looked up at once: anyio does not return that of a closed stream.
    """

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self._sock = _get_socket(stream)

    async def reset(self) -> None:
        try:
            if self._sock is not None:
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        except (OSError, ValueError):
            # Already closed: the socket has no file descriptor any more.
            pass
        await anyio.aclose_forcefully(self.stream)


def _get_socket(stream: SocketStream) -> socket.socket | None:
    """Return the socket of a connection; None if the peer has reset it already.

    For a closed socket anyio's lookup of the peer address raises AttributeError.
    """
    try:
        return stream.extra(SocketAttribute.raw_socket)
    except AttributeError:
        return None

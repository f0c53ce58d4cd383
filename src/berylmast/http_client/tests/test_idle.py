"""Guards against repeated loss of requests on dropped idle connections.

A server that drops connections after a short idle time, without announcing it, costs
one request; after that the client uses a shorter idle timeout.
"""

import anyio
import pytest
from anyio.abc import SocketStream

from .. import ConnectionCut, HttpClient
from .server import OK_STATUS_LINE, run_server, send_request

pytestmark = pytest.mark.anyio

EMPTY_RESPONSE = OK_STATUS_LINE + b"Content-Length: 0\r\nKeep-Alive: timeout=10\r\n\r\n"


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


class IdleTimeoutServer:
    """Closes a connection at a request after ``idle_timeout_s`` of idle time."""

    def __init__(self, idle_timeout_s: float) -> None:
        self.connections = 0
        self._idle_timeout_s = idle_timeout_s

    async def serve(self, stream: SocketStream) -> None:
        self.connections += 1
        last_response_s = anyio.current_time()
        async with stream:
            while True:
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    return
                if anyio.current_time() - last_response_s > self._idle_timeout_s:
                    return
                await stream.send(EMPTY_RESPONSE)
                last_response_s = anyio.current_time()


async def count_lost_requests(client: HttpClient, pauses_s: list[float]) -> int:
    """Send a request after each pause and return how many were lost."""
    lost_requests = 0
    for pause_s in pauses_s:
        await anyio.sleep(pause_s)
        try:
            await send_request(client)
        except ConnectionCut:
            lost_requests += 1
    return lost_requests


@pytest.mark.parametrize(
    ("idle_timeout_s", "pauses_s", "lost_requests", "connections"),
    [
        # One request is lost; each later pause exceeds the reduced timeout, so each
        # request opens a connection.
        (0.2, [0.0, 0.3, 0.3, 0.3, 0.3], 1, 4),
        # Pauses below the reduced timeout reuse the connection opened after the loss.
        (0.2, [0.0, 0.3, 0.0, 0.05, 0.05, 0.05], 1, 2),
        # A connection lost after a very short idle time does not reduce the timeout.
        (0.01, [0.0, 0.06, 0.06, 0.06], 2, 2),
        (9.0, [0.0, 0.3, 0.3, 0.3], 0, 1),
    ],
)
async def test_connection_loss_reduces_the_idle_timeout(
    idle_timeout_s: float,
    pauses_s: list[float],
    lost_requests: int,
    connections: int,
) -> None:
    server = IdleTimeoutServer(idle_timeout_s)
    async with run_server(server.serve) as address:
        client = HttpClient(address, 4)
        assert await count_lost_requests(client, pauses_s) == lost_requests
        client.close()
    assert server.connections == connections

"""Guards against repeated loss of requests on dropped idle connections.

A server that drops connections after a short idle time, without announcing it, costs
one request; after that the client uses a shorter idle timeout.
"""

import anyio
import pytest
from anyio.abc import SocketStream

from .. import ConnectionCut, HttpClient
from .server import OK, call, run_server

pytestmark = pytest.mark.anyio

RAW = OK + b"Content-Length: 0\r\nKeep-Alive: timeout=10\r\n\r\n"


@pytest.fixture
def anyio_backend(real_clock: object) -> object:
    return real_clock


class ForgetfulServer:
    """Closes a connection at a request after ``forgets_after_s`` of idle time."""

    def __init__(self, forgets_after_s: float) -> None:
        self.connections = 0
        self._forgets_after_s = forgets_after_s

    async def serve(self, stream: SocketStream) -> None:
        self.connections += 1
        answered_s = anyio.current_time()
        async with stream:
            while True:
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    return
                if anyio.current_time() - answered_s > self._forgets_after_s:
                    return
                await stream.send(RAW)
                answered_s = anyio.current_time()


async def call_after_rests(client: HttpClient, rests_s: list[float]) -> int:
    """Send a request after each pause and return how many were lost."""
    lost = 0
    for rest_s in rests_s:
        await anyio.sleep(rest_s)
        try:
            await call(client)
        except ConnectionCut:
            lost += 1
    return lost


@pytest.mark.parametrize(
    ("forgets_after_s", "rests_s", "lost", "connections"),
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
async def test_one_loss_shortens_the_rest_of_others(
    forgets_after_s: float, rests_s: list[float], lost: int, connections: int
) -> None:
    server = ForgetfulServer(forgets_after_s)
    async with run_server(server.serve) as address:
        client = HttpClient(address, 4)
        assert await call_after_rests(client, rests_s) == lost
        client.close()
    assert server.connections == connections

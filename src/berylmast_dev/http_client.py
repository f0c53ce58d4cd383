"""Minimal HTTP/1.1 client for load generators.

httpcore scans all requests of its pool whenever one begins or ends. With several
hundred concurrent requests the load generator, not the fleet, becomes the bottleneck.
"""

from collections import defaultdict
from dataclasses import dataclass, field

import anyio
import httptools
from anyio.abc import SocketStream

Address = tuple[str, int]
CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""Raised by a request whose connection can't be opened or is lost."""

_READ_BYTES = 65_536


@dataclass(slots=True)
class HttpResponse:
    """An HTTP response; the parser's callbacks fill it in."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.complete = True


class HttpClient:
    """Reuses idle connections per address; the number of connections is unlimited."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[SocketStream]] = defaultdict(list)

    async def request(
        self,
        address: Address,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> HttpResponse:
        """Send a request and read the response.

        Raises one of CONNECTION_ERRORS if the connection fails.
        """
        idle = self._idle[address]
        stream = idle.pop() if idle else await anyio.connect_tcp(*address)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"content-length: {len(body)}", "", ""]
        try:
            await stream.send("\r\n".join(lines).encode("latin-1") + body)
            res = await _read_response(stream)
        except BaseException:
            await anyio.aclose_forcefully(stream)
            raise
        if res.headers.get(b"connection", b"").lower() == b"close":
            await anyio.aclose_forcefully(stream)
        else:
            idle.append(stream)
        return res

    async def aclose(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for stream in idle:
                await anyio.aclose_forcefully(stream)


async def _read_response(stream: SocketStream) -> HttpResponse:
    res = HttpResponse()
    parser = httptools.HttpResponseParser(res)
    while not res.complete:
        parser.feed_data(await stream.receive(_READ_BYTES))
    res.status = parser.get_status_code()
    return res

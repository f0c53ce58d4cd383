"""A small HTTP client for load processes.

httpcore scans all requests of its pool whenever one begins or ends; with several
hundred at once its process, and not the fleet, limits the load.
"""

from collections import defaultdict
from dataclasses import dataclass, field

import anyio
import httptools
from anyio.abc import SocketStream

Address = tuple[str, int]
CONNECTION_FAILURES = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""What a request raises whose connection ends, or can't be opened."""

_READ_BYTES = 65_536


@dataclass(slots=True)
class LeanResponse:
    """A whole response, filled in by the parser's callbacks."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Take the end of the body."""
        self.complete = True


class LeanClient:
    """Keeps idle connections per address and opens as many as are needed."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[SocketStream]] = defaultdict(list)

    async def request(
        self,
        address: Address,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> LeanResponse:
        """Send a request and read the response.

        Raises one of CONNECTION_FAILURES if the connection fails.
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


async def _read_response(stream: SocketStream) -> LeanResponse:
    res = LeanResponse()
    parser = httptools.HttpResponseParser(res)
    while not res.complete:
        parser.feed_data(await stream.receive(_READ_BYTES))
    res.status = parser.get_status_code()
    return res

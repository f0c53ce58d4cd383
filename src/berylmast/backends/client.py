"""HTTP towards the local backend server."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import httpcore

from ..model import Headers
from ..settings import Address

CONNECT_TIMEOUT_S = 1.0


class BackendUnreachable(Exception):
    """No connection could be made: the request was not sent."""


class BackendCut(Exception):
    """The connection failed after the request may have been sent."""


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Head and body stream of a backend server's answer."""

    status: int
    headers: Headers
    body: AsyncIterator[bytes]


class BackendClient:
    """Sends requests to one backend server over a bounded set of connections."""

    def __init__(self, address: Address, connections: int) -> None:
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections, max_keepalive_connections=connections
        )

    @asynccontextmanager
    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: AsyncIterator[bytes] | None,
    ) -> AsyncIterator[BackendAnswer]:
        """Send one request and give its answer; leaving early cancels it.

        Raises BackendUnreachable if nothing was sent, BackendCut otherwise.
        """
        url = httpcore.URL(
            scheme=b"http",
            host=self._address.host.encode(),
            port=self._address.port,
            target=target.encode("latin-1"),
        )
        timeout = {"connect": CONNECT_TIMEOUT_S, "pool": CONNECT_TIMEOUT_S}
        try:
            async with self._pool.stream(
                method,
                url,
                headers=list(headers),
                content=body,
                extensions={"timeout": timeout},
            ) as res:
                yield BackendAnswer(res.status, res.headers, res.aiter_stream())
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as exc:
            raise BackendUnreachable(repr(exc)) from exc
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            raise BackendCut(repr(exc)) from exc

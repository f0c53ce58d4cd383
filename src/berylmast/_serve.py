"""Runs an ASGI app under uvicorn as one task of this process."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import uvicorn

from .settings import Address


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def make_server(app: Any, address: Address) -> HttpServer:
    """Return a server for one app; ``await server.serve()`` runs it."""
    return HttpServer(
        uvicorn.Config(
            app,
            host=address.host,
            port=address.port,
            http="httptools",
            interface="asgi3",
            proxy_headers=False,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=1024,
        )
    )

"""Queries the local backend server's load when no recent response has stated it."""

from collections.abc import Callable

import anyio

from ..http_client import ConnectionCut, HttpClient, ServerUnreachable, discard_body
from ..model import BackendLoad, Headers
from ..settings import Address

MAX_FRESH_AGE_S = 0.04
"""Maximum age of a load that is used without a new query. The load changes within
tenths of a second."""

QUERY_TIMEOUT_S = 0.05
"""A server that states its load responds within milliseconds, even under full load."""

FAILURE_BACKOFF_S = 2.0
"""Time without queries after a failed one, since health endpoints may hang or return
wrong data."""


class LoadMonitor:
    """Keeps the latest load that the local backend server stated.

    ``get_path`` returns the path of the endpoint whose response headers state the load,
    empty if there is none. ``on_response`` is called with the headers of each response.
    Concurrent calls of ``refresh`` share one query.
    """

    def __init__(
        self,
        address: Address,
        client: HttpClient,
        get_path: Callable[[], str],
        read_load: Callable[[Headers], BackendLoad | None],
        on_response: Callable[[Headers], None] = lambda _headers: None,
    ) -> None:
        self.query_count = 0
        self._headers = [(b"host", str(address).encode())]
        self._client = client
        self._get_path = get_path
        self._read_load = read_load
        self._on_response = on_response
        self._slowdown = 1.0
        self._recorded_s = float("-inf")
        self._query_done: anyio.Event | None = None
        self._backoff_until_s = float("-inf")

    def record(self, load: BackendLoad) -> None:
        """Store a load that was stated in a response."""
        self._slowdown = load.slowdown
        self._recorded_s = anyio.current_time()

    def get_slowdown(self, max_age_s: float) -> float:
        """Return the slowdown, 1.0 if none is known within ``max_age_s`` seconds.

        The slowdown is the current duration of work relative to the usual one.
        """
        age_s = anyio.current_time() - self._recorded_s
        return self._slowdown if age_s <= max_age_s else 1.0

    async def refresh(self) -> None:
        """Query the load unless a recent one is known or the last query failed.

        Returns within ``QUERY_TIMEOUT_S``.
        """
        now_s = anyio.current_time()
        path = self._get_path()
        fresh = now_s - self._recorded_s <= MAX_FRESH_AGE_S
        if not path or fresh or now_s < self._backoff_until_s:
            return
        if self._query_done is not None:
            await self._query_done.wait()
            return
        self._query_done = anyio.Event()
        try:
            await self._query(path)
        finally:
            self._query_done.set()
            self._query_done = None

    async def _query(self, path: str) -> None:
        self.query_count += 1
        load: BackendLoad | None = None
        try:
            with anyio.fail_after(QUERY_TIMEOUT_S):
                call = self._client.send("GET", path, self._headers, None)
                async with call as response:
                    load = self._read_load(response.headers)
                    self._on_response(response.headers)
                    await discard_body(response)
        except (ServerUnreachable, ConnectionCut, TimeoutError):
            # Real requests will report what is wrong with the backend server.
            load = None
        if load is None:
            self._backoff_until_s = anyio.current_time() + FAILURE_BACKOFF_S
        else:
            self.record(load)

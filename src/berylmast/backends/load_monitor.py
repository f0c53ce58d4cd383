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


HealthListener = Callable[[float, int, Headers], None]


class LoadMonitor:
    """Keeps the latest load that the local backend server stated.

    ``get_path`` returns the path of the endpoint whose response headers state the load,
    empty if there is none. ``on_response`` is called with the headers of each response.
    ``on_health`` is called with the time at which the query was sent, the status and
    the headers. Concurrent calls share one query.
    """

    def __init__(
        self,
        address: Address,
        client: HttpClient,
        get_path: Callable[[], str],
        read_load: Callable[[Headers], BackendLoad | None],
        on_response: Callable[[Headers], None] = lambda _headers: None,
        on_health: HealthListener = lambda _sent_s, _status, _headers: None,
    ) -> None:
        self.query_count = 0
        self._response_count = 0
        self._headers = [(b"host", str(address).encode())]
        self._client = client
        self._get_path = get_path
        self._read_load = read_load
        self._on_response = on_response
        self._on_health = on_health
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
        await self._query_shared(path, QUERY_TIMEOUT_S)

    async def query(self, timeout_s: float) -> None:
        """Query the health path now, or wait for a query that is in progress.

        Sends its own query if the one in progress gets no response, as when its caller
        is cancelled.
        Does nothing without a health path.
        """
        path = self._get_path()
        if not path:
            return
        responses = self._response_count
        if self._query_done is not None:
            await self._wait_for_query(self._query_done, timeout_s)
            if self._response_count > responses:
                return
        await self._query_shared(path, timeout_s)

    async def _query_shared(self, path: str, timeout_s: float) -> None:
        if self._query_done is not None:
            await self._wait_for_query(self._query_done, timeout_s)
            return
        self._query_done = anyio.Event()
        try:
            await self._query(path, timeout_s)
        finally:
            self._query_done.set()
            self._query_done = None

    @staticmethod
    async def _wait_for_query(done: anyio.Event, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            await done.wait()

    async def _query(self, path: str, timeout_s: float) -> None:
        self.query_count += 1
        sent_s = anyio.current_time()
        load: BackendLoad | None = None
        try:
            with anyio.fail_after(timeout_s):
                call = self._client.send("GET", path, self._headers, None)
                async with call as response:
                    self._response_count += 1
                    load = self._read_load(response.headers)
                    self._on_response(response.headers)
                    self._on_health(sent_s, response.status, response.headers)
                    await discard_body(response)
        except (ServerUnreachable, ConnectionCut, TimeoutError):
            # Real requests will report what is wrong with the backend server.
            load = None
        if load is None:
            self._backoff_until_s = anyio.current_time() + FAILURE_BACKOFF_S
        else:
            self.record(load)

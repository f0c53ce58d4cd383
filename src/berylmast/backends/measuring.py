"""Asks the local backend server for its load when no recent answer has told it."""

from collections.abc import Callable

import anyio

from ..http_client import ConnectionCut, HttpClient, ServerUnreachable
from ..model import BackendLoad, Headers
from ..settings import Address

FRESH_S = 0.04
"""A load stated this recently is still true: it changes within tenths of a second."""

TIMEOUT_S = 0.05
"""A server that states its load answers within milliseconds, however busy it is."""

PAUSE_S = 2.0
"""Time without questions after one that failed: health checks may hang or lie."""


class LoadMeter:
    """Keeps the newest load that the local backend server stated.

    ``get_path`` returns the path that answers with the load, empty if there is none.
    Questions asked at the same time share one call.
    """

    def __init__(
        self,
        address: Address,
        client: HttpClient,
        get_path: Callable[[], str],
        read_load: Callable[[Headers], BackendLoad | None],
    ) -> None:
        self.questions = 0
        self._headers = [(b"host", str(address).encode())]
        self._client = client
        self._get_path = get_path
        self._read_load = read_load
        self._slowdown = 1.0
        self._stated_s = float("-inf")
        self._asking: anyio.Event | None = None
        self._paused_until_s = float("-inf")

    def record(self, load: BackendLoad) -> None:
        """Keep the load that an answer states."""
        self._slowdown = load.slowdown
        self._stated_s = anyio.current_time()

    def get_slowdown(self, max_age_s: float) -> float:
        """Return how long work takes now, 1.0 if usual or if it is not known."""
        age_s = anyio.current_time() - self._stated_s
        return self._slowdown if age_s <= max_age_s else 1.0

    async def refresh(self) -> None:
        """Ask the backend server unless its load is known; returns within TIMEOUT_S."""
        now_s = anyio.current_time()
        path = self._get_path()
        fresh = now_s - self._stated_s <= FRESH_S
        if not path or fresh or now_s < self._paused_until_s:
            return
        if self._asking is not None:
            await self._asking.wait()
            return
        self._asking = anyio.Event()
        try:
            await self._ask(path)
        finally:
            self._asking.set()
            self._asking = None

    async def _ask(self, path: str) -> None:
        self.questions += 1
        load: BackendLoad | None = None
        try:
            with anyio.fail_after(TIMEOUT_S):
                call = self._client.send("GET", path, self._headers, None)
                async with call as answer:
                    load = self._read_load(answer.headers)
                    async for _ in answer.body:
                        pass
        except (ServerUnreachable, ConnectionCut, TimeoutError):
            # The requests themselves will tell what is wrong with it.
            load = None
        if load is None:
            self._paused_until_s = anyio.current_time() + PAUSE_S
        else:
            self.record(load)

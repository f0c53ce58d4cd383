"""Lets exactly one of two attempts send its response to the caller."""

import anyio

from ..model import Headers
from .context import ResponseSink

FIRST_ERROR_STATUS = 500


class Race:
    """The attempts of one request that run at the same time.

    The first head of a success (2xx) wins. An attempt with another status holds its
    head back until the other attempt has a head too or has ended. Of two such heads the
    first one wins, unless it alone is a server error (5xx). The other attempts are
    cancelled before the head of the winner is sent, at ``decided_s`` on the event
    loop's clock.
    """

    def __init__(self, response: ResponseSink) -> None:
        self.response = response
        self.winner: RacingSink | None = None
        self.decided_s: float | None = None
        self._sinks: list[RacingSink] = []

    def add(self) -> "RacingSink":
        """Return the sink of an attempt that may be run in its scope."""
        sink = RacingSink(self)
        self._sinks.append(sink)
        return sink

    def claim(self, sink: "RacingSink") -> bool:
        """Return whether an attempt that has received its head may send it now."""
        if self.winner is not None:
            return self.winner is sink
        rival = self._find_running_rival(sink)
        if rival is None or 200 <= sink.received_status < 300:
            self._set_winner(sink)
        elif rival.received_status:
            self._set_winner(_choose_better(rival, sink))
        return self.winner is sink

    def withdraw(self, sink: "RacingSink") -> None:
        """Record that an attempt has ended without a response."""
        sink.running = False
        rival = self._find_running_rival(sink)
        if self.winner is None and rival is not None and rival.received_status:
            self._set_winner(rival)

    def _find_running_rival(self, sink: "RacingSink") -> "RacingSink | None":
        for rival in self._sinks:
            if rival is not sink and rival.running:
                return rival
        return None

    def _set_winner(self, winner: "RacingSink") -> None:
        self.winner = winner
        self.decided_s = anyio.current_time()
        for sink in self._sinks:
            if sink is not winner:
                sink.scope.cancel()
        winner.released.set()


class RacingSink:
    """The response of one attempt, which is relayed only if the attempt wins.

    The attempt runs in ``scope`` and is ``running`` from when it is sent until it ends
    without a response. ``received_status`` is 0 until its head has arrived, at
    ``received_s`` on the event loop's clock.
    """

    def __init__(self, race: Race) -> None:
        self.started = False
        self.finished = False
        self.status = 0
        self.body_bytes = 0
        self.running = False
        self.received_status = 0
        self.received_s = 0.0
        self.scope = anyio.CancelScope()
        self.released = anyio.Event()
        self._race = race

    async def start(self, status: int, headers: Headers) -> None:
        """Relay the head if this attempt wins; otherwise wait to be cancelled."""
        self.received_status = status
        self.received_s = anyio.current_time()
        if not self._race.claim(self):
            await self.released.wait()
        self.started = True
        self.status = status
        await self._race.response.start(status, headers)

    async def send_part(self, data: bytes) -> None:
        """Relay a part of the body."""
        self.body_bytes += len(data)
        await self._race.response.send_part(data)

    async def finish(self) -> None:
        """Relay the end."""
        self.finished = True
        await self._race.response.finish()


def _choose_better(first: RacingSink, second: RacingSink) -> RacingSink:
    """Return the first response, unless it alone is a server error (5xx)."""
    if second.received_status < FIRST_ERROR_STATUS <= first.received_status:
        return second
    return first

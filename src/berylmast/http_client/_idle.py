"""Idle connections to one server, and how long one may rest before it is used again."""

from collections import deque

import anyio

from ._connection import HttpConnection

KEEP_ALIVE_MARGIN = 0.3
"""Share of the stated idle time that is not used: the server may close it meanwhile."""

IDLE_LIMIT_S = 4.0
"""Idle connections are closed after this time where the server states none.

Common servers close them after 5 s. A request that meets such a close is lost, and of a
non-idempotent one nobody knows whether it ran.
"""

SHORTENED_TO = 0.5
"""Share of the rest after which a connection was lost that others may rest."""

SHORTENED_FOR_S = 15.0
SHORTEST_REST_S = 0.1
"""A connection that was lost after less did not fail because it had rested."""


class IdleConnections:
    """Keeps the connections that the next requests may use.

    Servers and what stands before them may forget a resting connection without notice;
    what is sent on it then is lost. One such loss shortens the rest of the others.
    """

    def __init__(self) -> None:
        self._idle: deque[HttpConnection] = deque()
        self._shortened_s = 0.0
        self._shortened_until_s = 0.0

    def put(self, conn: HttpConnection, keep_alive_s: float | None) -> None:
        """Keep a connection; ``keep_alive_s`` is the time that the server states."""
        now_s = anyio.current_time()
        limit_s = IDLE_LIMIT_S
        if keep_alive_s is not None:
            limit_s = keep_alive_s * (1 - KEEP_ALIVE_MARGIN)
        conn.resting_since_s = now_s
        conn.usable_until_s = now_s + limit_s
        self._idle.append(conn)

    def take(self) -> HttpConnection | None:
        """Return the connection that has rested least, None if none can be used."""
        now_s = anyio.current_time()
        self._close_expired(now_s)
        while self._idle:
            conn = self._idle.pop()
            if conn.quiet:
                conn.rested_s = now_s - conn.resting_since_s
                return conn
            conn.close()
        return None

    def record_lost(self, conn: HttpConnection) -> None:
        """Note that a connection failed before the server answered anything."""
        if conn.rested_s < SHORTEST_REST_S:
            return
        now_s = anyio.current_time()
        found_s = max(SHORTEST_REST_S, conn.rested_s * SHORTENED_TO)
        if now_s < self._shortened_until_s:
            found_s = min(found_s, self._shortened_s)
        self._shortened_s = found_s
        self._shortened_until_s = now_s + SHORTENED_FOR_S
        self._close_expired(now_s)

    def close(self) -> None:
        """Close all of them."""
        while self._idle:
            self._idle.pop().close()

    def _close_expired(self, now_s: float) -> None:
        while self._idle and self._is_expired(self._idle[0], now_s):
            self._idle.popleft().close()

    def _is_expired(self, conn: HttpConnection, now_s: float) -> bool:
        if conn.usable_until_s < now_s:
            return True
        rested_s = now_s - conn.resting_since_s
        return now_s < self._shortened_until_s and rested_s > self._shortened_s

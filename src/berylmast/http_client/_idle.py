"""Pool of idle connections to one server, with idle timeouts."""

from collections import deque

import anyio

from ._connection import HttpConnection

KEEP_ALIVE_MARGIN = 0.3
"""Fraction of the server's Keep-Alive timeout that is subtracted from it.

The server may close the connection while a request is on its way.
"""

IDLE_LIMIT_S = 4.0
"""Idle timeout if the server sends no Keep-Alive timeout.

Common servers close idle connections after 5 s. A request sent on a connection that the
server is closing fails, and it is unknown whether a non-idempotent one was executed.
"""

SHORTENED_TO = 0.5
"""Reduced idle timeout, as a fraction of the failed connection's idle time."""

SHORTENED_FOR_S = 15.0
"""How long the reduced idle timeout applies after the last failure."""

SHORTEST_REST_S = 0.1
"""Lower bound of the reduced idle timeout.

A connection that was idle for less did not fail because of its idle time.
"""


class IdleConnections:
    """Pool of idle connections, used last in, first out.

    A server or an intermediary in front of it may drop an idle connection without
    closing it; the next request on it is lost. After one such failure a reduced idle
    timeout applies to all connections for ``SHORTENED_FOR_S``.
    """

    def __init__(self) -> None:
        self._idle: deque[HttpConnection] = deque()
        self._shortened_s = 0.0
        self._shortened_until_s = 0.0

    def put(self, conn: HttpConnection, keep_alive_s: float | None) -> None:
        """Add a connection; ``keep_alive_s`` is the server's Keep-Alive timeout."""
        now_s = anyio.current_time()
        limit_s = IDLE_LIMIT_S
        if keep_alive_s is not None:
            limit_s = keep_alive_s * (1 - KEEP_ALIVE_MARGIN)
        conn.resting_since_s = now_s
        conn.usable_until_s = now_s + limit_s
        self._idle.append(conn)

    def take(self) -> HttpConnection | None:
        """Return the most recently used connection, None if none is usable."""
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
        """Reduce the idle timeout after a connection failed without a response byte."""
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
        """Close all idle connections."""
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

"""Pool of idle connections to one server, with idle timeouts."""

from collections import deque

import anyio

from ._connection import HttpConnection

KEEP_ALIVE_MARGIN_FRACTION = 0.3
"""Fraction of the server's Keep-Alive timeout that is subtracted from it.

The server may close the connection while a request is on its way.
"""

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout if the server sends no Keep-Alive timeout.

Common servers close idle connections after 5 s. A request sent on a connection that the
server is closing fails, and it is unknown whether a non-idempotent one was executed.
"""

REDUCED_TIMEOUT_FRACTION = 0.5
"""Reduced idle timeout, as a fraction of the failed connection's idle time."""

REDUCED_TIMEOUT_PERIOD_S = 15.0
"""How long the reduced idle timeout applies after the last failure."""

MIN_REDUCED_TIMEOUT_S = 0.1
"""Lower bound of the reduced idle timeout.

A connection that was idle for less did not fail because of its idle time.
"""


class IdleConnections:
    """Pool of idle connections, used last in, first out.

    A server or an intermediary in front of it may drop an idle connection without
    closing it; the next request on it is lost. After one such failure a reduced idle
    timeout applies to all connections for ``REDUCED_TIMEOUT_PERIOD_S``.
    """

    def __init__(self) -> None:
        self._connections: deque[HttpConnection] = deque()
        self._reduced_timeout_s = 0.0
        self._reduced_until_s = 0.0

    def put(self, conn: HttpConnection, keep_alive_timeout_s: float | None) -> None:
        """Add a connection; ``keep_alive_timeout_s`` is from its last response."""
        now_s = anyio.current_time()
        timeout_s = DEFAULT_IDLE_TIMEOUT_S
        if keep_alive_timeout_s is not None:
            timeout_s = keep_alive_timeout_s * (1 - KEEP_ALIVE_MARGIN_FRACTION)
        conn.idle_since_s = now_s
        conn.expires_at_s = now_s + timeout_s
        self._connections.append(conn)

    def take(self) -> HttpConnection | None:
        """Return the most recently used connection, None if none is usable."""
        now_s = anyio.current_time()
        self._close_expired(now_s)
        while self._connections:
            conn = self._connections.pop()
            if conn.is_reusable:
                conn.idle_duration_s = now_s - conn.idle_since_s
                return conn
            conn.close()
        return None

    def record_failure(self, conn: HttpConnection) -> None:
        """Reduce the idle timeout after a connection failed without a response byte."""
        if conn.idle_duration_s < MIN_REDUCED_TIMEOUT_S:
            return
        now_s = anyio.current_time()
        timeout_s = max(
            MIN_REDUCED_TIMEOUT_S, conn.idle_duration_s * REDUCED_TIMEOUT_FRACTION
        )
        if now_s < self._reduced_until_s:
            timeout_s = min(timeout_s, self._reduced_timeout_s)
        self._reduced_timeout_s = timeout_s
        self._reduced_until_s = now_s + REDUCED_TIMEOUT_PERIOD_S
        self._close_expired(now_s)

    def close(self) -> None:
        """Close all idle connections."""
        while self._connections:
            self._connections.pop().close()

    def _close_expired(self, now_s: float) -> None:
        while self._connections and self._is_expired(self._connections[0], now_s):
            self._connections.popleft().close()

    def _is_expired(self, conn: HttpConnection, now_s: float) -> bool:
        if conn.expires_at_s < now_s:
            return True
        idle_duration_s = now_s - conn.idle_since_s
        return (
            now_s < self._reduced_until_s and idle_duration_s > self._reduced_timeout_s
        )

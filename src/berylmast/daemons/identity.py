"""Who a daemon is, and the loss of a connection to it."""

from dataclasses import dataclass


class ConnectionLost(Exception):
    """The peer connection has ended or could not be established."""


@dataclass(frozen=True, slots=True)
class Identity:
    """Who a daemon is: its name and the incarnation of this process."""

    daemon: str
    incarnation: int

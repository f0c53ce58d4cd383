"""The identity of a daemon and the error of a lost connection."""

from dataclasses import dataclass


class ConnectionLost(Exception):
    """The peer connection has ended or could not be established."""


@dataclass(frozen=True, slots=True)
class Identity:
    """The name of a daemon and the incarnation of its process."""

    daemon: str
    incarnation: int

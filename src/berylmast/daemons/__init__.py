"""The protocol between daemons: frames, exchanges with flow control, connections.

An exchange is one request and its response, multiplexed with others over one connection
between two daemons.
"""

from .connection import Accept, ConnectionLost, Identity, PeerConnection
from .exchange import Exchange, ExchangeLost, connect_exchanges
from .listener import PeerListener
from .pool import PeerPool

__all__ = [
    "Accept",
    "ConnectionLost",
    "Exchange",
    "ExchangeLost",
    "Identity",
    "PeerConnection",
    "PeerListener",
    "PeerPool",
    "connect_exchanges",
]

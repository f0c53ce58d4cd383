"""The protocol between daemons: frames, exchanges with flow control, connections.

An exchange is one request and its response, multiplexed with others over one connection
between two daemons.
"""

from .connection import ConnectionLost, ExchangeHandler, Identity, PeerConnection
from .exchange import Exchange, ExchangeLost, make_exchange_pair
from .listener import PeerListener
from .pool import PeerPool

__all__ = [
    "ConnectionLost",
    "Exchange",
    "ExchangeHandler",
    "ExchangeLost",
    "Identity",
    "PeerConnection",
    "PeerListener",
    "PeerPool",
    "make_exchange_pair",
]

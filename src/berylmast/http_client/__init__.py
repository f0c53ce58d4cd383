"""HTTP client for one server: the local backend server or the platform's store."""

from ._client import HttpClient, HttpResponse, ServerUnreachable, discard_body
from ._connection import ConnectionCut

__all__ = [
    "ConnectionCut",
    "HttpClient",
    "HttpResponse",
    "ServerUnreachable",
    "discard_body",
]

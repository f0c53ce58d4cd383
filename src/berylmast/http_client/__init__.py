"""HTTP client for one server: the local backend server or the platform's store."""

from ._client import HttpAnswer, HttpClient, ServerUnreachable
from ._connection import ConnectionCut

__all__ = ["ConnectionCut", "HttpAnswer", "HttpClient", "ServerUnreachable"]

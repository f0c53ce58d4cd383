"""The entry role of a daemon: takes HTTP requests from callers and forwards them."""

from .app import make_app

__all__ = ["make_app"]

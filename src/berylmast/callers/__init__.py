"""The entry: HTTP from callers, classification, attempts, answers."""

from .app import make_app

__all__ = ["make_app"]

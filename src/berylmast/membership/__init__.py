"""What this daemon knows of services and their backend servers."""

from .directory import Directory

__all__ = ["Directory"]

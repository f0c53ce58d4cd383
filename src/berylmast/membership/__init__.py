"""What this daemon knows of services and their backend servers, and how it spreads.

Other packages need ``Directory``. The daemon imports ``Member`` from its own module:
membership reads documents, whose checks need routing, which needs the directory.
"""

from .directory import Directory

__all__ = ["Directory"]

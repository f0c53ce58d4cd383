"""The services and backend servers known to this daemon, and how that state spreads.

Only ``Directory`` is exported here. Other modules of this package are imported by
their own names, which avoids an import cycle: membership reads documents, whose checks
need routing, which needs the directory.
"""

from .directory import Directory

__all__ = ["Directory"]

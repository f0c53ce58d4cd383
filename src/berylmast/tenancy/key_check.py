"""Decides whether a request may use its route, by its key.

Load pattern: none. Answers removed keys: they must be refused also by a daemon that
can't learn of the removal. With strict revocation, a request with a key is refused
unless the configuration in force is known to have been current recently.
"""

import re
from urllib.parse import unquote

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..routes import Configuration, HostRoute, Tenant

RETRY_AFTER_S = 0.25
"""Time after which a request that was refused for old evidence may be repeated. A
daemon that reaches the store or another daemon has new evidence sooner."""


_DOT_SEGMENT = re.compile(r"[/\\]\.{1,2}([/\\;]|$)")


def needs_key(route: HostRoute, path: str) -> bool:
    """Return whether requests to a path of a route need a key.

    ``path`` is still percent-encoded. A path with dot segments needs one also on a
    public route: the server may resolve it to a path of another route (RFC 3986 section
    5.2.4).
    """
    if not route.public:
        return True
    return _DOT_SEGMENT.search(unquote(unquote(path))) is not None


def check_key(
    cfg: Configuration,
    route: HostRoute,
    path: str,
    key: bytes | None,
    *,
    is_current: bool,
) -> Result[Tenant | None, Refusal]:
    """Return the tenant of a request, None if it has none and needs none.

    ``cfg`` has tenants; without any, requests need no key.
    ``key`` is None without a key, empty if the request has no single usable key. With
    ``is_current`` the configuration is recent enough to rely on its keys.
    """
    tenant = cfg.find_tenant(key) if key else None
    if not needs_key(route, path):
        return Ok(tenant)
    if not key:
        detail = f"route {route.name} requires exactly one key"
        return Err(Refusal(ErrorKind.UNKNOWN_KEY, detail))
    if not is_current:
        # An unknown key may be a new one that has not reached this daemon yet.
        return Err(
            Refusal(
                ErrorKind.KEYS_NOT_CURRENT,
                "this daemon can't tell whether the key is still valid",
                RETRY_AFTER_S,
                tenant=tenant.name if tenant else "",
            )
        )
    if tenant is None:
        return Err(Refusal(ErrorKind.UNKNOWN_KEY, "no tenant has this key"))
    return Ok(tenant)

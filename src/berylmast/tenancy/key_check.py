"""Decides whether a request may use its route, by its key.

Load pattern: none. Answers removed keys: they must be refused also by a daemon that
can't learn of the removal. Where strict revocation is set, a request with a key is
refused unless the configuration in force is known to have been current lately.
"""

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..routes import Configuration, HostRoute, Tenant

RETRY_AFTER_S = 0.25
"""Time after which a refused request with a key may be repeated. A daemon in touch with
the store or with another daemon has new evidence sooner."""


def check_key(
    cfg: Configuration, route: HostRoute, key: bytes | None, *, is_current: bool
) -> Result[Tenant | None, Refusal]:
    """Return the tenant of a request, None if it has none and needs none.

    ``cfg`` has tenants; without any, requests need no key.
    ``key`` is None without a key, empty if the request has no single usable key. With
    ``is_current`` the configuration is recent enough to rely on its keys.
    """
    tenant = cfg.find_tenant(key) if key else None
    if route.public:
        return Ok(tenant)
    if not key:
        detail = f"route {route.name} requires exactly one key"
        return Err(Refusal(ErrorKind.UNKNOWN_KEY, detail))
    if not is_current:
        # An unknown key may be one that this daemon has not heard of yet.
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

"""Admin query that explains how this daemon would route a request."""

from collections.abc import Callable, Mapping
from dataclasses import asdict

from ..callers.classify import find_route
from ..home_regions import combine_home_regions
from ..membership import Directory
from ..routes import Configuration, HostRoute
from ..routing import Router
from ..routing.explain import Explanation
from .admin import QueryHandler

REQUIRED_PARAMETERS = ("host", "method", "path")


def make_explain_handler(
    directory: Directory,
    router: Router,
    get_configuration: Callable[[], Configuration | None] = lambda: None,
) -> QueryHandler:
    """Return the query handler that explains the routing of one request.

    The handler has no side effects. It returns ``error`` for a request that matches no
    service or route. Where the configuration has routes of hosts, the parameter
    ``tenant`` names the tenant that would send the request.
    """

    def explain(query: Mapping[str, str]) -> object:
        missing = [name for name in REQUIRED_PARAMETERS if name not in query]
        if missing:
            return {"error": f"missing parameter: {', '.join(missing)}"}
        host, method, path = (query[name] for name in REQUIRED_PARAMETERS)
        name = host.partition(":")[0].lower()
        cfg = get_configuration()
        if cfg is not None and name in cfg.routes:
            return _explain_host_route(cfg, router, name, path, query.get("tenant", ""))
        service = directory.find_service(name)
        if service is None:
            return {"error": f"no service known here answers to {host!r}"}
        route = find_route(service, method, path.partition("?")[0])
        if route is None:
            return {"error": f"no route of {service.service} for {method} {path}"}
        explanation = router.explain(service, idempotent=route.idempotent)
        return {
            "service": service.service,
            "route": f"{','.join(sorted(route.methods)) or '*'} {route.path_prefix}",
            "priority": route.priority,
            "deadline_ms": route.deadline_ms,
            "idempotent": route.idempotent,
            "policy": service.policy,
            "version": service.version,
            **_format_explanation(explanation),
        }

    return explain


def _explain_host_route(
    cfg: Configuration, router: Router, host: str, path: str, tenant_name: str
) -> object:
    """Explain a request on a host route to the service with the largest share."""
    route = cfg.find_route(host, path.partition("?")[0])
    if route is None:
        return {"error": f"no route of {host} for {path}"}
    tenant = cfg.tenants.get(tenant_name)
    if tenant is None and tenant_name:
        return {"error": f"no tenant {tenant_name!r}"}
    service = cfg.services[_get_main_service(route)]
    tenant_homes = tenant.home_regions if tenant else frozenset()
    home_regions = combine_home_regions(route.home_regions, tenant_homes)
    explanation = router.explain(
        service, idempotent=route.idempotent, home_regions=home_regions
    )
    rank = route.rank if tenant is None or tenant.rank is None else tenant.rank
    return {
        "service": service.service,
        "route": f"{route.name} {route.path_prefix}",
        "priority": str(rank),
        "deadline_ms": route.timeout_ms,
        "idempotent": route.idempotent,
        "policy": service.policy,
        "version": service.version,
        "home_regions": None if home_regions is None else sorted(home_regions),
        **_format_explanation(explanation),
    }


def _get_main_service(route: HostRoute) -> str:
    return max(route.parts, key=lambda part: part.weight).service


def _format_explanation(explanation: Explanation) -> dict[str, object]:
    return {
        "weights": dict(explanation.weights),
        "chosen": explanation.chosen,
        "reason": explanation.reason,
        "candidates": [asdict(candidate) for candidate in explanation.candidates],
    }

"""Admin query that explains how this daemon would route a request."""

from collections.abc import Mapping
from dataclasses import asdict

from ..callers.classify import find_route
from ..membership import Directory
from ..routing import Router
from .admin import QueryHandler

REQUIRED_PARAMETERS = ("host", "method", "path")


def make_explain_handler(directory: Directory, router: Router) -> QueryHandler:
    """Return the query handler that explains the routing of one request.

    The handler has no side effects. It returns ``error`` for a request that matches no
    service or route.
    """

    def explain(query: Mapping[str, str]) -> object:
        missing = [name for name in REQUIRED_PARAMETERS if name not in query]
        if missing:
            return {"error": f"missing parameter: {', '.join(missing)}"}
        host, method, path = (query[name] for name in REQUIRED_PARAMETERS)
        service = directory.find_service(host.partition(":")[0].lower())
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
            "weights": dict(explanation.weights),
            "chosen": explanation.chosen,
            "reason": explanation.reason,
            "candidates": [asdict(candidate) for candidate in explanation.candidates],
        }

    return explain

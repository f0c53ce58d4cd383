"""Validation rules that span several values of a document."""

from collections.abc import Collection, Iterator
from difflib import get_close_matches
from math import isfinite

from .models import Document, ServiceModel, ShiftModel


def find_errors(document: Document, policies: Collection[str]) -> list[str]:
    """Return one error message per violated rule."""
    return [
        *_check_priorities(document),
        *_check_hosts(document),
        *(
            f"services.{name}.{error}"
            for name, service in document.services.items()
            for error in _check_service(document, service, policies)
        ),
    ]


def _check_priorities(document: Document) -> Iterator[str]:
    names = [priority.name for priority in document.priorities]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f"priorities: {name!r} is declared more than once"
    total = sum(priority.floor for priority in document.priorities)
    if total > 1 + 1e-9:
        yield f"priorities: the floors add up to {total:.0%}, at most 100% is allowed"
    used = {
        route.priority
        for service in document.services.values()
        for route in service.routes
    }
    for index, name in enumerate(names):
        if name not in used:
            yield f"priorities.{index}: no route uses the priority {name!r}"


def _check_hosts(document: Document) -> Iterator[str]:
    owners: dict[str, str] = {}
    for name, service in document.services.items():
        for host in sorted(service.hosts):
            if host != host.lower():
                yield f"services.{name}.hosts: {host!r} must be lowercase"
            other = owners.setdefault(host.lower(), name)
            if other != name:
                yield f"services.{name}.hosts: {host!r} is used by service {other!r}"


def _check_service(
    document: Document, service: ServiceModel, policies: Collection[str]
) -> Iterator[str]:
    if service.slots > service.connections:
        yield (
            f"slots: {service.slots} slots exceed the limit of "
            f"{service.connections} connections"
        )
    if service.policy not in policies:
        yield f"policy: {_describe_unknown(service.policy, policies)}"
    known = [priority.name for priority in document.priorities]
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(service.routes):
        if route.priority not in known:
            yield f"routes.{index}.priority: {_describe_unknown(route.priority, known)}"
        for method in sorted(route.methods) or ["*"]:
            if method != method.upper():
                yield f"routes.{index}.methods: {method!r} must be uppercase"
            if (method, route.path) in seen:
                yield (
                    f"routes.{index}: {method} {route.path} is declared in more than "
                    "one route"
                )
            seen.add((method, route.path))
    if service.shift is not None:
        yield from _check_shift(service, service.shift)


def _check_shift(service: ServiceModel, shift: ShiftModel) -> Iterator[str]:
    last = len(shift.steps) - 1
    if shift.current > last:
        yield f"shift.current: {shift.current} is out of range; the last step is {last}"
    start_times = [step.starts_at for step in shift.steps if step.starts_at is not None]
    if any(start.tzinfo is None for start in start_times):
        yield "shift.steps: every starts_at needs a time zone"
    elif start_times != sorted(start_times):
        yield "shift.steps: starts_at must not decrease from one step to the next"
    for index, step in enumerate(shift.steps):
        path = f"shift.steps.{index}.weights"
        for region, weight in step.weights.items():
            if region not in service.regions:
                yield f"{path}: {_describe_unknown(region, service.regions)}"
            elif weight < 0:
                yield f"{path}.{region}: {weight} is negative"
            elif weight > 0 and service.regions[region].backends == 0:
                yield f"{path}.{region}: the region has no backend server"
        if not any(weight > 0 for weight in step.weights.values()):
            yield f"{path}: no region has a weight above 0"
        if not isfinite(sum(step.weights.values())):
            yield f"{path}: the sum of the weights is too large"


def _describe_unknown(value: str, known: Collection[str]) -> str:
    close = get_close_matches(value, known, n=1)
    hint = f"did you mean {close[0]!r}?" if close else f"known: {', '.join(known)}"
    return f"{value!r} is not declared; {hint}"

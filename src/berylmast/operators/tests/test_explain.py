"""Guards against an explanation that differs from the actual routing."""

import json
from pathlib import Path
from random import Random
from typing import Any
from urllib.parse import urlencode

import pytest

from ...lifecycle import Lifecycle
from ...membership import Directory
from ...model import Endpoint
from ...routes import Configuration, HostRoute, RoutePart, Tenant
from ...routing import Router
from ...telemetry import RequestRecorder
from ..daemon_admin import make_daemon_admin
from ..document import make_slice, parse_document
from ..explain import make_explain_handler

EXAMPLE = Path(__file__).parents[4] / "examples" / "kalvola.json5"

pytestmark = pytest.mark.anyio


async def call_explain(query: dict[str, str]) -> Any:
    directory = Directory()
    document = parse_document(EXAMPLE.read_text())
    directory.put_slice(make_slice(document, "orders", 7))
    record = Endpoint("o1", "orders", "127.0.0.1", 1, "north", "n1", 1, 1)
    directory.put_endpoint(record)
    router = Router(directory, region="north", failure_domain="n1", rng=Random(1))
    explain = make_explain_handler(directory, router)
    app = make_daemon_admin(
        RequestRecorder(None), Lifecycle(), None, dict, dict, explain
    )
    sent: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    text = urlencode(query).encode()
    scope = {"method": "GET", "path": "/explain", "query_string": text}
    await app(scope, None, send)
    return json.loads(sent[1]["body"])


@pytest.mark.parametrize(
    ("method", "path", "priority", "idempotent"),
    [("GET", "/orders", "normal", True), ("POST", "/orders?x=1", "urgent", False)],
)
async def test_route_of_a_request(
    method: str, path: str, priority: str, idempotent: bool
) -> None:
    response = await call_explain({"host": "Orders:80", "method": method, "path": path})
    assert (response["priority"], response["idempotent"]) == (priority, idempotent)
    assert (response["version"], response["chosen"]) == (7, "o1")
    assert response["candidates"][0]["failure_domain"] == "n1"


ROUTE = HostRoute(
    "browse",
    "/",
    (RoutePart("rare", 0.1), RoutePart("orders", 0.9)),
    True,
    5,
    3000,
    1000,
    2,
    home_regions=frozenset({"north", "south"}),
)
TENANTS = {
    "a": Tenant("a", rank=1, home_regions=frozenset({"south"})),
    "b": Tenant("b", home_regions=frozenset({"east"})),
    "c": Tenant("c"),
}


@pytest.mark.parametrize(
    ("query", "expected", "ineligible_reasons"),
    [
        ({}, ("5", ["north", "south"], "o1"), ["failure domain evacuated", ""]),
        ({"tenant": "c"}, ("5", ["north", "south"], "o1"), [""]),
        ({"tenant": "a"}, ("1", ["south"], None), ["outside the home regions"]),
        ({"tenant": "b"}, ("5", [], None), ["outside the home regions"]),
    ],
)
async def test_host_route_with_homes_and_evacuations(
    query: dict[str, str],
    expected: tuple[str, list[str], str | None],
    ineligible_reasons: list[str],
) -> None:
    """Guards against operators who can't see why a request has no server."""
    directory = Directory()
    service = make_slice(parse_document(EXAMPLE.read_text()), "orders", 7)
    directory.put_slice(service)
    for name, domain in (("o1", "n1"), ("o2", "n2")):
        directory.put_endpoint(
            Endpoint(name, "orders", "127.0.0.1", 1, "north", domain, 1, 1)
        )
    router = Router(
        directory,
        region="north",
        failure_domain="n1",
        rng=Random(1),
        get_evacuated=lambda: frozenset({"n2"}),
    )
    cfg = Configuration(7, {"shop": (ROUTE,)}, {"orders": service}, tenants=TENANTS)
    explain = make_explain_handler(directory, router, lambda: cfg)
    response: Any = explain({"host": "Shop:80", "method": "GET", "path": "/"} | query)
    found = (response["priority"], response["home_regions"], response["chosen"])
    assert found == expected
    reasons = [candidate["ineligible_reason"] for candidate in response["candidates"]]
    assert set(ineligible_reasons) <= set(reasons)
    assert ("" in reasons) == (response["chosen"] is not None)


async def test_unknown_tenant_is_an_error() -> None:
    cfg = Configuration(7, {"shop": (ROUTE,)}, {}, tenants=TENANTS)
    router = Router(Directory(), region="r", failure_domain="d", rng=Random(1))
    explain = make_explain_handler(Directory(), router, lambda: cfg)
    query = {"host": "shop", "method": "GET", "path": "/", "tenant": "x"}
    assert explain(query) == {"error": "no tenant 'x'"}


@pytest.mark.parametrize(
    ("query", "error"),
    [
        ({}, "missing parameter: host, method, path"),
        ({"host": "x", "method": "GET", "path": "/"}, "answers to 'x'"),
        ({"host": "orders", "method": "PUT", "path": "/"}, "no route of orders"),
    ],
)
async def test_request_without_matching_service_or_route(
    query: dict[str, str], error: str
) -> None:
    assert error in (await call_explain(query))["error"]

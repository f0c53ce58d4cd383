"""Guards against misread configurations and accepted invalid ones."""

import copy
from typing import Any

import pytest

from ...routes import Tenant
from ..configuration import parse_configuration

VALID_SPEC: dict[str, Any] = {
    "version": 7,
    "services": [
        {"name": "a", "healthPath": "/healthz", "maxConns": 260, "protocol": "h1"},
        {"name": "b", "healthPath": "/healthz", "maxConns": 60},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeout": "3000ms",
        "idleTimeout": "15s",
    },
    "virtualHosts": [
        {
            "host": "Shop.example",
            "routePaths": [
                {
                    "name": "r1",
                    "pathPrefix": "/x/",
                    "kind": "idempotent",
                    "timeout": "1000ms",
                    "targetLatency": "250ms",
                    "priority": 0,
                    "maxAttempts": 2,
                    "trafficSplit": [
                        {"service": "a", "weight": 90},
                        {"service": "b", "weight": 10},
                    ],
                },
                {
                    "name": "r2",
                    "pathPrefix": "/x/y/",
                    "kind": "upload",
                    "timeout": "2.5s",
                    "targetLatency": "400ms",
                    "priority": 1,
                    "service": "b",
                },
            ],
        }
    ],
}


def replace_value(path: str, value: object) -> dict[str, Any]:
    """Return the valid configuration with one value replaced; None removes it."""
    spec: Any = copy.deepcopy(VALID_SPEC)
    target = spec
    *keys, last = [int(k) if k.isdigit() else k for k in path.split(".")]
    for key in keys:
        target = target[key]
    if value is None:
        del target[last]
    else:
        target[last] = value
    result: dict[str, Any] = spec
    return result


def test_values_are_translated() -> None:
    cfg = parse_configuration(VALID_SPEC).unwrap()
    assert cfg.version == 7
    assert cfg.limits is not None
    assert cfg.limits.idle_timeout_s == 15.0
    assert cfg.services["b"].connections == 60
    first = cfg.find_route("shop.example", "/x/1")
    assert first is not None
    assert [(p.service, p.weight) for p in first.parts] == [("a", 90), ("b", 10)]
    assert (first.idempotent, first.timeout_ms, first.target_ms) == (True, 1000, 250)
    longest = cfg.find_route("shop.example", "/x/y/1")
    assert longest is not None
    assert (longest.name, longest.idempotent, longest.max_attempts) == ("r2", False, 1)


@pytest.mark.parametrize(
    ("host", "path"),
    [("shop.example", "/z/"), ("shop.example", "/x"), ("other.example", "/x/1")],
)
def test_request_without_matching_route(host: str, path: str) -> None:
    assert parse_configuration(VALID_SPEC).unwrap().find_route(host, path) is None


@pytest.mark.parametrize(
    "spec",
    [
        replace_value("version", None),
        replace_value("version", "7x"),
        replace_value("services", None),
        replace_value("limits.idleTimeout", "15 minutes"),
        replace_value("virtualHosts.0.routePaths.0.timeout", None),
        replace_value("virtualHosts.0.routePaths.0.trafficSplit", []),
        replace_value("virtualHosts.0.routePaths.1.service", "unknown"),
        replace_value("virtualHosts.0.routePaths.1.pathPrefix", "x/"),
        replace_value("virtualHosts", "cut"),
        "not an object",
        None,
        [],
    ],
)
def test_invalid_configuration_is_rejected(spec: object) -> None:
    """Rejecting it lets the daemon keep its last valid configuration."""
    assert parse_configuration(spec).is_err()


def test_unknown_fields_and_kinds_are_accepted() -> None:
    spec = replace_value("virtualHosts.0.routePaths.0.kind", "something-new")
    spec["extra"] = {"x": 1}
    route = parse_configuration(spec).unwrap().find_route("shop.example", "/x/1")
    assert route is not None
    assert not route.idempotent, "a route of unknown kind must not run twice"


TENANT_SPEC = {
    "name": "t1",
    "apiKeys": ["key-1", "key-2"],
    "priority": 2,
    "ratePerS": 85,
    "burst": 10,
    "homeRegions": ["north"],
}


def test_tenants_are_found_by_each_of_their_keys() -> None:
    """Guards against requests that run for another tenant, or for none."""
    spec = {**VALID_SPEC, "tenants": [TENANT_SPEC, {"name": "t2", "apiKeys": ["k"]}]}
    cfg = parse_configuration(spec).unwrap()
    expected = Tenant("t1", 2, 85.0, 10.0, frozenset({"north"}))
    assert [cfg.find_tenant(k) for k in (b"key-1", b"key-2")] == [expected, expected]
    assert cfg.find_tenant(b"k") == Tenant("t2")
    assert [cfg.find_tenant(k) for k in (b"", b"key", b"key-1 ")] == [None] * 3
    assert b"key-1" not in cfg.tenants_by_key


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("name", ""),
        ("name", "a b"),
        ("apiKeys", ["a\r\nb"]),
        ("apiKeys", [""]),
        ("ratePerS", -1),
        ("ratePerS", float("inf")),
        ("burst", -1),
        ("homeRegions", [3]),
    ],
)
def test_invalid_tenant_is_rejected(field: str, value: object) -> None:
    """Guards against values that no header, bucket or digest can carry."""
    spec = {**VALID_SPEC, "tenants": [{**TENANT_SPEC, field: value}]}
    assert parse_configuration(spec).is_err()


def test_routes_and_services_carry_homes_and_cold_limits() -> None:
    """Guards against homes and cold limits that are parsed and lost."""
    spec = replace_value("virtualHosts.0.routePaths.0.homeRegions", ["north"])
    spec["virtualHosts"][0]["routePaths"][1] |= {"public": True, "kind": "download"}
    spec["services"][0] |= {"coldStart": "3s", "coldPerS": 4.5}
    cfg = parse_configuration(spec).unwrap()
    long_prefix, short_prefix = cfg.routes["shop.example"]
    assert (long_prefix.public, long_prefix.idempotent) == (True, True)
    assert short_prefix.home_regions == {"north"}
    assert not short_prefix.public
    cold, warm = cfg.services["a"], cfg.services["b"]
    assert (cold.cold_start_s, cold.cold_rate_per_s) == (3.0, 4.5)
    assert (warm.cold_start_s, warm.cold_rate_per_s) == (0.0, None)

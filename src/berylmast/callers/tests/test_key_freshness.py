"""Guards against keys accepted from an old configuration, or refused needlessly.

The requests go through the entry, an owner and its backend server.
"""

import logging
from dataclasses import dataclass, replace
from typing import Any

import pytest
from result import Ok

from ...membership import Directory
from ...membership.active_document import ActiveDocument
from ...model import AttemptId
from ...platform.requests import make_error_response
from ...routes import Configuration
from ...settings import LimitSettings
from ...telemetry import RequestRecorder
from ...tenancy.freshness import Freshness
from ...tests.fakes import SERVICE, FakeFleet, run_fleet
from ..app import ASGIApp, make_app
from ..host_route_classifier import REFUSAL_LINES_PER_S, make_host_route_classifier
from .entry import SimulatedCaller
from .test_tenants import CONFIGURATION, INTERFACE, KEY, PUBLIC, ROUTE, WITHOUT_TENANTS

pytestmark = pytest.mark.anyio

WITHIN_S = 5.0


@dataclass
class Entry:
    """An entry whose evidence has a given age, and the fleet behind it."""

    app: ASGIApp
    freshness: Freshness
    fleet: FakeFleet

    async def call(self, *headers: tuple[bytes, bytes], path: str = "/x") -> Any:
        caller = SimulatedCaller(list(headers))

        async def app(scope: Any, receive: Any, send: Any) -> None:
            raw_path = path.encode()
            scope = {**scope, "path": path, "raw_path": raw_path, "method": "GET"}
            await self.app(scope, receive, send)

        await caller.run(app)
        return caller

    @property
    def received(self) -> list[dict[bytes, bytes]]:
        """Return the headers of all requests that ran."""
        backends = self.fleet.backends.values()
        return [headers for b in backends for headers, _ in b.received]


def make_entry(
    fleet: FakeFleet,
    *,
    age_s: float | None,
    cfg: Configuration = CONFIGURATION,
    strict: bool = True,
) -> Entry:
    """Return an entry of a fleet; without an age it has no evidence."""
    active_document = ActiveDocument(lambda _spec: Ok(cfg), Directory())
    active_document.current = replace(cfg, services={SERVICE: fleet.slice})
    clock_s = 1000.0
    freshness = Freshness(WITHIN_S, lambda: cfg.version, lambda: clock_s)
    if age_s is not None:
        freshness.record_reply(clock_s, round(age_s * 1000), cfg.version)
    classify = make_host_route_classifier(
        active_document,
        INTERFACE,
        lambda _route: SERVICE,
        lambda: AttemptId("e", 1, 1),
        lambda: SERVICE,
        freshness if strict else None,
    )
    app = make_app(
        classify,
        LimitSettings(),
        fleet.entry().forwarding_context,
        RequestRecorder(None),
        make_error_response,
    )
    return Entry(app, freshness, fleet)


@pytest.mark.parametrize(
    ("age_s", "status"), [(0.0, 200), (4.4, 200), (4.6, 503), (60.0, 503), (None, 503)]
)
async def test_key_counts_while_the_configuration_is_known_to_be_current(
    age_s: float | None, status: int
) -> None:
    """A daemon that was cut off accepted removed keys for as long as it ran."""
    async with run_fleet() as fleet:
        entry = make_entry(fleet, age_s=age_s)
        caller = await entry.call((b"x-api-key", KEY))
        assert caller.status == status
        if status == 200:
            (headers,) = entry.received
            assert headers[b"x-tenant"] == b"a"
            assert b"x-api-key" not in headers
            return
        headers = dict(caller.sent[0]["headers"])
        assert headers[b"berylmast-outcome"] == b"not-run"
        assert 0 < float(headers[b"retry-after"]) < 1
        assert entry.received == []
        assert entry.freshness.refusals == 1


@pytest.mark.parametrize(
    ("path", "headers", "strict", "cfg", "status"),
    [
        (PUBLIC.path_prefix, [], True, CONFIGURATION, 200),
        (PUBLIC.path_prefix, [(b"x-api-key", KEY)], True, CONFIGURATION, 200),
        (ROUTE.path_prefix, [], True, CONFIGURATION, 401),
        (ROUTE.path_prefix, [(b"x-api-key", b"")], True, CONFIGURATION, 401),
        (ROUTE.path_prefix, [(b"x-api-key", b"new")], True, CONFIGURATION, 503),
        (ROUTE.path_prefix, [(b"x-api-key", KEY)], False, CONFIGURATION, 200),
        (ROUTE.path_prefix, [(b"x-api-key", KEY)], True, WITHOUT_TENANTS, 200),
    ],
    ids=[
        "public",
        "public-with-key",
        "no-key",
        "empty-key",
        "key-that-may-be-new",
        "not-strict",
        "no-tenants",
    ],
)
async def test_request_without_need_of_a_key_is_unaffected(
    path: str,
    headers: list[tuple[bytes, bytes]],
    strict: bool,
    cfg: Configuration,
    status: int,
) -> None:
    """Guards against an outage of public pages while the store is down."""
    async with run_fleet() as fleet:
        entry = make_entry(fleet, age_s=None, cfg=cfg, strict=strict)
        caller = await entry.call(*headers, path=path)
        assert caller.status == status
        assert entry.freshness.refusals == int(status == 503)


async def test_refusals_are_counted_and_logged_with_a_bound(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that grows with the traffic, and against keys in it."""
    caplog.set_level(logging.INFO, "berylmast")
    async with run_fleet() as fleet:
        entry = make_entry(fleet, age_s=4.75)
        for _ in range(20):
            await entry.call((b"x-api-key", KEY))
        assert entry.freshness.refusals == 20
        records = [r for r in caplog.records if r.message == "keys_not_current"]
        assert 1 <= len(records) <= 2 * REFUSAL_LINES_PER_S
        assert vars(records[0])["tenant"] == "a"
        assert vars(records[0])["age_ms"] == 4750
        requests = [r for r in caplog.records if r.message == "request"]
        assert {vars(r)["tenant"] for r in requests} == {"a"}
        assert {vars(r)["reason"] for r in requests} == {"keys-not-current"}
        assert {vars(r)["outcome"] for r in requests} == {"not-run"}
        assert all(KEY.decode() not in repr(vars(r)) for r in caplog.records)

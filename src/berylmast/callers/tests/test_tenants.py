"""Guards against requests that run without a valid key or for another tenant."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random
from typing import Any

import anyio
import pytest
from result import Ok

from ...daemons import Exchange, make_exchange_pair
from ...daemons.frames import Continue, End, Request
from ...errors import ErrorKind
from ...limits import AdaptiveShedder, RetryBudget
from ...membership import Directory
from ...membership.active_document import ActiveDocument
from ...model import AttemptId, Endpoint, Headers, RequestHead
from ...platform.requests import (
    make_error_response,
    read_attempt_id,
    read_deadline_ms,
    read_key,
    set_caller_service,
    set_tenant,
)
from ...routes import (
    CallerLimits,
    Configuration,
    HostRoute,
    RoutePart,
    Tenant,
    hash_key,
)
from ...routing import Router
from ...settings import LimitSettings
from ...telemetry import RequestLogEntry, RequestRecorder
from ..app import TRAILERS_KEY, make_app
from ..classify import RequestClassifier
from ..forward import ForwardingContext
from ..host_route_classifier import CallerHeaderInterface, make_host_route_classifier
from .entry import CHUNKED, SLICE, SimulatedCaller, send_response

pytestmark = pytest.mark.anyio

SERVICE = "s"
KEY = b"key-of-a"
INTERFACE = CallerHeaderInterface(
    read_attempt_id, read_deadline_ms, set_caller_service, read_key, set_tenant
)
TENANT = Tenant("a", rank=1, home_regions=frozenset({"n", "s"}))
ROUTE = HostRoute("orders", "/", (RoutePart(SERVICE, 1.0),), True, 5, 3000, 1000, 2)
PUBLIC = replace(ROUTE, name="pages", path_prefix="/public/", public=True)
LIMITS = CallerLimits(10_000, 200_000, 10.0, 10.0)
CONFIGURATION = Configuration(
    version=1,
    routes={"s": (PUBLIC, ROUTE)},
    services={SERVICE: SLICE},
    limits=LIMITS,
    tenants={"a": TENANT},
    tenants_by_key={hash_key(KEY): TENANT},
)
WITHOUT_TENANTS = replace(CONFIGURATION, tenants={}, tenants_by_key={})
FORGED = (b"x-tenant", b"forged")


def make_classify(cfg: Configuration) -> RequestClassifier:
    """Return the classifier of a daemon with this configuration in force."""
    active_document = ActiveDocument(lambda _spec: Ok(cfg), Directory())
    active_document.current = cfg
    return make_host_route_classifier(
        active_document,
        INTERFACE,
        lambda route: route.parts[0].service,
        lambda: AttemptId("e", 1, 1),
        lambda: SERVICE,
    )


def make_scope(path: str, *headers: tuple[bytes, bytes]) -> dict[str, Any]:
    return {
        "method": "GET",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(b"host", b"s"), *headers],
    }


def list_tenant_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(n, v) for n, v in headers if b"tenant" in n or b"key" in n]


@pytest.mark.parametrize(
    ("path", "headers", "tenant"),
    [
        ("/x", [(b"x-api-key", KEY)], "a"),
        ("/x", [(b"x-api-key", KEY), FORGED], "a"),
        ("/x", [(b"x-api-key", KEY), (b"X_Tenant", b"forged")], "a"),
        ("/x", [(b"x-api-key", KEY), FORGED, (b"connection", b"x-tenant")], "a"),
        ("/x", [(b"x-api-key", KEY), (b"connection", b"x-api-key")], "a"),
        ("/public/x", [(b"x-api-key", KEY)], "a"),
        ("/public/x", [(b"x-api-key", b"unknown"), FORGED], ""),
        ("/public/x", [(b"x-api-key", KEY), (b"x-api-key", KEY)], ""),
        ("/public/x", [FORGED], ""),
        ("/public/x", [], ""),
    ],
)
async def test_server_gets_the_tenant_and_no_key(
    path: str, headers: Sequence[tuple[bytes, bytes]], tenant: str
) -> None:
    """Guards against keys at servers, and against callers that choose their tenant."""
    classified = await make_classify(CONFIGURATION)(make_scope(path, *headers))
    head = classified.unwrap().head
    expected = [(b"x-tenant", tenant.encode())] if tenant else []
    assert list_tenant_headers(head.headers) == expected
    assert head.tenant == tenant


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [FORGED],
        [(b"x-api-key", b"")],
        [(b"x-api-key", b"unknown")],
        [(b"x-api-key", KEY), (b"x-api-key", KEY)],
        [(b"x-api-key", KEY), (b"x-api-key", b"unknown")],
        [(b"x-api-key", KEY + b" ")],
        [(b"x-api-key", KEY.upper())],
        [(b"x_api_key", KEY)],
        [(b"authorization", KEY)],
    ],
)
async def test_request_without_a_known_key_gets_401(
    headers: Sequence[tuple[bytes, bytes]],
) -> None:
    """Guards against requests that run although no tenant sent them."""
    classified = await make_classify(CONFIGURATION)(make_scope("/x", *headers))
    refusal = classified.unwrap_err()
    assert refusal.kind is ErrorKind.UNKNOWN_KEY
    assert refusal.not_run
    assert make_error_response(refusal).status == 401
    assert KEY.decode() not in refusal.detail


@pytest.mark.parametrize("path", ["/x", "/public/x"])
async def test_headers_pass_if_there_are_no_tenants(path: str) -> None:
    """Guards against changed traffic of deployments without tenants."""
    headers = [(b"x-api-key", KEY), FORGED, (b"x_tenant", b"1")]
    scope = make_scope(path, *headers)
    request = (await make_classify(WITHOUT_TENANTS)(scope)).unwrap()
    assert list_tenant_headers(request.head.headers) == headers
    assert request.head.tenant == ""
    assert request.filter_trailers(headers) == tuple(headers)


async def test_request_without_a_configuration_gets_503() -> None:
    """Guards against 401 or 404 from a daemon that can't know keys and routes yet."""
    active_document = ActiveDocument(lambda _spec: Ok(CONFIGURATION), Directory())
    classify = make_host_route_classifier(
        active_document,
        INTERFACE,
        lambda route: route.parts[0].service,
        lambda: AttemptId("e", 1, 1),
        lambda: SERVICE,
    )
    refusal = (await classify(make_scope("/x"))).unwrap_err()
    assert make_error_response(refusal).status == 503


@pytest.mark.parametrize(
    ("tenant_rank", "expected"), [(None, 5), (0, 0), (1, 1), (9, 9), (-1, -1)]
)
async def test_rank_of_the_tenant_replaces_that_of_the_route(
    tenant_rank: int | None, expected: int
) -> None:
    """Guards against urgent tenants that wait behind the route's usual work."""
    tenant = replace(TENANT, rank=tenant_rank)
    cfg = replace(CONFIGURATION, tenants_by_key={hash_key(KEY): tenant})
    scope = make_scope("/x", (b"x-api-key", KEY))
    head = (await make_classify(cfg)(scope)).unwrap().head
    assert (head.rank, head.priority) == (expected, str(expected))


@pytest.mark.parametrize(
    ("of_route", "of_tenant", "expected"),
    [
        ("", "", None),
        ("ns", "", "ns"),
        ("", "n", "n"),
        ("ns", "nw", "n"),
        ("n", "s", ""),
    ],
)
async def test_home_regions_are_those_of_route_and_tenant(
    of_route: str, of_tenant: str, expected: str | None
) -> None:
    """Guards against requests that leave the homes of their route or their tenant."""
    route = replace(ROUTE, home_regions=frozenset(of_route))
    tenant = replace(TENANT, home_regions=frozenset(of_tenant))
    cfg = replace(
        CONFIGURATION,
        routes={"s": (route,)},
        tenants_by_key={hash_key(KEY): tenant},
    )
    scope = make_scope("/x", (b"x-api-key", KEY))
    request = (await make_classify(cfg)(scope)).unwrap()
    homes = None if expected is None else frozenset(expected)
    assert request.home_regions == homes


class KeptEntries(RequestRecorder):
    """Keeps the log entries of requests."""

    def __init__(self) -> None:
        super().__init__(None)
        self.entries: list[RequestLogEntry] = []

    def record_request(self, entry: RequestLogEntry) -> None:
        self.entries.append(entry)
        super().record_request(entry)


class Owner:
    """Answers each request and keeps its head and trailers."""

    def __init__(self) -> None:
        self.heads: list[RequestHead] = []
        self.trailers: list[Headers] = []

    async def serve(self, exchange: Exchange) -> None:
        frame = await exchange.receive()
        assert isinstance(frame, Request)
        self.heads.append(frame.head)
        if frame.head.has_body:
            await self._read_body(exchange)
        await send_response(exchange, End(exchange.id))

    async def _read_body(self, exchange: Exchange) -> None:
        await exchange.send(Continue(exchange.id))
        while not isinstance(frame := await exchange.receive(), End):
            pass
        self.trailers.append(frame.trailers)


def make_entry(owner: Owner, recorder: RequestRecorder) -> Any:
    """Return an entry whose requests go to one simulated owner."""
    directory = Directory()
    directory.put_slice(SLICE)
    directory.put_endpoint(Endpoint("b1", SERVICE, "127.0.0.1", 1, "n", "d", 1, 1))

    @asynccontextmanager
    async def open_exchange(endpoint: Endpoint) -> AsyncIterator[Exchange]:
        entry_side, owner_side = make_exchange_pair()
        async with anyio.create_task_group() as tg:
            tg.start_soon(owner.serve, owner_side)
            yield entry_side
            tg.cancel_scope.cancel()

    context = ForwardingContext(
        router=Router(directory, region="n", failure_domain="d", rng=Random(1)),
        retries=RetryBudget(),
        shedder=AdaptiveShedder(Random(1)),
        open_exchange=open_exchange,
        next_attempt=lambda: AttemptId("e", 1, 1),
        endpoints=directory.endpoints,
    )
    classify = make_classify(CONFIGURATION)
    return make_app(classify, LimitSettings(), context, recorder, make_error_response)


@pytest.mark.parametrize(
    ("key", "status", "tenant", "reason"),
    [(KEY, 200, "a", ""), (b"unknown", 401, "", "unknown-key")],
)
async def test_key_reaches_neither_owner_nor_log(
    key: bytes, status: int, tenant: str, reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against keys that leave the entry, and log lines without a reason."""
    owner, recorder = Owner(), KeptEntries()
    caller = SimulatedCaller([(b"x-api-key", key), FORGED, *CHUNKED])
    app = make_entry(owner, recorder)

    async def app_with_trailers(scope: Any, receive: Any, send: Any) -> None:
        trailers = [FORGED, (b"x-api-key", key), (b"sum", b"1")]
        await app({**scope, TRAILERS_KEY: trailers}, receive, send)

    caller.send_body(b"body", more=False)
    await caller.run(app_with_trailers)
    assert caller.status == status
    assert [(e.tenant, e.reason) for e in recorder.entries] == [(tenant, reason)]
    if status == 200:
        sent = list_tenant_headers(owner.heads[0].headers)
        assert sent == [(b"x-tenant", b"a")]
        assert [list(t) for t in owner.trailers] == [[(b"sum", b"1")]]
    else:
        assert owner.heads == []
    seen = repr((owner.heads, owner.trailers, recorder.entries, caller.sent))
    assert key.decode() not in seen.replace("unknown-key", "")
    assert key.decode() not in caplog.text.replace("unknown-key", "")

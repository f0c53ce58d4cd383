"""Factories for the endpoints, reports, slices and routers used by these tests."""

from random import Random
from typing import Any

from ...errors import ErrorKind
from ...membership import Directory
from ...model import AttemptResult, Budgets, Endpoint, LoadReport, ServiceSlice
from ..policies import Candidate
from ..router import Router

OK = AttemptResult(True, False, 0.01, status=200)
STATUS_500 = AttemptResult(True, False, 0.001, status=500)
OVERLOADED = AttemptResult(False, True, 0.001, kind=ErrorKind.OVERLOADED)
UNREACHABLE = AttemptResult(False, True, 0.001, kind=ErrorKind.PEER_UNREACHABLE)


def make_endpoint(
    backend: str, region: str = "north", domain: str = "n1", incarnation: int = 1
) -> Endpoint:
    return Endpoint(backend, "pages", "127.0.0.1", 1, region, domain, incarnation, 1)


def make_report(backend: str, seq: int = 1, **changes: Any) -> LoadReport:
    values: dict[str, Any] = {
        "in_flight": 0,
        "queued": 0,
        "limit": 6,
        "latency_ms": 10.0,
    }
    values |= {"incarnation": 1, "error_rate": 0.0} | changes
    return LoadReport(backend, seq=seq, **values)


def make_candidate(backend: str, **changes: Any) -> Candidate:
    values = {
        "in_flight": 0.0,
        "own": 0,
        "latency_ms": 10.0,
        "report_age_s": 0.0,
        "limit": 6,
    }
    return Candidate(make_endpoint(backend), **(values | changes))


def make_slice(**changes: Any) -> ServiceSlice:
    values: dict[str, Any] = {
        "service": "pages",
        "version": 1,
        "hosts": frozenset({"pages"}),
        "routes": (),
        "priorities": (),
        "policy": "hot_cold",
        "slots": 6,
        "connections": 260,
        "budgets": Budgets(),
    }
    return ServiceSlice(**(values | changes))


PAGES = make_slice()


def make_router(*endpoints: Endpoint, **changes: Any) -> tuple[Router, Directory]:
    directory = Directory()
    directory.put_slice(make_slice(**changes))
    for endpoint in endpoints:
        directory.put_endpoint(endpoint)
    router = Router(directory, region="north", failure_domain="n1", rng=Random(1))
    return router, directory


def choose(router: Router, service: ServiceSlice = PAGES, **options: Any) -> str:
    """Return the name of the chosen backend server, or the kind of the refusal."""
    result = router.choose(service, **({"exclude": ()} | options))
    if result.is_err():
        return result.unwrap_err().kind
    return result.unwrap().backend


def run_request(router: Router, result: AttemptResult = OK, **options: Any) -> str:
    name = choose(router, **options)
    router.record_start(name, options.get("body_bytes", 0))
    router.record_result(name, result)
    return name


def eject(router: Router, *backends: str) -> None:
    for backend in backends:
        for _ in range(5):
            router.record_start(backend)
            router.record_result(backend, UNREACHABLE)

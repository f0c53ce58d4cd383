"""Guards against operators who can't tell why requests with a key are refused."""

from typing import Any

import pytest

from berylmast_dev.objects import ObjectTable

from ..daemon_metrics import make_metrics_reader
from ..membership import Directory
from ..membership.active_document import ActiveDocument
from ..membership.registry import EndpointRegistry
from ..membership.store_calls import StoreStatus
from ..operators.revisions import DOCUMENT_KIND
from ..own_interface import parse_revision
from ..platform.platform_store import PlatformStore
from ..platform.tests.fake_store import FakeStore
from ..settings import DaemonSettings
from ..tenancy.freshness import Freshness
from ..wiring import make_freshness, make_membership_report

SETTINGS: dict[str, Any] = {
    "daemon_id": "d",
    "environment": "e",
    "region": "r",
    "failure_domain": "f",
    "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "admin": "127.0.0.1:3",
    "platform": "127.0.0.1:4",
}


def make_parts() -> tuple[ActiveDocument, EndpointRegistry, PlatformStore]:
    directory = Directory()
    document = ActiveDocument(parse_revision, directory)
    store = PlatformStore(FakeStore(ObjectTable()), DOCUMENT_KIND, "e")
    return document, EndpointRegistry(directory), store


def test_age_and_refusals_are_reported() -> None:
    document, registry, store = make_parts()
    freshness = Freshness(5.0, lambda: 0, lambda: 10.0)
    status = StoreStatus()
    read_status = make_membership_report(document, registry, store, status, freshness)
    read_metrics = make_metrics_reader(
        document, registry, store, status, None, freshness
    )
    assert read_status()["current_age_ms"] == -1  # type: ignore[index]
    freshness.record_reply(8.0, 500, 0)
    freshness.refusals = 3
    assert read_status()["current_age_ms"] == 2500  # type: ignore[index]
    values = {metric.name: metric.value for metric in read_metrics()}
    assert values["configuration_current_age_ms"] == 2500
    assert values["keys_not_current"] == 3


def test_nothing_is_reported_without_strict_revocation() -> None:
    """Guards against an alarm on a value that nothing keeps up to date."""
    document, registry, store = make_parts()
    status = StoreStatus()
    assert make_freshness(DaemonSettings(**SETTINGS), document) is None
    report = make_membership_report(document, registry, store, status)()
    assert "current_age_ms" not in report  # type: ignore[operator]
    names = [
        m.name for m in make_metrics_reader(document, registry, store, status, None)()
    ]
    assert not {"configuration_current_age_ms", "keys_not_current"} & set(names)


@pytest.mark.parametrize("within_s", [2.0, 5.0])
def test_bound_is_that_of_the_settings(within_s: float) -> None:
    document, _, _ = make_parts()
    cfg = DaemonSettings(**SETTINGS, key_revocation={"within_s": within_s})
    freshness = make_freshness(cfg, document)
    assert freshness is not None
    assert freshness.within_s == within_s

"""Binds the platform's protocol to the daemon's ``Adapter`` interface."""

from collections.abc import Callable
from random import Random

from ..adapter import Adapter
from ..callers.classify import RequestClassifier
from ..callers.host_route_classifier import (
    CallerHeaderInterface,
    make_host_route_classifier,
)
from ..limits import SLOT_LIMITS
from ..membership import Directory
from ..membership.active_document import ActiveDocument
from ..membership.store import Store
from ..model import AttemptId
from ..routing.split import SplitChooser
from ..settings import DaemonSettings, LiveSettings
from ..tenancy.freshness import Freshness
from . import configuration
from .backend_reports import make_report_app
from .evacuations import EVACUATION_KIND
from .platform_store import PlatformStore
from .requests import (
    PLATFORM_INTERFACE,
    make_error_response,
    read_attempt_id,
    read_deadline_ms,
    read_key,
    set_caller_service,
    set_tenant,
)
from .store_client import StoreClient

READY_PATH = "/v1/ready"

_HEADERS = CallerHeaderInterface(
    read_attempt_id, read_deadline_ms, set_caller_service, read_key, set_tenant
)


def _make_store(cfg: DaemonSettings) -> Store:
    client = StoreClient(cfg.platform)
    return PlatformStore(
        client,
        configuration.CONFIGURATION_KIND,
        configuration.CONFIGURATION_NAME,
        EVACUATION_KIND,
    )


def _make_classifier(
    live: LiveSettings,
    directory: Directory,
    active_document: ActiveDocument,
    rng: Random,
    next_attempt: Callable[[], AttemptId],
    freshness: Freshness | None,
) -> RequestClassifier:
    choose_service = SplitChooser(rng).choose
    return make_host_route_classifier(
        active_document,
        _HEADERS,
        choose_service,
        next_attempt,
        lambda: live.cfg.service or "",
        freshness,
    )


PLATFORM = Adapter(
    make_store=_make_store,
    parse_configuration=configuration.parse_configuration,
    make_classifier=_make_classifier,
    make_error_response=make_error_response,
    backend=PLATFORM_INTERFACE,
    make_report_app=make_report_app,
    limits=SLOT_LIMITS,
    ready_path=READY_PATH,
)

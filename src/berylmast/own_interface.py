"""The adapter of the project's own interface: documents, headers and stored kinds."""

from collections.abc import Callable
from random import Random

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from .adapter import Adapter
from .backends.interface import OWN_INTERFACE
from .callers.classify import RequestClassifier, make_classifier
from .callers.response import make_error_response
from .limits import ADAPTIVE_LIMITS
from .membership import Directory
from .membership.active_document import ActiveDocument
from .membership.store import Store
from .model import AttemptId
from .operators import DocumentError, make_slice, parse_document
from .operators.revisions import DOCUMENT_KIND
from .platform.backend_reports import make_report_app
from .platform.platform_store import PlatformStore
from .platform.store_client import StoreClient
from .routes import Configuration
from .settings import DaemonSettings, LiveSettings
from .tenancy.freshness import Freshness

READY_PATH = "/ready"


class _Revision(BaseModel):
    model_config = ConfigDict(extra="ignore")
    version: int
    text: str


def parse_revision(spec: object) -> Result[Configuration, str]:
    """Return the configuration in an accepted document, or the reason it is invalid."""
    try:
        revision = _Revision.model_validate(spec)
        document = parse_document(revision.text)
    except (ValidationError, DocumentError) as exc:
        return Err(str(exc))
    services = {
        service: make_slice(document, service, revision.version)
        for service in document.services
    }
    return Ok(Configuration(revision.version, routes={}, services=services))


def _make_store(cfg: DaemonSettings) -> Store:
    return PlatformStore(StoreClient(cfg.platform), DOCUMENT_KIND, cfg.environment)


def _make_classifier(
    live: LiveSettings,
    directory: Directory,
    active_document: ActiveDocument,
    rng: Random,
    next_attempt: Callable[[], AttemptId],
    freshness: Freshness | None,
) -> RequestClassifier:
    return make_classifier(directory, live.cfg.limits, next_attempt)


OWN = Adapter(
    make_store=_make_store,
    parse_configuration=parse_revision,
    make_classifier=_make_classifier,
    make_error_response=make_error_response,
    backend=OWN_INTERFACE,
    make_report_app=make_report_app,
    limits=ADAPTIVE_LIMITS,
    ready_path=READY_PATH,
)

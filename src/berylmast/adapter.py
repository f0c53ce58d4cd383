"""The interface between the daemon and the protocol of its users."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from result import Result

from .backends.backend_state import BackendReport, Departure
from .backends.interface import BackendInterface
from .callers.app import ASGIApp
from .callers.classify import RequestClassifier
from .callers.response import MakeErrorResponse
from .limits import Limits
from .membership import Directory
from .membership.active_document import ActiveDocument
from .membership.store import Store
from .model import AttemptId
from .routes import Configuration
from .settings import DaemonSettings, LiveSettings
from .tenancy.freshness import Freshness

HandleReport = Callable[[BackendReport], Awaitable[Result[None, str]]]
HandleDeparture = Callable[[Departure], Awaitable[Result[None, str]]]
OnInvalidMessage = Callable[[str, str], None]
"""Called with the id of a backend server and the reason its message is invalid."""

MakeClassifier = Callable[
    [
        LiveSettings,
        Directory,
        ActiveDocument,
        Random,
        Callable[[], AttemptId],
        Freshness | None,
    ],
    RequestClassifier,
]


@dataclass(frozen=True, slots=True)
class Adapter:
    """How one daemon communicates with callers, its backend server and the store.

    ``make_report_app`` returns the ASGI app to which the local backend server sends its
    reports. ``ready_path`` is the HTTP path of the platform's readiness check.
    """

    make_store: Callable[[DaemonSettings], Store]
    parse_configuration: Callable[[object], Result[Configuration, str]]
    make_classifier: MakeClassifier
    make_error_response: MakeErrorResponse
    backend: BackendInterface
    make_report_app: Callable[
        [HandleReport, HandleDeparture, OnInvalidMessage], ASGIApp
    ]
    limits: Limits
    ready_path: str

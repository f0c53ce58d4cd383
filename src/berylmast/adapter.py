"""The typed port between the product and the protocol that its users speak."""

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

TakeReport = Callable[[BackendReport], Awaitable[Result[None, str]]]
TakeDeparture = Callable[[Departure], Awaitable[Result[None, str]]]
ReportUnusable = Callable[[str, str], None]
"""Is told the id of a backend server and why its message can't be used."""

MakeClassifier = Callable[
    [LiveSettings, Directory, ActiveDocument, Random, Callable[[], AttemptId]],
    RequestClassifier,
]


@dataclass(frozen=True, slots=True)
class Adapter:
    """What one daemon speaks with callers, its backend server and the store.

    ``make_report_app`` gives the app that the local backend server calls.
    ``ready_path`` is where the platform asks whether callers may come.
    """

    make_store: Callable[[DaemonSettings], Store]
    parse_configuration: Callable[[object], Result[Configuration, str]]
    make_classifier: MakeClassifier
    make_error_answer: MakeErrorResponse
    backend: BackendInterface
    make_report_app: Callable[[TakeReport, TakeDeparture, ReportUnusable], ASGIApp]
    limits: Limits
    ready_path: str

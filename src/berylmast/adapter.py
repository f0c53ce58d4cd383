"""The typed port between the product and the protocol of a platform."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Result

from .backends.announced import BackendReport, Departure
from .backends.interface import BackendInterface
from .callers.answer import MakeErrorAnswer
from .callers.app import App
from .callers.routed import CallerHeaders
from .membership.store import Store
from .routes import Configuration
from .settings import Address

Handle = Callable[[BackendReport], Awaitable[Result[None, str]]]
HandleDeparture = Callable[[Departure], Awaitable[Result[None, str]]]


@dataclass(frozen=True, slots=True)
class Adapter:
    """What one daemon speaks with callers, its backend server and the store.

    ``make_report_app`` gives the app that the local backend server calls, from the
    functions that take its reports, its departure, and what can't be used.
    ``ready_path`` is where the platform asks whether callers may come.
    """

    make_store: Callable[[Address], Store]
    parse_configuration: Callable[[object], Result[Configuration, str]]
    caller_headers: CallerHeaders
    make_error_answer: MakeErrorAnswer
    backend: BackendInterface
    make_report_app: Callable[
        [Handle, HandleDeparture, Callable[[str, str], None]], App
    ]
    ready_path: str

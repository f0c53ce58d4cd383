"""The protocol between an owner and its backend server, implemented by adapters."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ..model import BackendLoad, BackendNotice, Headers, RequestHead
from .cold_state import ColdStatement
from .headers import make_backend_head


class ResponseClass(StrEnum):
    """What a response of the backend server says about its request.

    VALID: the response is forwarded. NOT_RUN: the backend server did not run the
    request. INVALID: the response can't be trusted, and the request may have run.
    """

    VALID = "valid"
    NOT_RUN = "not-run"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class BackendInterface:
    """Formats requests to the local backend server and interprets its responses.

    ``make_head`` returns the request head to send, given the remaining milliseconds and
    the id of the backend server. ``classify`` classifies a response by its status and
    headers. ``is_stray`` returns whether a response belongs to another request.
    ``read_load`` returns the load stated in the response headers, None without one.
    ``read_notice`` returns what a response with the given status and headers states
    about the server that was asked, None if another server may have sent it.
    ``read_health_notice`` does so for a response of the health endpoint, given the id
    of the backend server. ``read_health_sender`` returns the id that such a response
    names as its sender, empty if it names none. ``read_cold_statement`` returns what
    such a response with the given status states about the warm-up of the server.
    Up to ``read_ahead_bytes`` of a response body are buffered before any of it is
    forwarded, so that a request whose short response is cut off can still be retried.
    """

    make_head: Callable[[RequestHead, int, str], RequestHead]
    classify: Callable[[int, Headers], ResponseClass]
    is_stray: Callable[[RequestHead, Headers], bool]
    read_load: Callable[[Headers], BackendLoad | None]
    read_notice: Callable[[int, Headers], BackendNotice | None]
    read_health_notice: Callable[[str, Headers], BackendNotice | None]
    read_health_sender: Callable[[Headers], str]
    read_cold_statement: Callable[[str, int, Headers], ColdStatement]
    read_ahead_bytes: int = 0


OWN_INTERFACE = BackendInterface(
    make_head=lambda head, remaining_ms, _: make_backend_head(head, remaining_ms),
    classify=lambda _status, _headers: ResponseClass.VALID,
    is_stray=lambda _head, _headers: False,
    read_load=lambda _headers: None,
    read_notice=lambda _status, _headers: None,
    read_health_notice=lambda _backend, _headers: None,
    read_health_sender=lambda _headers: "",
    read_cold_statement=lambda _backend, _status, _headers: ColdStatement(),
)

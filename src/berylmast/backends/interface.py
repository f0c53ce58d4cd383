"""What an owner speaks with its backend server, as functions that an adapter gives."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from ..model import BackendLoad, Headers, RequestHead
from .headers import make_backend_head


class Verdict(StrEnum):
    """What an answer of the backend server says about its request.

    VALID: the answer is passed on. NOT_RUN: the backend server did not run the request.
    INVALID: the answer can't be trusted, and the request may have run.
    """

    VALID = "valid"
    NOT_RUN = "not-run"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class BackendInterface:
    """Formats and readings of the traffic with the local backend server.

    ``make_head`` gives the head as sent, from the remaining milliseconds and the id of
    the backend server. ``is_stray`` tells that an answer belongs to another request.
    An answer of up to ``read_ahead_bytes`` is whole before any of it is passed on, so
    that one that is cut short can still be asked for again.
    """

    make_head: Callable[[RequestHead, int, str], RequestHead]
    judge: Callable[[int, Headers], Verdict]
    is_stray: Callable[[RequestHead, Headers], bool]
    read_load: Callable[[Headers], BackendLoad | None]
    read_ahead_bytes: int = 0


OWN_INTERFACE = BackendInterface(
    make_head=lambda head, remaining_ms, _: make_backend_head(head, remaining_ms),
    judge=lambda _status, _headers: Verdict.VALID,
    is_stray=lambda _head, _headers: False,
    read_load=lambda _headers: None,
)

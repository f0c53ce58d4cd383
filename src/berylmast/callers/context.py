"""What the attempts of a request share."""

from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from ..daemons import Exchange
from ..limits import RetryBudget, Shedder
from ..model import AttemptId, Endpoint, Headers
from ..routing import Router

OpenExchange = Callable[[Endpoint], AbstractAsyncContextManager[Exchange]]


class AnswerSink(Protocol):
    """Takes the backend server's answer.

    ``started`` once its head is out, ``finished`` once it is whole. ``status`` is that
    of the head, ``body_bytes`` counts what has passed of the body.
    """

    started: bool
    finished: bool
    status: int
    body_bytes: int

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head."""

    async def send_part(self, data: bytes) -> None:
        """Take a part of the body."""

    async def finish(self) -> None:
        """Take the end: the answer is whole."""


@dataclass(frozen=True, slots=True)
class Forwarder:
    """What the attempts of every request need.

    ``endpoints`` gives all ready endpoints of a service, for the holders of keys.
    """

    router: Router
    retries: RetryBudget
    shedder: Shedder
    open_exchange: OpenExchange
    next_attempt: Callable[[], AttemptId]
    endpoints: Callable[[str], Sequence[Endpoint]]


@dataclass(slots=True)
class Trace:
    """What happened to one request.

    ``load_age_ms`` is the age of the load report by which the last backend server was
    chosen, -1 if there was none. ``attempts`` counts the owners that were asked,
    ``sent`` the backend servers that may have seen the request. ``may_have_run`` holds
    while some attempt was sent and is not proved not to have run; ``answered`` once the
    caller has the whole answer.
    """

    backend: str = ""
    attempts: int = 0
    load_age_ms: float = -1.0
    sent: int = 0
    may_have_run: bool = False
    answered: bool = False

"""Types that are shared by the steps of forwarding a request."""

from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol

from ..daemons import Exchange
from ..errors import Refusal
from ..limits import RetryBudget, Shedder
from ..limits.hedging import Hedging
from ..model import AttemptId, Endpoint, Headers
from ..routing import Router
from .withdrawal import Withdrawals

OpenExchange = Callable[[Endpoint], AbstractAsyncContextManager[Exchange]]


class TenantQuotas(Protocol):
    """Charges requests to the quotas of their tenants."""

    def has_quota(self, tenant: str) -> bool:
        """Return whether a tenant's requests are limited."""

    async def charge(self, tenant: str) -> Refusal | None:
        """Charge one request; return why it is refused, None if it is not."""

    def give_back(self, tenant: str) -> None:
        """Take back the charge for a request that did not run."""


class ResponseSink(Protocol):
    """Receives the backend server's response.

    ``started`` is set once the head was received, ``finished`` once the response is
    complete. ``body_bytes`` is the number of body bytes received so far.
    """

    started: bool
    finished: bool
    status: int
    body_bytes: int

    async def start(self, status: int, headers: Headers) -> None:
        """Receive status and headers."""

    async def send_part(self, data: bytes) -> None:
        """Receive a part of the body."""

    async def finish(self) -> None:
        """Receive the end, which completes the response."""


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """The collaborators of forwarding, shared by all requests of an entry.

    ``retries`` is the retry budget. ``endpoints`` returns all ready endpoints of a
    service; it is used to select the holders of an idempotency key. ``withdrawals``
    holds the attempts that wait for admission. ``quotas`` is None if tenants are not
    limited. Without ``hedging`` no second copies of late requests are sent.
    """

    router: Router
    retries: RetryBudget
    shedder: Shedder
    open_exchange: OpenExchange
    next_attempt: Callable[[], AttemptId]
    endpoints: Callable[[str], Sequence[Endpoint]]
    withdrawals: Withdrawals = field(default_factory=Withdrawals)
    quotas: TenantQuotas | None = None
    hedging: Hedging | None = None


@dataclass(slots=True)
class RequestProgress:
    """How far one request has got, for the log and for decisions on its outcome.

    ``backend`` is the backend server chosen last. ``load_age_ms`` is the age of its
    load report at that time, -1 if there was none. ``attempts`` counts the owners that
    were tried, ``sent`` the backend servers that may have received the request.
    ``may_have_run`` is set while there is an attempt that was sent and is not known to
    have been refused before it ran. ``answered`` is set once the caller was sent the
    whole response. ``copies`` counts the second copies among the attempts.
    ``copy_attempt`` is the id of the last one, ``copy_result`` how it ended.
    """

    backend: str = ""
    attempts: int = 0
    load_age_ms: float = -1.0
    sent: int = 0
    may_have_run: bool = False
    answered: bool = False
    copies: int = 0
    copy_attempt: str = ""
    copy_result: str = ""

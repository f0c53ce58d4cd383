"""Selects the backend server for each attempt of a request."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..model import Endpoint
from ..routing import Router
from .attempt import may_have_reached_backend
from .classify import ClassifiedRequest

MAX_OWNERS = 4
"""Owners that one request may be sent to if its service lets busy owners spill."""

MAX_SPILLS = 2
"""Spills of one request; after these it waits in the queue of a busy backend server."""


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint of an attempt, and whether its owner may spill if it is busy."""

    endpoint: Endpoint
    may_spill: bool


class BackendSelector:
    """Keeps track of the backend servers tried for one request and selects the next.

    ``uses_retry_budget`` is set if the next attempt is charged to the retry budget: a
    backend server may have received an earlier one, or the service does not use
    spilling.
    ``max_owners`` is the number of owners that the request may be sent to.
    """

    def __init__(self, router: Router, req: ClassifiedRequest, body_bytes: int) -> None:
        self.uses_retry_budget = False
        self.max_owners = (
            MAX_OWNERS if req.service.allows_spilling else req.max_attempts
        )
        self._router = router
        self._req = req
        self._body_bytes = body_bytes
        self._failed_backends: set[str] = set()
        self._busy_backends: set[str] = set()
        self._spill_count = 0

    def choose(self) -> Result[Placement, Refusal]:
        """Select the backend server of the next attempt."""
        service = self._req.service
        spilling = service.allows_spilling and self._spill_count < MAX_SPILLS
        exclude = self._failed_backends | (self._busy_backends if spilling else set())
        choice = self._router.choose(
            service,
            exclude=exclude,
            body_bytes=self._body_bytes,
            idempotent=self._req.head.idempotent,
            home_regions=self._req.home_regions,
        )
        if choice.is_err():
            if not (spilling and self._busy_backends):
                return Err(choice.unwrap_err())
            self._spill_count = MAX_SPILLS
            return self.choose()
        endpoint = choice.unwrap()
        may_spill = spilling and self._router.has_alternative_in_region(
            service.service, exclude | {endpoint.backend}, self._req.home_regions
        )
        return Ok(Placement(endpoint, may_spill))

    def choose_copy(self, first: Endpoint) -> Placement | None:
        """Select the backend server of a copy of the attempt that runs at ``first``.

        Returns None if no server is fit for it. The owner refuses a copy that it would
        have to queue.
        """
        exclude = self._failed_backends | self._busy_backends | {first.backend}
        endpoint = self._router.choose_for_copy(
            self._req.service,
            exclude=exclude,
            body_bytes=self._body_bytes,
            home_regions=self._req.home_regions,
        )
        return None if endpoint is None else Placement(endpoint, may_spill=True)

    def record(self, endpoint: Endpoint, refusal: Refusal) -> None:
        """Record a failed attempt: exclude its backend server from the next ones."""
        if may_have_reached_backend(refusal) or not self._req.service.allows_spilling:
            self.uses_retry_budget = True
        if refusal.kind is ErrorKind.BUSY:
            self._busy_backends.add(endpoint.backend)
            self._spill_count += 1
        else:
            self._failed_backends.add(endpoint.backend)

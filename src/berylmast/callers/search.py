"""Which backend server one request tries next."""

from dataclasses import dataclass

from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..model import Endpoint
from ..routing import Router
from .attempt import is_arrival
from .classify import Classified

MAX_ASKED = 4
"""Owners asked for one request where busy ones pass it on."""

MAX_SPILLS = 2
"""Busy backend servers that pass a request on before it waits at one of them."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Where an attempt goes, and whether a busy owner may pass it on."""

    endpoint: Endpoint
    may_spill: bool


class Search:
    """The backend servers tried for one request, and what that leaves.

    ``costs_retry`` tells that the next attempt draws on the retry budget: it repeats
    one that a backend server may have seen, or no busy owner of the service passes on.
    ``most_asked`` is the number of owners that may be asked.
    """

    def __init__(self, router: Router, req: Classified, body_bytes: int) -> None:
        self.costs_retry = False
        self.most_asked = MAX_ASKED if req.service.spills else req.max_attempts
        self._router = router
        self._req = req
        self._body_bytes = body_bytes
        self._failed: set[str] = set()
        self._busy: set[str] = set()
        self._spills = 0

    def choose(self) -> Result[Placement, Refusal]:
        """Choose the backend server of the next attempt."""
        service = self._req.service
        spilling = service.spills and self._spills < MAX_SPILLS
        exclude = self._failed | (self._busy if spilling else set())
        choice = self._router.choose(
            service,
            exclude=exclude,
            body_bytes=self._body_bytes,
            idempotent=self._req.head.idempotent,
        )
        if choice.is_err():
            if not (spilling and self._busy):
                return Err(choice.unwrap_err())
            self._spills = MAX_SPILLS
            return self.choose()
        endpoint = choice.unwrap()
        may_spill = spilling and self._router.has_alternative_in_region(
            service.service, exclude | {endpoint.backend}
        )
        return Ok(Placement(endpoint, may_spill))

    def record(self, endpoint: Endpoint, refusal: Refusal) -> None:
        """Note how an attempt failed."""
        if is_arrival(refusal) or not self._req.service.spills:
            self.costs_retry = True
        if refusal.kind is ErrorKind.BUSY:
            self._busy.add(endpoint.backend)
            self._spills += 1
        else:
            self._failed.add(endpoint.backend)

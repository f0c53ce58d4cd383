"""Admission control for the local backend server."""

from collections.abc import Callable
from typing import Protocol

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..model import AttemptResult, LoadReport, RequestHead, ServiceSlice
from .admission_queue import AdmissionQueue
from .concurrency import AdaptiveLimit
from .floors import PriorityClass
from .moving_average import MovingAverage
from .tenant_queue import Waiter

EVACUATED_REFUSAL = Refusal(
    ErrorKind.DRAINING, "the failure domain of the backend server is evacuated"
)


class Permit:
    """The right to send one request to the backend server; released exactly once."""

    def __init__(self, release: Callable[[AttemptResult | None], None]) -> None:
        self._release: Callable[[AttemptResult | None], None] | None = release

    def release(self, result: AttemptResult | None) -> None:
        """Release the slot and record the result; later calls do nothing.

        ``result`` is None if the request was never sent.
        """
        if self._release is not None:
            release, self._release = self._release, None
            release(result)


class Admission(Protocol):
    """Admits, queues or refuses requests to one backend server.

    While ``draining`` is set, all new requests are refused. While ``evacuated`` is set,
    so are the queued ones; load reports don't state it, because entries keep them after
    the evacuation has ended.
    """

    draining: bool
    evacuated: bool

    @property
    def in_flight(self) -> int:
        """Return the number of requests that the backend server is processing."""

    def set_backend(self, backend: str, incarnation: int) -> None:
        """Report the load of another backend server or incarnation from now on."""

    async def acquire(self, head: RequestHead) -> Result[Permit, Refusal]:
        """Wait for a slot; return a permit, or a refusal if there is none in time."""

    def report(self) -> LoadReport:
        """Return the current load of the backend server."""


class AdaptiveAdmission:
    """Admits, queues or refuses requests up to an adaptive concurrency limit.

    ``get_slice`` returns the current service slice, or None while it is not known yet.
    """

    def __init__(
        self,
        backend: str,
        incarnation: int,
        get_slice: Callable[[], ServiceSlice | None],
    ) -> None:
        self.draining = False
        self._evacuated = False
        self._backend = backend
        self._incarnation = incarnation
        self._get_slice = get_slice
        self._queue = AdmissionQueue()
        self._limit = AdaptiveLimit()
        self._in_flight = 0
        self._seq = 0
        self._latency_ms = MovingAverage()
        self._error_rate = MovingAverage(start_from_first=False)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that the backend server is processing."""
        return self._in_flight

    @property
    def evacuated(self) -> bool:
        """Return whether the failure domain of the backend server is evacuated."""
        return self._evacuated

    @evacuated.setter
    def evacuated(self, evacuated: bool) -> None:
        """Refuse all requests, also queued ones, or admit them again."""
        self._evacuated = evacuated
        if not evacuated:
            return
        for waiter in self._queue.remove_all():
            _refuse_waiter(waiter, EVACUATED_REFUSAL)

    def set_backend(self, backend: str, incarnation: int) -> None:
        """Report the load of another backend server or incarnation from now on."""
        self._backend, self._incarnation = backend, incarnation

    async def acquire(self, head: RequestHead) -> Result[Permit, Refusal]:
        """Wait for a slot for a limited time.

        Refuses immediately while draining, if there is no slice, if the queue is full,
        or if the deadline cannot be met; otherwise refuses if no slot becomes free in
        time. On cancellation the request leaves the queue, and a slot that it was
        granted is released.
        """
        service = self._get_slice()
        if self.draining:
            return _make_refusal(ErrorKind.DRAINING, "the backend server is draining")
        if self._evacuated:
            return Err(EVACUATED_REFUSAL)
        if service is None:
            return _make_refusal(
                ErrorKind.NO_BACKEND, "no document for the service yet"
            )
        if head.deadline_ms <= 0:
            return _make_refusal(ErrorKind.DEADLINE_NOT_RUN, "deadline already passed")
        self._queue.set_priorities(service.priorities)
        priority_class = self._queue.find_class(head.priority)
        waiter = Waiter(priority_class.name, head.tenant)
        self._enqueue(priority_class, waiter, service, head)
        await self._wait_for_slot(priority_class, waiter, head)
        if waiter.refusal is not None:
            return Err(waiter.refusal)
        return Ok(self._make_permit(priority_class, waiter, head))

    def report(self) -> LoadReport:
        """Return the current load of the backend server."""
        self._seq += 1
        service = self._get_slice()
        return LoadReport(
            backend=self._backend,
            incarnation=self._incarnation,
            seq=self._seq,
            in_flight=self._in_flight,
            queued=self._queue.size,
            limit=0 if service is None else self._limit.get_limit(service.slots),
            latency_ms=self._latency_ms.value,
            error_rate=self._error_rate.value,
            draining=self.draining,
        )

    def _enqueue(
        self,
        priority_class: PriorityClass,
        waiter: Waiter,
        service: ServiceSlice,
        head: RequestHead,
    ) -> None:
        """Queue a request and grant free slots.

        If the request has to wait, refuses it if its deadline cannot be met, or evicts
        a request if the queue is too long.
        """
        now_s = anyio.current_time()
        limit = self._limit.get_limit(service.slots)
        self._queue.update_deficits(now_s, limit)
        priority_class.queue.push(waiter)
        priority_class.record_demand(now_s)
        self._grant_slots(limit, now_s)
        if waiter.granted:
            return
        if head.may_spill:
            priority_class.queue.remove(waiter)
            detail = "backend server busy; try another one"
            _refuse_waiter(waiter, Refusal(ErrorKind.BUSY, detail))
            return
        needed_s = (
            self._queue.estimate_wait_s(priority_class, limit)
            + priority_class.slot_time_s.value
        )
        if needed_s > head.deadline_ms / 1000:
            priority_class.queue.remove(waiter)
            detail = (
                f"deadline cannot be met: about {needed_s:.3f} s needed, "
                f"{head.deadline_ms} ms left"
            )
            _refuse_waiter(waiter, Refusal(ErrorKind.OVERLOADED, detail))
            return
        eviction = self._queue.find_eviction(service.slots)
        if eviction is not None:
            evicted, refusal = eviction
            self._queue.find_class(evicted.priority).queue.remove(evicted)
            _refuse_waiter(evicted, refusal)

    async def _wait_for_slot(
        self, priority_class: PriorityClass, waiter: Waiter, head: RequestHead
    ) -> None:
        """Wait until the request is granted a slot or refused."""
        if waiter.granted or waiter.refusal is not None:
            return
        remaining_s = head.deadline_ms / 1000
        max_wait_s = self._queue.get_max_wait_s(priority_class, self._get_limit())
        try:
            with anyio.move_on_after(min(max_wait_s, remaining_s)):
                await waiter.settled.wait()
        except anyio.get_cancelled_exc_class():
            if waiter.granted:
                self._make_permit(priority_class, waiter, head).release(None)
            raise
        finally:
            priority_class.queue.remove(waiter)
        if waiter.granted or waiter.refusal is not None:
            return
        if remaining_s <= max_wait_s:
            refusal = Refusal(
                ErrorKind.DEADLINE_NOT_RUN, "deadline passed while queued"
            )
        else:
            refusal = Refusal(ErrorKind.OVERLOADED, "no slot became free in time")
        _refuse_waiter(waiter, refusal)

    def _grant_slots(self, limit: int, now_s: float) -> None:
        while (waiter := self._queue.grant_next(limit, now_s)) is not None:
            self._in_flight += 1
            waiter.granted = True
            waiter.granted_s = now_s
            waiter.settled.set()

    def _make_permit(
        self, priority_class: PriorityClass, waiter: Waiter, head: RequestHead
    ) -> Permit:
        charged_s = priority_class.slot_time_s.value
        granted_s = waiter.granted_s

        def release(result: AttemptResult | None) -> None:
            now_s = anyio.current_time()
            limit = self._get_limit()
            self._queue.update_deficits(now_s, limit)
            if result is not None:
                self._record(priority_class, _get_request_kind(head), result)
                correction_s = now_s - granted_s - charged_s
                priority_class.queue.correct_charge(head.tenant, correction_s)
            priority_class.release_slot(granted_s)
            self._in_flight -= 1
            self._grant_slots(self._get_limit(), now_s)

        return Permit(release)

    def _get_limit(self) -> int:
        service = self._get_slice()
        return self._limit.get_limit(1 if service is None else service.slots)

    def _record(
        self, priority_class: PriorityClass, kind: str, result: AttemptResult
    ) -> None:
        """Update the estimates and the limit from a finished request.

        A request that was cut short counts only if it was already slow; otherwise
        callers with short deadlines would make a healthy backend server look faulty.
        """
        time_to_response_s = (
            result.latency_s
            if result.time_to_response_s is None
            else result.time_to_response_s
        )
        if result.cut_short and not self._limit.is_slow(kind, time_to_response_s):
            return
        self._error_rate.add(float(not result.ok))
        if not result.ok and not result.cut_short:
            self._limit.record_error()
            return
        priority_class.slot_time_s.add(result.latency_s)
        self._latency_ms.add(time_to_response_s * 1000)
        limit_used = 2 * self._in_flight >= self._get_limit()
        self._limit.record_success(kind, time_to_response_s, limit_used=limit_used)


def _get_request_kind(head: RequestHead) -> str:
    """Return the kind of request for which latencies are compared.

    The priority, method and first path segment stand in for the route, which the entry
    does not send.
    """
    path = head.target.partition("?")[0]
    return f"{head.priority} {head.method} {path[1:].partition('/')[0]}"


def _refuse_waiter(waiter: Waiter, refusal: Refusal) -> None:
    waiter.refusal = refusal
    waiter.settled.set()


def _make_refusal(kind: ErrorKind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind, detail))

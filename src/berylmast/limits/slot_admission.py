"""Admission control for a backend server that reports its number of slots."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..model import AttemptResult, LoadReport, RequestHead, ServiceSlice
from .active_entries import ActiveEntries
from .admission import EVACUATED_REFUSAL, Permit
from .backend_notices import BackendNotices, NoNotices
from .cold_limit import ColdLimit, NoColdLimit
from .full_slowdown import UNKNOWN_SLOWDOWN, FullSlowdownEstimator
from .moving_average import MovingAverage
from .rate_limiter import RateLimiter
from .request_queue import RequestQueue
from .scheduling import (
    SERVICE_TIME_MARGIN,
    SHORT_REQUEST_FRACTION,
    ExpectedStart,
    QueuedRequest,
    find_requests_to_refuse,
    select_next,
    sum_up_waits,
)
from .service_times import ServiceTimes
from .slowdown_meter import NoSlowdownMeter, SlowdownMeter

SPILL_SLOWDOWN = 2.0
"""Slowdown, caused by noisy neighbors on the machine, from which a request that may
spill is better served by another backend server."""

MAX_SLOWDOWN_AGE_S = 0.2
"""Age in seconds beyond which a slowdown measurement is ignored.

The load of noisy neighbors changes within tenths of a second.
"""

MIN_RETRY_AFTER_S = 0.05

FULL_CHECK_FRACTION = 1 / 50
"""Changes of the queue, as a fraction of its length, after which all requests in it are
checked for whether they can still be served. The check takes time in proportion to the
length; so a change takes the same time at any length."""

_RETRY_AFTER_JITTER = (0.75, 1.5)
_DRAINING_REFUSAL = Refusal(ErrorKind.DRAINING, "the backend server is draining")


@dataclass(slots=True, eq=False)
class _PendingRequest(QueuedRequest):
    """A queued request, until it is granted a slot or refused.

    ``in_flight`` is the number of requests at the backend server when this one
    started, including it. ``changed`` is set when the request is settled, or when it
    is its turn to wait for the next start that the rate limit allows.
    """

    granted: bool = False
    in_flight: int = 0
    refusal: Refusal | None = None
    changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def settled(self) -> bool:
        """Return whether the request was granted a slot or refused."""
        return self.granted or self.refusal is not None


class SlotAdmission:
    """Admits, queues or refuses requests, given the reported number of slots.

    ``get_slice`` returns the service slice with the slots of the current backend
    server, or None while there is no such server. ``notices`` holds the rate limit that
    the server states, ``cold_limit`` the bound while it is or may be cold; all requests
    pass here, so they hold for all entries together.
    """

    def __init__(
        self,
        backend: str,
        incarnation: int,
        get_slice: Callable[[], ServiceSlice | None],
        meter: SlowdownMeter | None = None,
        rng: Random | None = None,
        get_median_full_slowdown: Callable[[], float] = lambda: UNKNOWN_SLOWDOWN,
        notices: BackendNotices | None = None,
        cold_limit: ColdLimit | None = None,
    ) -> None:
        self._notices = notices or NoNotices()
        self._cold_limit = cold_limit or NoColdLimit()
        self._cold_limit.set_listener(self._dispatch_waiting)
        self._rate_limiter = RateLimiter()
        self._entries = ActiveEntries()
        self._draining = False
        self._evacuated = False
        self._backend = backend
        self._incarnation = incarnation
        self._get_slice = get_slice
        self._rng = rng or Random()
        self._queue: RequestQueue[_PendingRequest] = RequestQueue()
        # The request that grants the next start when the rate limit allows it.
        self._timekeeper: _PendingRequest | None = None
        self._changes_since_check = 0
        self._in_flight = 0
        self._seq = 0
        self._service_times = ServiceTimes()
        self._error_rate = MovingAverage(start_from_first=False)
        self._meter = meter or NoSlowdownMeter()
        self._full_slowdown = FullSlowdownEstimator(get_median_full_slowdown)

    @property
    def draining(self) -> bool:
        """Return whether all requests are refused."""
        return self._draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        """Refuse all requests from now on, or admit them again.

        Queued requests are refused too: they would reach the backend server at an
        unknown time after it was announced as leaving.
        """
        self._draining = draining
        if draining:
            self._refuse_queued(_DRAINING_REFUSAL)

    @property
    def evacuated(self) -> bool:
        """Return whether the failure domain of the backend server is evacuated."""
        return self._evacuated

    @evacuated.setter
    def evacuated(self, evacuated: bool) -> None:
        """Refuse all requests, also queued ones, or admit them again."""
        self._evacuated = evacuated
        if evacuated:
            self._refuse_queued(EVACUATED_REFUSAL)

    def set_backend(self, backend: str, incarnation: int) -> None:
        """Report the load of another backend server or incarnation from now on.

        Resets the sequence number, the error rate and the slowdown estimate; the
        service times are kept.
        """
        if (backend, incarnation) == (self._backend, self._incarnation):
            return
        self._backend, self._incarnation = backend, incarnation
        self._seq = 0
        self._error_rate = MovingAverage(start_from_first=False)
        self._full_slowdown.reset()

    async def acquire(self, head: RequestHead) -> Result[Permit, Refusal]:
        """Wait for a slot; refuse a request that would finish after its deadline.

        On cancellation the request leaves the queue, and a slot that it was granted
        is released.
        """
        service = self._get_slice()
        self._entries.record(head.attempt.entry, anyio.current_time())
        closed = self._find_closed_refusal()
        if closed is not None:
            return Err(closed)
        if service is None:
            return _make_refusal(ErrorKind.NO_BACKEND, "no backend server has reported")
        if service.service != head.service:
            detail = f"the backend server belongs to service {service.service}"
            return _make_refusal(ErrorKind.NO_BACKEND, detail)
        kind = _get_request_kind(head)
        request = self._make_pending(head, kind, anyio.current_time())
        if head.may_spill and await self._should_spill(request, service.slots):
            return _make_refusal(ErrorKind.BUSY, "backend server busy; try another one")
        closed = self._find_closed_refusal()
        if closed is not None:
            return Err(closed)
        now_s = anyio.current_time()
        self._queue.add(request, now_s)
        self._dispatch(service.slots, now_s)
        try:
            await self._wait_for_decision(request)
        except anyio.get_cancelled_exc_class():
            if request.granted:
                self._make_permit(kind, request).release(None)
            raise
        finally:
            self._queue.discard(request)
            self._pass_on_timekeeping(request)
        if request.refusal is not None:
            return Err(request.refusal)
        return Ok(self._make_permit(kind, request))

    def report(self) -> LoadReport:
        """Return the current load of the backend server."""
        self._seq += 1
        service = self._get_slice()
        rate_limit = self._get_rate_limit()
        return LoadReport(
            backend=self._backend,
            incarnation=self._incarnation,
            seq=self._seq,
            in_flight=self._in_flight,
            queued=len(self._queue),
            limit=0 if service is None else self._get_usable_slots(service.slots),
            latency_ms=self._service_times.mean_ms,
            error_rate=self._error_rate.value,
            draining=self._draining or service is None,
            slowdown=self._meter.get_slowdown(MAX_SLOWDOWN_AGE_S),
            full_slowdown=self._full_slowdown.estimate,
            backend_leaving=self._notices.leaving,
            rate_limit=rate_limit,
            rate_share=None
            if rate_limit is None
            else self._entries.compute_share(rate_limit, anyio.current_time()),
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests that the backend server is processing."""
        return self._in_flight

    def _find_closed_refusal(self) -> Refusal | None:
        """Return why all requests are refused, None if they are admitted."""
        if self._draining:
            return _DRAINING_REFUSAL
        return EVACUATED_REFUSAL if self._evacuated else None

    def _refuse_queued(self, refusal: Refusal) -> None:
        for request in list(self._queue):
            self._settle_refused(request, refusal)

    def _make_pending(
        self, head: RequestHead, kind: str, now_s: float
    ) -> _PendingRequest:
        deadline_s = now_s + head.deadline_ms / 1000
        target_s = deadline_s
        if head.target_ms is not None:
            target_s = now_s + head.target_ms / 1000
        service_time_s = self._service_times.estimate_s(kind)
        short = service_time_s <= SHORT_REQUEST_FRACTION * self._service_times.longest_s
        return _PendingRequest(
            head.rank,
            service_time_s,
            now_s,
            target_s,
            deadline_s,
            short,
            head.tenant,
        )

    async def _should_spill(self, request: _PendingRequest, slots: int) -> bool:
        """Return whether the request should be tried on another backend server."""
        heads = self._queue.list_heads(anyio.current_time())
        if self._select_next([*heads, request], slots) is not request:
            return True
        if self._rate_limiter.rate_per_s is not None:
            # Queries of the load would count towards the limit.
            return False
        await self._meter.refresh()
        return self._meter.get_slowdown(MAX_SLOWDOWN_AGE_S) >= SPILL_SLOWDOWN

    def _select_next(
        self, candidates: list[_PendingRequest], slots: int
    ) -> QueuedRequest | None:
        """Return the candidate to start now, or None if none may start."""
        now_s = anyio.current_time()
        if self._get_rate_wait_s(now_s) > 0:
            return None
        reserved_slots = slots - self._get_usable_slots(slots)
        return select_next(
            candidates,
            now_s,
            slots,
            self._in_flight,
            reserved_slots,
            late_may_start=self._rate_limiter.get_full_wait_s(now_s) == 0,
            get_tag=self._queue.get_tag if self._queue.has_tenants else None,
        )

    def _get_usable_slots(self, slots: int) -> int:
        return self._full_slowdown.get_usable_slots(slots)

    def _get_rate_wait_s(self, now_s: float) -> float:
        """Return the time in seconds until the rate limit allows a start."""
        self._rate_limiter.set_rate(self._get_rate_limit(), now_s)
        return max(
            self._rate_limiter.get_wait_s(now_s), self._cold_limit.get_wait_s(now_s)
        )

    def _get_expected_wait_s(self, now_s: float) -> float:
        """Return the expected time in seconds until a start is allowed."""
        return max(
            self._rate_limiter.get_wait_s(now_s),
            self._cold_limit.get_expected_wait_s(now_s),
        )

    def _get_rate_limit(self) -> float | None:
        """Return the lower of the stated limit and that of a cold server."""
        stated = self._notices.rate_limit
        cold = self._cold_limit.get_rate_limit()
        if stated is None or cold is None:
            return cold if stated is None else stated
        return min(stated, cold)

    def _dispatch_waiting(self) -> None:
        """Grant or refuse waiting requests after a limit has changed."""
        service = self._get_slice()
        if service is not None and len(self._queue):
            self._dispatch(service.slots, anyio.current_time())

    def _dispatch(self, slots: int, now_s: float) -> None:
        """Grant free slots, then refuse requests that cannot meet their deadlines."""
        self._grant_free_slots(slots, now_s)
        self._changes_since_check += 1
        if self._changes_since_check < FULL_CHECK_FRACTION * len(self._queue):
            return
        self._changes_since_check = 0
        self._refuse_hopeless(slots, now_s)

    def _refuse_hopeless(self, slots: int, now_s: float) -> None:
        """Refuse the requests that are not expected to start in time."""
        rate_per_s = self._rate_limiter.rate_per_s
        expected_starts = sum_up_waits(
            self._queue.list_in_order(now_s),
            slots,
            max(self._service_times.mean_s / slots, self._get_expected_wait_s(now_s)),
            0.0 if rate_per_s is None else 1 / rate_per_s,
        )
        backlog_s = expected_starts[-1].wait_s if expected_starts else 0.0
        requests_to_refuse = find_requests_to_refuse(
            expected_starts, now_s, slots, rate_limited=rate_per_s is not None
        )
        for expected in requests_to_refuse:
            assert isinstance(expected.item, _PendingRequest)
            detail = _describe_refusal(expected, now_s, rate_per_s)
            self._refuse_pending(expected.item, detail, backlog_s)

    def _grant_free_slots(self, slots: int, now_s: float) -> None:
        while request := self._select_next(self._queue.list_heads(now_s), slots):
            assert isinstance(request, _PendingRequest)
            self._queue.start(request)
            self._in_flight += 1
            self._rate_limiter.record_start(now_s)
            self._cold_limit.record_start(now_s)
            request.in_flight = self._in_flight
            request.granted = True
            request.changed.set()

    async def _wait_for_decision(self, request: _PendingRequest) -> None:
        """Wait until the request is granted a slot or refused.

        The wait estimate may be too low, so a request that has not started by the
        latest time at which it could still meet its deadline is refused then. Under a
        rate limit one of the waiting requests grants the next start when it is due.
        """
        latest_start_s = (
            request.deadline_s - SERVICE_TIME_MARGIN * request.service_time_s
        )
        while not request.settled:
            now_s = anyio.current_time()
            if now_s >= latest_start_s:
                detail = "no slot became free in time"
                self._refuse_pending(request, detail, request.service_time_s)
                return
            if self._timekeeper is None:
                self._timekeeper = request
            timekeeping = self._timekeeper is request
            start_wait_s = self._get_start_wait_s(now_s) if timekeeping else math.inf
            with anyio.move_on_after(min(latest_start_s - now_s, start_wait_s)):
                await request.changed.wait()
            if request.settled:
                return
            request.changed = anyio.Event()
            service = self._get_slice()
            if timekeeping and service is not None:
                self._dispatch(service.slots, anyio.current_time())

    def _get_start_wait_s(self, now_s: float) -> float:
        """Return the time in seconds until the rate limit allows another start.

        Late requests wait until no start is spent. Infinite without a limit.
        """
        wait_s = self._get_rate_wait_s(now_s)
        return wait_s or self._rate_limiter.get_full_wait_s(now_s) or math.inf

    def _pass_on_timekeeping(self, request: _PendingRequest) -> None:
        """Let another waiting request wait for the next start."""
        if self._timekeeper is not request:
            return
        self._timekeeper = next(iter(self._queue), None)
        if self._timekeeper is not None:
            self._timekeeper.changed.set()

    def _refuse_pending(
        self, request: _PendingRequest, detail: str, wait_s: float
    ) -> None:
        retry_after_s = max(
            MIN_RETRY_AFTER_S, wait_s * self._rng.uniform(*_RETRY_AFTER_JITTER)
        )
        self._settle_refused(
            request, Refusal(ErrorKind.OVERLOADED, detail, retry_after_s)
        )

    def _settle_refused(self, request: _PendingRequest, refusal: Refusal) -> None:
        request.refusal = refusal
        request.changed.set()
        self._queue.discard(request)

    def _make_permit(self, kind: str, request: _PendingRequest) -> Permit:
        def release(result: AttemptResult | None) -> None:
            self._in_flight -= 1
            if result is not None:
                self._record(kind, request, result)
            service = self._get_slice()
            if service is not None:
                self._dispatch(service.slots, anyio.current_time())

        return Permit(release)

    def _record(
        self, kind: str, request: _PendingRequest, result: AttemptResult
    ) -> None:
        if result.cut_short:
            return
        self._error_rate.add(float(not result.ok))
        if not result.ok:
            return
        self._service_times.add(kind, result.latency_s)
        service = self._get_slice()
        if request.short and service is not None:
            # Divide out the slowdown by noisy neighbors, which the response has just
            # reported.
            service_time_s = result.latency_s / self._meter.get_slowdown(
                MAX_SLOWDOWN_AGE_S
            )
            self._full_slowdown.add(service_time_s, request.in_flight, service.slots)


def _describe_refusal(
    expected: ExpectedStart, now_s: float, rate_per_s: float | None
) -> str:
    """Return why a request that waits is refused, for its caller and the log."""
    needed_s = expected.wait_s + SERVICE_TIME_MARGIN * expected.item.service_time_s
    missed = "deadline"
    if now_s + needed_s <= expected.item.deadline_s:
        missed = "latency target, and there are others on time"
    limit = "" if rate_per_s is None else f" at {rate_per_s:g} requests per second"
    return (
        f"{expected.wait_s:.3f} s expected wait{limit} plus "
        f"{expected.item.service_time_s:.3f} s expected service time "
        f"exceed the {missed}"
    )


def _get_request_kind(head: RequestHead) -> str:
    """Return the kind of request for which service times are tracked.

    The rank, method and first path segment stand in for the route, which the entry does
    not send.
    """
    path = head.target.partition("?")[0]
    return f"{head.rank} {head.method} {path[1:].partition('/')[0]}"


def _make_refusal(kind: ErrorKind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind, detail))

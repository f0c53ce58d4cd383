"""Admission control for a backend server that reports its number of slots."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import anyio
from result import Err, Ok, Result

from ..errors import ErrorKind, Refusal
from ..model import AttemptResult, LoadReport, RequestHead, ServiceSlice
from .admission import Permit
from .backlog import (
    SHORT_SHARE,
    SLOW_FACTOR,
    Waiting,
    find_hopeless,
    find_next,
    plan_turns,
)
from .estimate import MovingEstimate, TypicalTime
from .full_slowdown import UNKNOWN, FullSlowdown

FIRST_WORK_S = 0.1
"""Expected service time in seconds until the first request has finished."""

SPILL_SLOWDOWN = 2.0
"""Slowdown, caused by noisy neighbours on the machine, from which a request that may
spill is better served by another backend server."""

SLOWDOWN_AGE_S = 0.2
"""Age in seconds beyond which a slowdown measurement is ignored.

The load of noisy neighbours changes within tenths of a second.
"""

MIN_RETRY_AFTER_S = 0.05
MAX_KINDS = 64
_OTHER_KINDS = ""
_SPREAD = (0.75, 1.5)


@dataclass(slots=True, eq=False)
class _Entry(Waiting):
    granted: bool = False
    in_flight: int = 0
    refusal: Refusal | None = None
    settled: anyio.Event = field(default_factory=anyio.Event)


class Meter(Protocol):
    """Measures the current slowdown of the backend server."""

    async def refresh(self) -> None:
        """Query the backend server unless a recent value is known.

        Returns within milliseconds.
        """

    def get_slowdown(self, max_age_s: float) -> float:
        """Return the service time relative to normal.

        Returns 1.0 if there is no measurement within ``max_age_s``.
        """


class NoMeter:
    """Reports no slowdown, for backend servers that do not report their load."""

    async def refresh(self) -> None:
        """Do nothing."""

    def get_slowdown(self, max_age_s: float) -> float:
        """Return 1.0."""
        return 1.0


class SlotAdmission:
    """Admits, queues or refuses requests, given the reported number of slots.

    ``get_slice`` returns the service slice with the slots of the current backend
    server, or None while there is no such server.
    """

    def __init__(
        self,
        backend: str,
        incarnation: int,
        get_slice: Callable[[], ServiceSlice | None],
        meter: Meter | None = None,
        rng: Random | None = None,
        get_usual_slowdown: Callable[[], float] = lambda: UNKNOWN,
    ) -> None:
        self.draining = False
        self._backend = backend
        self._incarnation = incarnation
        self._get_slice = get_slice
        self._rng = rng or Random()
        self._waiting: list[_Entry] = []
        self._in_flight = 0
        self._seq = 0
        self._work: dict[str, TypicalTime] = {}
        self._latency_ms = MovingEstimate()
        self._error_rate = MovingEstimate(start_from_first=False)
        self._meter = meter or NoMeter()
        self._full_slowdown = FullSlowdown(get_usual_slowdown)

    def rename(self, backend: str, incarnation: int) -> None:
        """Report the load of another backend server or incarnation from now on.

        Resets the sequence number, the error rate and the slowdown estimate; the
        service times are kept.
        """
        if (backend, incarnation) == (self._backend, self._incarnation):
            return
        self._backend, self._incarnation = backend, incarnation
        self._seq = 0
        self._error_rate = MovingEstimate(start_from_first=False)
        self._full_slowdown.forget()

    async def acquire(self, head: RequestHead) -> Result[Permit, Refusal]:
        """Wait for a slot; refuse a request that would finish after its deadline.

        On cancellation the request leaves the queue, and a slot that it was granted
        is released.
        """
        service = self._get_slice()
        if self.draining:
            return _refuse(ErrorKind.DRAINING, "the backend server is draining")
        if service is None:
            return _refuse(ErrorKind.NO_BACKEND, "no backend server has reported")
        if service.service != head.service:
            detail = f"the backend server belongs to service {service.service}"
            return _refuse(ErrorKind.NO_BACKEND, detail)
        kind = _find_kind(head)
        item = self._make_entry(head, kind, anyio.current_time())
        if head.may_spill and await self._is_busy(item, service.slots):
            return _refuse(ErrorKind.BUSY, "backend server busy; try another one")
        now_s = anyio.current_time()
        self._waiting.append(item)
        self._advance(service.slots, now_s)
        try:
            await self._wait(item)
        except anyio.get_cancelled_exc_class():
            if item.granted:
                self._make_permit(kind, item).release(None)
            raise
        finally:
            self._remove(item)
        if item.refusal is not None:
            return Err(item.refusal)
        return Ok(self._make_permit(kind, item))

    def report(self) -> LoadReport:
        """Return the current load of the backend server."""
        self._seq += 1
        service = self._get_slice()
        return LoadReport(
            backend=self._backend,
            incarnation=self._incarnation,
            seq=self._seq,
            in_flight=self._in_flight,
            queued=len(self._waiting),
            limit=0 if service is None else self._count_useful(service.slots),
            latency_ms=self._latency_ms.value,
            error_rate=self._error_rate.value,
            draining=self.draining or service is None,
            slowdown=self._meter.get_slowdown(SLOWDOWN_AGE_S),
            full_slowdown=self._full_slowdown.found,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests that the backend server is processing."""
        return self._in_flight

    def _make_entry(self, head: RequestHead, kind: str, now_s: float) -> _Entry:
        deadline_s = now_s + head.deadline_ms / 1000
        target_s = deadline_s
        if head.target_ms is not None:
            target_s = now_s + head.target_ms / 1000
        work_s = self._estimate_work_s(kind)
        longest_s = max((known.value_s for known in self._work.values()), default=0.0)
        short = work_s <= SHORT_SHARE * longest_s
        return _Entry(head.rank, work_s, now_s, target_s, deadline_s, short)

    async def _is_busy(self, item: _Entry, slots: int) -> bool:
        """Return whether the request should be tried on another backend server."""
        if self._find_next([*self._waiting, item], slots) is not item:
            return True
        await self._meter.refresh()
        return self._meter.get_slowdown(SLOWDOWN_AGE_S) >= SPILL_SLOWDOWN

    def _find_next(self, waiting: list[_Entry], slots: int) -> Waiting | None:
        """Return the request to start now, or None if none may start."""
        now_s = anyio.current_time()
        kept = slots - self._count_useful(slots)
        return find_next(waiting, now_s, slots, self._in_flight, kept)

    def _count_useful(self, slots: int) -> int:
        return self._full_slowdown.count_useful_slots(slots)

    def _advance(self, slots: int, now_s: float) -> None:
        """Grant free slots, then refuse requests that cannot meet their deadlines."""
        while item := self._find_next(self._waiting, slots):
            assert isinstance(item, _Entry)
            self._waiting.remove(item)
            self._in_flight += 1
            item.in_flight = self._in_flight
            item.granted = True
            item.settled.set()
        mean_s = self._latency_ms.value / 1000 or FIRST_WORK_S
        turns = plan_turns(self._waiting, now_s, slots, mean_s / slots)
        backlog_s = turns[-1].wait_s if turns else 0.0
        for turn in find_hopeless(turns, now_s, slots):
            assert isinstance(turn.item, _Entry)
            detail = (
                f"{turn.wait_s:.3f} s expected wait plus {turn.item.work_s:.3f} s "
                "expected service time exceed the deadline"
            )
            self._refuse_entry(turn.item, detail, backlog_s)

    async def _wait(self, item: _Entry) -> None:
        """Wait until the request is granted a slot or refused.

        The wait estimate may be too low, so a request that has not started by the
        latest time at which it could still meet its deadline is refused then.
        """
        if item.settled.is_set():
            return
        latest_s = item.deadline_s - SLOW_FACTOR * item.work_s - anyio.current_time()
        with anyio.move_on_after(max(0.0, latest_s)):
            await item.settled.wait()
        if not item.settled.is_set():
            self._refuse_entry(item, "no slot became free in time", item.work_s)

    def _refuse_entry(self, item: _Entry, detail: str, wait_s: float) -> None:
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s * self._rng.uniform(*_SPREAD))
        item.refusal = Refusal(ErrorKind.OVERLOADED, detail, retry_after_s)
        item.settled.set()
        self._remove(item)

    def _remove(self, item: _Entry) -> None:
        if item in self._waiting:
            self._waiting.remove(item)

    def _make_permit(self, kind: str, item: _Entry) -> Permit:
        def release(result: AttemptResult | None) -> None:
            self._in_flight -= 1
            if result is not None:
                self._record(kind, item, result)
            service = self._get_slice()
            if service is not None:
                self._advance(service.slots, anyio.current_time())

        return Permit(release)

    def _estimate_work_s(self, kind: str) -> float:
        known = self._work.get(kind)
        if known is not None:
            return known.value_s
        return self._latency_ms.value / 1000 or FIRST_WORK_S

    def _record(self, kind: str, item: _Entry, result: AttemptResult) -> None:
        if result.cut_short:
            return
        self._error_rate.add(float(not result.ok))
        if not result.ok:
            return
        if kind not in self._work and len(self._work) >= MAX_KINDS:
            kind = _OTHER_KINDS
        self._work.setdefault(kind, TypicalTime()).add(result.latency_s)
        self._latency_ms.add(result.latency_s * 1000)
        service = self._get_slice()
        if item.short and service is not None:
            # Divide out the slowdown by noisy neighbours, which the response has just
            # reported.
            work_s = result.latency_s / self._meter.get_slowdown(SLOWDOWN_AGE_S)
            self._full_slowdown.add(work_s, item.in_flight, service.slots)


def _find_kind(head: RequestHead) -> str:
    """Return the kind of request for which service times are tracked.

    The rank, method and first path segment stand in for the route, which the entry does
    not send.
    """
    path = head.target.partition("?")[0]
    return f"{head.rank} {head.method} {path[1:].partition('/')[0]}"


def _refuse(kind: ErrorKind, detail: str) -> Err[Refusal]:
    return Err(Refusal(kind, detail))

"""Decides when a second copy of a late request is sent (hedged requests).

Load pattern: a backend server that is several times slower for some tenths of a second.
Its requests then take longer than nearly all others of their route, although other
servers are free. See Dean and Barroso, The Tail at Scale, 2013.

Copies are limited in three ways: by the operators' ratio of copies to requests, by the
retry budget, which the caller of this module charges, and by the load, since copies
would add work when no server has free capacity.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from ..errors import ErrorKind
from .response_times import ResponseTimes, TimeQuantiles
from .shedder import SlidingWindow

MIN_SAMPLES = 50
"""Number of times of a route that are needed before its quantiles are used."""

MIN_LATE_SAMPLES = 3
"""Number of times beyond a quantile that are needed before it is used as a delay."""

MAX_LATE_FRACTION = 0.5
"""Largest fraction of the requests that may count as late. A copy is never sent before
the median time of its route, however large the ratio of copies is."""

MIN_GAIN = 0.35
"""Least further time of half of the late requests, as a fraction of the median time. If
it were less, most copies would end after the first attempt."""

DELAY_REFRESH_S = 0.5
"""Interval in seconds at which the delay of a route is computed again."""

BURST_COPIES = 5.0
"""Largest budget of a service, in copies. One slow server delays several requests at
the same time."""

MAX_ROUTES = 200
"""Routes whose times are kept, about 60 KB each; the oldest ones are dropped first."""

MAX_SERVICES = 200

OVERLOAD_WINDOW_MIN = 10
"""Attempts in the last second from which refusals are taken as a sign of overload."""

MAX_REFUSED_SHARE = 0.1
"""Share of a service's attempts in the last second that owners may refuse for lack of
capacity. Beyond it the service counts as overloaded."""

MAX_USE = 0.8
"""Reported use of a service's slots beyond which it counts as overloaded."""

CAPACITY_KINDS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.TENANT_LIMIT,
        ErrorKind.SHED,
        ErrorKind.BUSY,
        ErrorKind.DEADLINE_NOT_RUN,
    }
)
"""Refusals that indicate a lack of capacity."""

DelayRule = Callable[[TimeQuantiles, float], float | None]
"""Returns the delay in seconds after which a request of a route counts as late, given
the route's times and the ratio of copies to requests; None if no copy is worthwhile."""


class UnsentReason(StrEnum):
    """Why no copy of a late request was sent."""

    BODY = "body"
    ATTEMPTS = "attempts"
    STOPPING = "stopping"
    DEADLINE = "deadline"
    TARGET = "target"
    OVERLOAD = "overload"
    BUDGET = "budget"
    NO_SERVER = "no-server"
    RETRY_BUDGET = "retry-budget"


class CopyResult(StrEnum):
    """How a copy ended."""

    WON = "won"
    LOST = "lost"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class LateRequest:
    """A request whose first attempt is late, at the time at which it may be copied.

    ``deadline_left_s`` and ``target_left_s`` are the remaining times in seconds until
    its deadline and its latency target, None without a target. ``use`` is the number of
    requests per slot of its service by load reports, 0 if unknown.
    """

    service: str
    route: str
    deadline_left_s: float
    target_left_s: float | None
    use: float


def make_fixed_rule(quantile: float) -> DelayRule:
    """Return the rule that takes a fixed quantile for the delay."""

    def choose_delay(times: TimeQuantiles, _extra_ratio: float) -> float | None:
        return times.get_s(quantile) if times.count >= MIN_SAMPLES else None

    return choose_delay


def choose_delay_by_budget(times: TimeQuantiles, extra_ratio: float) -> float | None:
    """Return the delay at which copies use up the budget or less, where they help.

    The first candidate is the quantile that ``extra_ratio`` of the requests exceed, or
    the highest one that the number of times allows. While most requests beyond the
    candidate end soon after it, the next candidate is the quantile that half as many
    exceed. This leaves the budget to requests that gain from a copy. Returns None if no
    candidate is left.
    """
    if times.count < MIN_SAMPLES:
        return None
    min_gain_s = MIN_GAIN * times.get_s(0.5)
    min_fraction = MIN_LATE_SAMPLES / times.count
    late_fraction = min(max(extra_ratio, min_fraction), MAX_LATE_FRACTION)
    while late_fraction >= min_fraction:
        delay_s = times.get_s(1 - late_fraction)
        if times.get_s(1 - late_fraction / 2) - delay_s >= min_gain_s:
            return delay_s
        late_fraction /= 2
    return None


@dataclass(slots=True)
class _RouteDelay:
    """The times of a route, and its delay and median time as computed last."""

    times: ResponseTimes
    computed_s: float = float("-inf")
    delay_s: float | None = None
    typical_s: float = 0.0


@dataclass(slots=True)
class _ServiceState:
    """The budget of a service, which begins empty, and its recent attempts."""

    tokens: float = 0.0
    attempts: SlidingWindow = field(default_factory=SlidingWindow)


class Hedging:
    """Decides on the copies of one entry's requests.

    ``extra_ratio`` is the number of copies per request of a service. As every daemon
    keeps to it for its own requests, the sum over all daemons does. Times are seconds
    on the event loop's clock. A route is identified by any text that its requests have
    in common.
    """

    def __init__(
        self, extra_ratio: float, choose_delay: DelayRule = choose_delay_by_budget
    ) -> None:
        self.sent = 0
        self.results: Counter[CopyResult] = Counter()
        self.unsent: Counter[UnsentReason] = Counter()
        self._extra_ratio = extra_ratio
        self._choose_delay = choose_delay
        self._routes: dict[str, _RouteDelay] = {}
        self._services: dict[str, _ServiceState] = {}

    def record_request(self, service: str) -> None:
        """Add ``extra_ratio`` of a copy to the budget of a request's service."""
        state = self._get_service(service)
        state.tokens = min(state.tokens + self._extra_ratio, BURST_COPIES)

    def record_attempt(
        self, service: str, kind: ErrorKind | None, now_s: float
    ) -> None:
        """Record how an attempt ended; ``kind`` is None if it was answered."""
        accepted = kind not in CAPACITY_KINDS
        self._get_service(service).attempts.add(now_s, accepted=accepted)

    def record_time(self, route: str, time_s: float, now_s: float) -> None:
        """Record the time to the response head of a first attempt.

        For an attempt that was cancelled while it was late, the time until then is
        recorded. Like the unknown full time it lies beyond the delay, so the quantile
        of the delay stays right.
        """
        route_delay = self._routes.get(route)
        if route_delay is None:
            route_delay = self._routes[route] = _RouteDelay(ResponseTimes(now_s))
            if len(self._routes) > MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
        route_delay.times.add(time_s, now_s)

    def get_delay_s(self, route: str, now_s: float) -> float | None:
        """Return the delay in seconds after which a request of a route is late.

        Returns None if too few times are known, or if no copy is worthwhile.
        """
        route_delay = self._routes.get(route)
        if route_delay is None:
            return None
        if now_s - route_delay.computed_s >= DELAY_REFRESH_S:
            times = route_delay.times.summarize(now_s)
            route_delay.computed_s = now_s
            route_delay.typical_s = times.get_s(0.5)
            route_delay.delay_s = self._choose_delay(times, self._extra_ratio)
        return route_delay.delay_s

    def list_delays_s(self) -> dict[str, float]:
        """Return the delays in use by route, without routes that have none."""
        return {
            route: route_delay.delay_s
            for route, route_delay in sorted(self._routes.items())
            if route_delay.delay_s is not None
        }

    def find_unsent_reason(
        self, request: LateRequest, now_s: float
    ) -> UnsentReason | None:
        """Return why a late request may not be copied now, None if it may."""
        state = self._get_service(request.service)
        route_delay = self._routes.get(request.route)
        typical_s = 0.0 if route_delay is None else route_delay.typical_s
        if request.deadline_left_s <= typical_s:
            return UnsentReason.DEADLINE
        if request.target_left_s is not None and request.target_left_s <= typical_s:
            return UnsentReason.TARGET
        if request.use > MAX_USE or _is_overloaded(state.attempts, now_s):
            return UnsentReason.OVERLOAD
        if state.tokens < 1:
            return UnsentReason.BUDGET
        return None

    def spend(self, service: str) -> None:
        """Take a copy from a service's budget; ``find_unsent_reason`` returned None."""
        self._get_service(service).tokens -= 1
        self.sent += 1

    def _get_service(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState()
            if len(self._services) > MAX_SERVICES:
                del self._services[next(iter(self._services))]
        return state


def _is_overloaded(attempts: SlidingWindow, now_s: float) -> bool:
    attempts.slide(now_s)
    if attempts.requests < OVERLOAD_WINDOW_MIN:
        return False
    refused = attempts.requests - attempts.accepted
    return refused > MAX_REFUSED_SHARE * attempts.requests

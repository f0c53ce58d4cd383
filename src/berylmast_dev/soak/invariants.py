"""Invariants of every run, checked from records of callers and backend servers."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

CONNECTION_CLOSED = 0
CALLER_DISCONNECTED = -1
"""Statuses without a response: connection closed, or the caller disconnected first.

Simulated callers also disconnect if there is no response within their client timeout.
"""

NOT_RUN_STATUSES = (408, 421, 429, 503)
DEADLINE_SLACK_MS = 500
RESPONSE_SLACK_S = 1.0
LEAVE_SLACK_S = 0.5
FAULT_EFFECT_S = 3.0
"""After a fault ends, its effects may last this long."""

RUN_FAULT_WINDOW_S = 2.0
"""A fault this soon after the start of a run may have interrupted it."""

CONFIGURATION_ADOPTION_S = 3.0
STORE = "store"
MAX_CLOSED_PER_ENTRY = 3
MIN_SERVED_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One request and its result for the caller; times are of the monotonic clock."""

    attempt: str
    entry: str
    path: str
    body_digest: str
    idempotent: bool
    at_s: float
    ended_s: float
    timeout_s: float
    status: int
    intact: bool = True
    """Whether the response's seal and body are those expected for the request."""


@dataclass(frozen=True, slots=True)
class BackendRun:
    """One execution of a request by a backend server, recorded as it begins."""

    attempt: str
    server: str
    service: str
    instance: str
    caller_service: str
    path: str
    body_digest: str
    deadline_ms: int
    at_s: float


@dataclass(frozen=True, slots=True)
class BackendLeave:
    """A backend server that left, and when its daemon had acknowledged this."""

    server: str
    acknowledged_s: float


@dataclass(frozen=True, slots=True)
class ConfigurationWrite:
    """One written configuration: its times and the service of each path prefix."""

    started_s: float
    acknowledged_s: float
    services: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class HeldServer:
    """The backend server that runs, and the one that the daemon beside it holds."""

    running: str
    held: str
    state: str


@dataclass(frozen=True, slots=True)
class Observations:
    """Everything recorded in one run, from which the invariants are checked.

    ``sent`` holds the requests with their results, ``fault_periods`` the periods of the
    faults of each instance and the store, ``callers`` the service of each entry's
    callers, ``held_servers`` what the daemons hold at the end. No fault affects
    requests sent from ``recovered_by_s`` on.
    """

    sent: Sequence[SentRequest]
    runs: Sequence[BackendRun]
    leaves: Sequence[BackendLeave]
    fault_periods: Mapping[str, Sequence[tuple[float, float]]]
    configuration_writes: Sequence[ConfigurationWrite]
    callers: Mapping[str, str]
    recovered_by_s: float
    leave_s: float
    max_attempts: int
    held_servers: Sequence[HeldServer] = ()

    def is_unaffected(self, instance: str, since_s: float, until_s: float) -> bool:
        """Return whether no fault or its effects overlapped a period on an instance."""
        return not any(
            begin <= until_s and since_s <= end + FAULT_EFFECT_S
            for begin, end in self.fault_periods.get(instance, ())
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant, and the request, server or entry that violates it."""

    invariant: str
    subject: str
    detail: str


def find_violations(observations: Observations) -> list[Violation]:
    """Return the violations of all invariants."""
    return [violation for check in CHECKS for violation in check(observations)]


def _group_runs_by_attempt(observations: Observations) -> dict[str, list[BackendRun]]:
    runs: dict[str, list[BackendRun]] = defaultdict(list)
    for run in observations.runs:
        runs[run.attempt].append(run)
    return runs


def check_at_most_once(observations: Observations) -> Iterator[Violation]:
    """A request that is not idempotent runs at most once."""
    runs = _group_runs_by_attempt(observations)
    for request in observations.sent:
        count = len(runs[request.attempt])
        if not request.idempotent and count > 1:
            yield Violation("at most once", request.attempt, f"{count} runs")


def check_refusals(observations: Observations) -> Iterator[Violation]:
    """A request whose status reports that it did not run has no run."""
    runs = _group_runs_by_attempt(observations)
    for request in observations.sent:
        if request.status in NOT_RUN_STATUSES and runs[request.attempt]:
            yield Violation(
                "no run after refusal", request.attempt, f"{request.status}"
            )


def check_response_integrity(observations: Observations) -> Iterator[Violation]:
    """A successful response is complete and belongs to its request."""
    for request in observations.sent:
        if request.status == 200 and not request.intact:
            yield Violation("response integrity", request.attempt, request.entry)


def check_runs_match_requests(observations: Observations) -> Iterator[Violation]:
    """Each run matches a request that was sent, and names the service of its caller.

    Runs of nested calls have the attempt id of their request with the suffix "-call".
    """
    requests_by_id = {request.attempt: request for request in observations.sent}
    for run in observations.runs:
        request = requests_by_id.get(run.attempt.removesuffix("-call"))
        if request is None:
            yield Violation("known requests", run.attempt, "no caller sent it")
        elif run.attempt == request.attempt:
            if (run.path, run.body_digest) != (request.path, request.body_digest):
                yield Violation("request integrity", run.attempt, run.path)
            if run.caller_service != observations.callers[request.entry]:
                yield Violation("caller service", run.attempt, run.caller_service)


def check_routes(observations: Observations) -> Iterator[Violation]:
    """A request runs at a service that some configuration assigned to its path."""
    allowed: dict[str, set[str]] = defaultdict(set)
    for write in observations.configuration_writes:
        for prefix, service in write.services.items():
            allowed[prefix].add(service)
    for run in observations.runs:
        if run.service not in allowed[_get_prefix(run.path)]:
            yield Violation("routes", run.attempt, f"{run.path} at {run.service}")


def check_configurations(observations: Observations) -> Iterator[Violation]:
    """An entry without faults applies a configuration soon after it is acknowledged."""
    runs = _group_runs_by_attempt(observations)
    next_starts_s = [item.started_s for item in observations.configuration_writes[1:]]
    for write, end_s in zip(
        observations.configuration_writes, [*next_starts_s, math.inf], strict=True
    ):
        from_s = write.acknowledged_s + CONFIGURATION_ADOPTION_S
        for request in observations.sent:
            unaffected = all(
                observations.is_unaffected(name, write.started_s, request.ended_s)
                for name in (request.entry, STORE)
            )
            if not unaffected or request.at_s < from_s or request.ended_s >= end_s:
                continue
            service = write.services.get(_get_prefix(request.path))
            misrouted = [run for run in runs[request.attempt] if run.service != service]
            if misrouted or (service and request.status == 404):
                yield Violation(
                    "configuration in force", request.attempt, request.entry
                )


def _get_prefix(path: str) -> str:
    return f"/{path.split('/')[1]}/"


def check_max_attempts(observations: Observations) -> Iterator[Violation]:
    """A request runs on no more backend servers than its route allows.

    Backend servers with a fault around the time of the run are not counted.
    """
    for attempt, runs in _group_runs_by_attempt(observations).items():
        servers = {
            run.server
            for run in runs
            if observations.is_unaffected(
                run.instance, run.at_s, run.at_s + RUN_FAULT_WINDOW_S
            )
        }
        if len(servers) > observations.max_attempts:
            yield Violation("attempts", attempt, ", ".join(sorted(servers)))


def check_deadlines(observations: Observations) -> Iterator[Violation]:
    """The deadline passed to a backend server is no longer than the caller's."""
    requests_by_id = {request.attempt: request for request in observations.sent}
    for run in observations.runs:
        request = requests_by_id.get(run.attempt)
        if request is None:
            continue
        limit_ms = request.timeout_s * 1000 + DEADLINE_SLACK_MS
        if not 0 < run.deadline_ms <= limit_ms:
            yield Violation("deadlines", run.attempt, f"{run.deadline_ms} ms")


def check_leaving_backends(observations: Observations) -> Iterator[Violation]:
    """A backend server gets no request once its leave time has passed."""
    for leave in observations.leaves:
        latest_s = leave.acknowledged_s + observations.leave_s + LEAVE_SLACK_S
        for run in observations.runs:
            late = run.server == leave.server and run.at_s > latest_s
            if late and observations.is_unaffected(
                run.instance, leave.acknowledged_s, run.at_s
            ):
                detail = f"{run.at_s - leave.acknowledged_s:.2f} s after leaving"
                yield Violation("leaving backend servers", leave.server, detail)


def check_responsiveness(observations: Observations) -> Iterator[Violation]:
    """An entry without faults responds by the deadline and closes few connections."""
    closed: Counter[str] = Counter()
    for request in observations.sent:
        if request.status == CALLER_DISCONNECTED or not observations.is_unaffected(
            request.entry, request.at_s, request.ended_s
        ):
            continue
        if request.ended_s - request.at_s > request.timeout_s + RESPONSE_SLACK_S:
            detail = f"{request.ended_s - request.at_s:.2f} s"
            yield Violation("answers in time", request.attempt, detail)
        closed[request.entry] += request.status == CONNECTION_CLOSED
    for entry, count in closed.items():
        if count > MAX_CLOSED_PER_ENTRY:
            yield Violation("closed connections", entry, f"{count} closed")


def check_recovery(observations: Observations) -> Iterator[Violation]:
    """After all faults have ended, each entry serves almost all requests again."""
    served: dict[str, list[bool]] = defaultdict(list)
    for request in observations.sent:
        if (
            request.at_s >= observations.recovered_by_s
            and request.status != CALLER_DISCONNECTED
        ):
            served[request.entry].append(request.status == 200)
    for entry in observations.callers:
        results = served[entry]
        if not results or sum(results) < MIN_SERVED_SHARE * len(results):
            yield Violation(
                "recovery", entry, f"{sum(results)} of {len(results)} served"
            )


def check_servers_in_use(observations: Observations) -> Iterator[Violation]:
    """After all faults have ended, each daemon offers the server beside it."""
    for server in observations.held_servers:
        if (server.held, server.state) != (server.running, "ready"):
            detail = f"its daemon holds {server.held!r} as {server.state!r}"
            yield Violation("servers in use", server.running, detail)


Check = Callable[[Observations], Iterator[Violation]]

CHECKS: tuple[Check, ...] = (
    check_at_most_once,
    check_refusals,
    check_response_integrity,
    check_runs_match_requests,
    check_routes,
    check_configurations,
    check_max_attempts,
    check_deadlines,
    check_leaving_backends,
    check_responsiveness,
    check_recovery,
    check_servers_in_use,
)

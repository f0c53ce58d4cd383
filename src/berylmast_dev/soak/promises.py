"""Invariants of every run, checked from records of callers and backend servers."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

CLOSED = 0
LEFT = -1
"""Statuses without a response: connection closed, or the caller disconnected first."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
DEADLINE_SLACK_MS = 500
ANSWER_SLACK_S = 1.0
LEAVE_SLACK_S = 0.5
SETTLE_S = 3.0
"""After a fault ends, its effects may last this long."""

CUT_S = 2.0
CONFIGURATION_S = 3.0
STORE = "store"
MOST_CLOSED = 3
SERVED_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Sent:
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
    whole: bool = True
    """Whether the response's seal and body are those expected for the request."""


@dataclass(frozen=True, slots=True)
class Run:
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
class Leave:
    """A backend server that left, and when its daemon had acknowledged this."""

    server: str
    acknowledged_s: float


@dataclass(frozen=True, slots=True)
class Configured:
    """One written configuration: its times and the service of each path prefix."""

    sent_s: float
    acknowledged_s: float
    services: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Record:
    """Everything recorded in one run, from which the invariants are checked.

    ``disturbed`` holds the periods of the faults of each instance and the store,
    ``callers`` the service of each entry. Requests sent from ``calm_from_s`` on are
    not affected by any fault.
    """

    sent: Sequence[Sent]
    runs: Sequence[Run]
    leaves: Sequence[Leave]
    disturbed: Mapping[str, Sequence[tuple[float, float]]]
    configurations: Sequence[Configured]
    callers: Mapping[str, str]
    calm_from_s: float
    leave_s: float
    max_attempts: int

    def is_calm(self, instance: str, since_s: float, until_s: float) -> bool:
        """Return whether no fault or its effects overlapped a period on an instance."""
        return not any(
            begin <= until_s and since_s <= end + SETTLE_S
            for begin, end in self.disturbed.get(instance, ())
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant, and the request, server or entry that violates it."""

    promise: str
    subject: str
    detail: str


def find_violations(record: Record) -> list[Violation]:
    """Return the violations of all invariants."""
    return [violation for check in CHECKS for violation in check(record)]


def _by_attempt(record: Record) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        runs[run.attempt].append(run)
    return runs


def check_runs_once(record: Record) -> Iterator[Violation]:
    """A request that is not idempotent runs at most once."""
    runs = _by_attempt(record)
    for sent in record.sent:
        count = len(runs[sent.attempt])
        if not sent.idempotent and count > 1:
            yield Violation("at most once", sent.attempt, f"{count} runs")


def check_refusals(record: Record) -> Iterator[Violation]:
    """A request whose status reports that it did not run has no run."""
    runs = _by_attempt(record)
    for sent in record.sent:
        if sent.status in NOT_RUN_STATUSES and runs[sent.attempt]:
            yield Violation("no run after refusal", sent.attempt, f"{sent.status}")


def check_answers(record: Record) -> Iterator[Violation]:
    """A successful response is complete and belongs to its request."""
    for sent in record.sent:
        if sent.status == 200 and not sent.whole:
            yield Violation("response integrity", sent.attempt, sent.entry)


def check_asked(record: Record) -> Iterator[Violation]:
    """Each run matches a request that was sent, and names the service of its caller.

    Runs of nested calls have the attempt id of their request with the suffix "-call".
    """
    by_id = {sent.attempt: sent for sent in record.sent}
    for run in record.runs:
        sent = by_id.get(run.attempt.removesuffix("-call"))
        if sent is None:
            yield Violation("known requests", run.attempt, "no caller sent it")
        elif run.attempt == sent.attempt:
            if (run.path, run.body_digest) != (sent.path, sent.body_digest):
                yield Violation("request integrity", run.attempt, run.path)
            if run.caller_service != record.callers[sent.entry]:
                yield Violation("caller service", run.attempt, run.caller_service)


def check_routes(record: Record) -> Iterator[Violation]:
    """A request runs at a service that some configuration assigned to its path."""
    allowed: dict[str, set[str]] = defaultdict(set)
    for configured in record.configurations:
        for prefix, service in configured.services.items():
            allowed[prefix].add(service)
    for run in record.runs:
        if run.service not in allowed[_find_prefix(run.path)]:
            yield Violation("routes", run.attempt, f"{run.path} at {run.service}")


def check_configurations(record: Record) -> Iterator[Violation]:
    """An entry without faults applies a configuration soon after it is acknowledged."""
    runs = _by_attempt(record)
    later = [item.sent_s for item in record.configurations[1:]]
    for configured, end_s in zip(
        record.configurations, [*later, math.inf], strict=True
    ):
        from_s = configured.acknowledged_s + CONFIGURATION_S
        for sent in record.sent:
            calm = all(
                record.is_calm(name, configured.sent_s, sent.ended_s)
                for name in (sent.entry, STORE)
            )
            if not calm or sent.at_s < from_s or sent.ended_s >= end_s:
                continue
            service = configured.services.get(_find_prefix(sent.path))
            others = [run for run in runs[sent.attempt] if run.service != service]
            if others or (service and sent.status == 404):
                yield Violation("configuration in force", sent.attempt, sent.entry)


def _find_prefix(path: str) -> str:
    return f"/{path.split('/')[1]}/"


def check_attempts(record: Record) -> Iterator[Violation]:
    """A request runs on no more backend servers than its route allows.

    Backend servers with a fault during the run or shortly after are not counted.
    """
    for attempt, runs in _by_attempt(record).items():
        servers = {
            run.server
            for run in runs
            if record.is_calm(run.instance, run.at_s, run.at_s + CUT_S)
        }
        if len(servers) > record.max_attempts:
            yield Violation("maximum attempts", attempt, ", ".join(sorted(servers)))


def check_deadlines(record: Record) -> Iterator[Violation]:
    """The deadline passed to a backend server is no longer than the caller's."""
    by_id = {sent.attempt: sent for sent in record.sent}
    for run in record.runs:
        sent = by_id.get(run.attempt)
        if sent is None:
            continue
        most_ms = sent.timeout_s * 1000 + DEADLINE_SLACK_MS
        if not 0 < run.deadline_ms <= most_ms:
            yield Violation("deadlines", run.attempt, f"{run.deadline_ms} ms")


def check_leaves(record: Record) -> Iterator[Violation]:
    """A backend server gets no request once its leave time has passed."""
    for leave in record.leaves:
        latest_s = leave.acknowledged_s + record.leave_s + LEAVE_SLACK_S
        for run in record.runs:
            late = run.server == leave.server and run.at_s > latest_s
            if late and record.is_calm(run.instance, leave.acknowledged_s, run.at_s):
                detail = f"{run.at_s - leave.acknowledged_s:.2f} s after leaving"
                yield Violation("leaving backend servers", leave.server, detail)


def check_answered(record: Record) -> Iterator[Violation]:
    """An entry without faults responds by the deadline and closes few connections."""
    closed: Counter[str] = Counter()
    for sent in record.sent:
        if sent.status == LEFT or not record.is_calm(
            sent.entry, sent.at_s, sent.ended_s
        ):
            continue
        if sent.ended_s - sent.at_s > sent.timeout_s + ANSWER_SLACK_S:
            detail = f"{sent.ended_s - sent.at_s:.2f} s"
            yield Violation("answers in time", sent.attempt, detail)
        closed[sent.entry] += sent.status == CLOSED
    for entry, count in closed.items():
        if count > MOST_CLOSED:
            yield Violation("closed connections", entry, f"{count} closed")


def check_recovery(record: Record) -> Iterator[Violation]:
    """After all faults have ended, each entry serves almost all requests again."""
    served: dict[str, list[bool]] = defaultdict(list)
    for sent in record.sent:
        if sent.at_s >= record.calm_from_s and sent.status != LEFT:
            served[sent.entry].append(sent.status == 200)
    for entry in record.callers:
        found = served[entry]
        if not found or sum(found) < SERVED_SHARE * len(found):
            yield Violation("recovery", entry, f"{sum(found)} of {len(found)} served")


Check = Callable[[Record], Iterator[Violation]]

CHECKS: tuple[Check, ...] = (
    check_runs_once,
    check_refusals,
    check_answers,
    check_asked,
    check_routes,
    check_configurations,
    check_attempts,
    check_deadlines,
    check_leaves,
    check_answered,
    check_recovery,
)

"""Invariants P1 to P7, checked from the records of the fakes."""

from collections.abc import Sequence

import anyio

from berylmast.operators.revisions import ApplyUnknown
from berylmast.routing.probes import BURST_PROBES, RESERVED_BYTES

from .document import Applied, make_document
from .faults import FAULTS
from .world import DEADLINE_MS, Asked, Drain, World

Verdict = dict[str, list[str]]
"""Violations by the name of the invariant; the list is empty if it holds."""

PROBE_BYTES_PER_S = 2_000
PROBE_RATIO = 0.5
DRAIN_LIMIT_S = 3.0
SLACK_S = 0.05


def check_all(world: World, faults: Sequence[str], step: str) -> Verdict:
    """Return the violations of every invariant."""
    clean = step != "response lost" and not any(FAULTS[name].breaks for name in faults)
    return {
        "P1": check_measuring(world),
        "P2": check_answers(world),
        "P3": check_not_run(world),
        "P4": check_once(world),
        "P5": check_left_alone(world),
        "P6": check_not_cut(world, clean=clean),
        "P7": check_documents(world),
    }


def check_measuring(world: World) -> list[str]:
    """P1: probes stay within their ratio to requests, and within bytes per second.

    The bytes include the responses to probes.
    """
    seconds = anyio.current_time() - world.meter.started_s
    most_bytes = PROBE_BYTES_PER_S * (seconds + 1) + RESERVED_BYTES
    most_probes = len(world.asked) * PROBE_RATIO + BURST_PROBES
    found = []
    if world.meter.probes == 0:
        found.append("no probe was sent, so the budget is not tested")
    if world.meter.size > most_bytes:
        found.append(f"{world.meter.size} bytes of probes, {most_bytes:.0f} allowed")
    if world.meter.probes > most_probes:
        found.append(f"{world.meter.probes} probes, {most_probes:.0f} allowed")
    return found


def check_answers(world: World) -> list[str]:
    """P2: each caller got the complete response to its own request, or an error."""
    found = [text for asked in world.asked for text in _check_answer(asked)]
    if not any(a.call and a.call.outcome == "answered" for a in world.asked):
        found.append("no request got a response")
    return found


def _check_answer(asked: Asked) -> list[str]:
    call, name = asked.call, asked.request_id
    if call is None:
        return [f"{name} has neither a response nor an error"]
    if call.duration_s > DEADLINE_MS / 1000 + SLACK_S:
        return [f"{name} took {call.duration_s:.2f} s"]
    if call.outcome != "answered":
        return (
            [f"{name}: error after a complete response"]
            if call.response.finished
            else []
        )
    whole = f"{name}onetwo".encode()
    if call.response.body != whole or not call.response.finished:
        return [f"{name} got the response {call.response.body!r}"]
    return []


def check_not_run(world: World) -> list[str]:
    """P3: a request reported as not run is in no backend server's ledger."""
    runs = world.requests.count_runs()
    return [
        f"{asked.request_id} was reported as not run, runs: {runs[asked.request_id]}"
        for asked in world.asked
        if asked.call and asked.call.outcome == "not-run" and runs[asked.request_id]
    ]


def check_once(world: World) -> list[str]:
    """P4: a request that is not idempotent is in all ledgers at most once."""
    runs = world.requests.count_runs()
    return [
        f"{asked.request_id} ran {runs[asked.request_id]} times"
        for asked in world.asked
        if not asked.idempotent and runs[asked.request_id] > 1
    ]


def check_left_alone(world: World) -> list[str]:
    """P5: no run starts on a backend server that has drained for ``DRAIN_LIMIT_S``."""
    return [
        f"{run.request_id} started on {drain.backend} while it drained"
        for drain in world.drains
        for run in world.requests.backends[drain.backend].ledger
        if drain.started_s + DRAIN_LIMIT_S < run.started_s < drain.ended_s
    ]


def check_not_cut(world: World, *, clean: bool) -> list[str]:
    """P6: requests running when a drain begins complete.

    If no link broke, their callers get the response.
    """
    return [
        text for drain in world.drains for text in _check_drain(world, drain, clean)
    ]


def _check_drain(world: World, drain: Drain, clean: bool) -> list[str]:
    asked = {a.request_id: a for a in world.asked}
    ledger = world.requests.backends[drain.backend].ledger
    completed = {run.request_id for run in ledger if run.completed}
    found = []
    for name in drain.running:
        call = asked[name].call
        # A broken link cancels an idempotent request; another run replaces it.
        must_complete = clean or not asked[name].idempotent
        if must_complete and name not in completed:
            found.append(f"{name} was interrupted on {drain.backend}")
        elif clean and (call is None or call.outcome != "answered"):
            found.append(
                f"{name} ran on {drain.backend} but its caller got no response"
            )
    return found


def check_documents(world: World) -> list[str]:
    """P7: change reports are correct, and the last version is active everywhere.

    No daemon returns to a lower version.
    """
    accepted = world.operators.list_accepted()
    found: list[str] = []
    if [version for version, _ in accepted] != list(range(1, len(accepted) + 1)):
        found.append(f"versions stored: {[version for version, _ in accepted]}")
    for report in world.operators.reports:
        found += _check_report(report, accepted)
    found += _check_adopted(world, accepted[-1])
    for directory in world.directories:
        found += _check_order(directory.adopted)
    if len(world.outage_versions) > 1:
        found.append(f"versions active late in the outage: {world.outage_versions}")
    return found


def _check_report(report: Applied, accepted: list[tuple[int, str]]) -> list[str]:
    stored = [
        version for version, text in accepted if text == make_document(report.mark)
    ]
    if report.result.is_ok():
        told = [report.result.unwrap().version]
        return (
            [] if stored == told else [f"reported version {told}, stored as {stored}"]
        )
    error = report.result.unwrap_err()
    if isinstance(error, ApplyUnknown) and "nothing was written" not in error.reason:
        return []
    return [f"reported as not accepted, stored as {stored}"] if stored else []


def _check_adopted(world: World, last: tuple[int, str]) -> list[str]:
    version, text = last
    found = []
    for name, daemon in world.members.daemons.items():
        directory = daemon.directory
        if directory.document_version != version:
            found.append(f"{name} has {directory.document_version}, not {version}")
        for service in directory.services():
            part = directory.service(service)
            if part and f'"connections": {part.connections},' not in text:
                found.append(f"{name} has an outdated slice of {service}")
    return found


def _check_order(adopted: list[tuple[str, int]]) -> list[str]:
    highest: dict[str, int] = {}
    found = []
    for name, version in adopted:
        if version < highest.get(name, 0):
            found.append(f"{name} went from {highest[name]} back to {version}")
        highest[name] = max(version, highest.get(name, 0))
    return found

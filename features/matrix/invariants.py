"""Invariants P1 to P7, checked from the records of the fakes."""

from collections.abc import Sequence

import anyio

from berylmast.operators.revisions import ApplyUnknown
from berylmast.routing.probes import BURST_PROBES, RESERVED_BYTES

from .faults import FAULTS
from .operators import ChangeResult, make_document
from .simulation import DEADLINE_MS, CallerRequest, Drain, Simulation

CellViolations = dict[str, list[str]]
"""Violations by the name of the invariant; the list is empty if it holds."""

PROBE_BYTES_PER_S = 2_000
PROBE_RATIO = 0.5
DRAIN_LIMIT_S = 3.0
DEADLINE_SLACK_S = 0.05


def check_all(
    simulation: Simulation, faults: Sequence[str], step: str
) -> CellViolations:
    """Return the violations of every invariant."""
    links_intact = step != "response lost" and not any(
        FAULTS[name].breaks_links for name in faults
    )
    return {
        "P1": check_probe_budget(simulation),
        "P2": check_responses(simulation),
        "P3": check_not_run(simulation),
        "P4": check_at_most_once(simulation),
        "P5": check_drained_backends(simulation),
        "P6": check_drains_complete(simulation, links_intact=links_intact),
        "P7": check_document_adoption(simulation),
    }


def check_probe_budget(simulation: Simulation) -> list[str]:
    """P1: probes stay within their ratio to requests, and within bytes per second.

    The bytes include the responses to probes.
    """
    seconds = anyio.current_time() - simulation.probe_meter.started_s
    max_bytes = PROBE_BYTES_PER_S * (seconds + 1) + RESERVED_BYTES
    max_probes = len(simulation.caller_requests) * PROBE_RATIO + BURST_PROBES
    violations = []
    if simulation.probe_meter.probes == 0:
        violations.append("no probe was sent, so the budget is not tested")
    if simulation.probe_meter.size > max_bytes:
        violations.append(
            f"{simulation.probe_meter.size} bytes of probes, {max_bytes:.0f} allowed"
        )
    if simulation.probe_meter.probes > max_probes:
        violations.append(
            f"{simulation.probe_meter.probes} probes, {max_probes:.0f} allowed"
        )
    return violations


def check_responses(simulation: Simulation) -> list[str]:
    """P2: each caller got the complete response to its own request, or an error."""
    violations = [
        text
        for request in simulation.caller_requests
        for text in _check_response(request)
    ]
    if not any(
        a.call and a.call.outcome == "answered" for a in simulation.caller_requests
    ):
        violations.append("no request got a response")
    return violations


def _check_response(request: CallerRequest) -> list[str]:
    call, name = request.call, request.request_id
    if call is None:
        return [f"{name} has neither a response nor an error"]
    if call.duration_s > DEADLINE_MS / 1000 + DEADLINE_SLACK_S:
        return [f"{name} took {call.duration_s:.2f} s"]
    if call.outcome != "answered":
        return (
            [f"{name}: error after a complete response"]
            if call.response.finished
            else []
        )
    expected = f"{name}onetwo".encode()
    if call.response.body != expected or not call.response.finished:
        return [f"{name} got the response {call.response.body!r}"]
    return []


def check_not_run(simulation: Simulation) -> list[str]:
    """P3: a request reported as not run is in no backend server's ledger."""
    runs = simulation.requests.count_runs()
    return [
        f"{request.request_id} was reported as not run, "
        f"runs: {runs[request.request_id]}"
        for request in simulation.caller_requests
        if request.call
        and request.call.outcome == "not-run"
        and runs[request.request_id]
    ]


def check_at_most_once(simulation: Simulation) -> list[str]:
    """P4: a request that is not idempotent is in all ledgers at most once."""
    runs = simulation.requests.count_runs()
    return [
        f"{request.request_id} ran {runs[request.request_id]} times"
        for request in simulation.caller_requests
        if not request.idempotent and runs[request.request_id] > 1
    ]


def check_drained_backends(simulation: Simulation) -> list[str]:
    """P5: no run starts on a backend server that has drained for ``DRAIN_LIMIT_S``."""
    return [
        f"{run.request_id} started on {drain.backend} while it drained"
        for drain in simulation.drains
        for run in simulation.requests.backends[drain.backend].ledger
        if drain.started_s + DRAIN_LIMIT_S < run.started_s < drain.ended_s
    ]


def check_drains_complete(simulation: Simulation, *, links_intact: bool) -> list[str]:
    """P6: requests running when a drain begins complete.

    If no link broke, their callers get the response.
    """
    return [
        text
        for drain in simulation.drains
        for text in _check_drain(simulation, drain, links_intact)
    ]


def _check_drain(simulation: Simulation, drain: Drain, links_intact: bool) -> list[str]:
    requests_by_id = {a.request_id: a for a in simulation.caller_requests}
    ledger = simulation.requests.backends[drain.backend].ledger
    completed = {run.request_id for run in ledger if run.completed}
    violations = []
    for name in drain.running:
        call = requests_by_id[name].call
        # A broken link cancels an idempotent request; another run replaces it.
        must_complete = links_intact or not requests_by_id[name].idempotent
        if must_complete and name not in completed:
            violations.append(f"{name} was interrupted on {drain.backend}")
        elif links_intact and (call is None or call.outcome != "answered"):
            violations.append(
                f"{name} ran on {drain.backend} but its caller got no response"
            )
    return violations


def check_document_adoption(simulation: Simulation) -> list[str]:
    """P7: change reports are correct, and the last version is active everywhere.

    No daemon returns to a lower version.
    """
    accepted = simulation.operators.list_accepted_documents()
    violations: list[str] = []
    if [version for version, _ in accepted] != list(range(1, len(accepted) + 1)):
        violations.append(f"versions stored: {[version for version, _ in accepted]}")
    for change in simulation.operators.results:
        violations += _check_result(change, accepted)
    violations += _check_active_document(simulation, accepted[-1])
    for directory in simulation.directories:
        violations += _check_version_order(directory.adopted_versions)
    if len(simulation.outage_versions) > 1:
        violations.append(
            f"versions active late in the outage: {simulation.outage_versions}"
        )
    return violations


def _check_result(change: ChangeResult, accepted: list[tuple[int, str]]) -> list[str]:
    stored = [
        version
        for version, text in accepted
        if text == make_document(change.connections)
    ]
    if change.result.is_ok():
        reported = [change.result.unwrap().version]
        return (
            []
            if stored == reported
            else [f"reported version {reported}, stored as {stored}"]
        )
    error = change.result.unwrap_err()
    if isinstance(error, ApplyUnknown) and "nothing was written" not in error.reason:
        return []
    return [f"reported as not accepted, stored as {stored}"] if stored else []


def _check_active_document(simulation: Simulation, last: tuple[int, str]) -> list[str]:
    version, text = last
    violations = []
    for name, daemon in simulation.membership.daemons.items():
        directory = daemon.directory
        if directory.document_version != version:
            violations.append(f"{name} has {directory.document_version}, not {version}")
        for service in directory.services():
            part = directory.service(service)
            if part and f'"connections": {part.connections},' not in text:
                violations.append(f"{name} has an outdated slice of {service}")
    return violations


def _check_version_order(adopted_versions: list[tuple[str, int]]) -> list[str]:
    highest: dict[str, int] = {}
    violations = []
    for name, version in adopted_versions:
        if version < highest.get(name, 0):
            violations.append(f"{name} went from {highest[name]} back to {version}")
        highest[name] = max(version, highest.get(name, 0))
    return violations

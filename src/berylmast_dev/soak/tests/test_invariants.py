"""Tests of the soak test's checks.

A check that reports no violation where there is one would let every run pass.
"""

from dataclasses import replace

import pytest

from ..invariants import (
    CALLER_DISCONNECTED,
    CONNECTION_CLOSED,
    BackendLeave,
    BackendRun,
    ConfigurationWrite,
    HeldServer,
    Observations,
    SentRequest,
    find_violations,
)

REQUEST = SentRequest("a", "e", "/read/x", "d", True, 10.0, 10.1, 2.0, 200)
NON_IDEMPOTENT_REQUEST = replace(REQUEST, path="/write/x", idempotent=False)
RUN = BackendRun("a", "s1", "orders", "m1", "web", "/read/x", "d", 2_000, 10.0)
OBSERVATIONS = Observations(
    sent=(REQUEST,),
    runs=(RUN,),
    leaves=(),
    fault_periods={},
    configuration_writes=(
        ConfigurationWrite(0.0, 0.1, {"/read/": "orders", "/write/": "orders"}),
        ConfigurationWrite(100.0, 100.1, {"/read/": "pages", "/write/": "orders"}),
    ),
    callers={"e": "web"},
    recovered_by_s=10.0,
    leave_s=2.0,
    max_attempts=2,
)
NON_IDEMPOTENT_RUN = replace(RUN, path="/write/x")
NON_IDEMPOTENT_OBSERVATIONS = replace(
    OBSERVATIONS, sent=(NON_IDEMPOTENT_REQUEST,), runs=(NON_IDEMPOTENT_RUN,)
)


def with_request(base: Observations, **changes: object) -> Observations:
    return replace(base, sent=(replace(base.sent[0], **changes),))  # type: ignore[arg-type]


def with_run(base: Observations, **changes: object) -> Observations:
    return replace(base, runs=(replace(base.runs[0], **changes),))  # type: ignore[arg-type]


@pytest.mark.parametrize("observations", [OBSERVATIONS, NON_IDEMPOTENT_OBSERVATIONS])
def test_correct_run_has_no_violations(observations: Observations) -> None:
    assert find_violations(observations) == []


@pytest.mark.parametrize(
    ("invariant", "observations"),
    [
        (
            "at most once",
            replace(
                NON_IDEMPOTENT_OBSERVATIONS,
                runs=(NON_IDEMPOTENT_RUN, replace(NON_IDEMPOTENT_RUN, server="s2")),
            ),
        ),
        ("no run after refusal", with_request(NON_IDEMPOTENT_OBSERVATIONS, status=503)),
        ("no run after refusal", with_request(OBSERVATIONS, status=429)),
        ("response integrity", with_request(OBSERVATIONS, intact=False)),
        ("known requests", with_run(OBSERVATIONS, attempt="b")),
        ("known requests", with_run(OBSERVATIONS, attempt="b-call")),
        ("request integrity", with_run(OBSERVATIONS, body_digest="e")),
        ("request integrity", with_run(OBSERVATIONS, path="/read/y")),
        ("caller service", with_run(OBSERVATIONS, caller_service="forged")),
        ("routes", with_run(OBSERVATIONS, service="fittings")),
        ("configuration in force", with_run(OBSERVATIONS, service="pages")),
        ("configuration in force", with_request(OBSERVATIONS, status=404)),
        (
            "attempts",
            replace(
                OBSERVATIONS, runs=tuple(replace(RUN, server=f"s{n}") for n in range(3))
            ),
        ),
        ("deadlines", with_run(OBSERVATIONS, deadline_ms=2_501)),
        ("deadlines", with_run(OBSERVATIONS, deadline_ms=0)),
        (
            "leaving backend servers",
            replace(OBSERVATIONS, leaves=(BackendLeave("s1", 7.0),)),
        ),
        ("answers in time", with_request(OBSERVATIONS, ended_s=13.1)),
        (
            "closed connections",
            replace(
                OBSERVATIONS,
                sent=(replace(REQUEST, status=CONNECTION_CLOSED, at_s=9.0),) * 4,
            ),
        ),
        ("recovery", with_request(OBSERVATIONS, status=502)),
        ("recovery", replace(OBSERVATIONS, callers={"e": "web", "f": "web"})),
        (
            "servers in use",
            replace(OBSERVATIONS, held_servers=[HeldServer("s1", "s2", "ready")]),
        ),
        (
            "servers in use",
            replace(OBSERVATIONS, held_servers=[HeldServer("s1", "s1", "draining")]),
        ),
    ],
)
def test_each_violation_is_found(invariant: str, observations: Observations) -> None:
    assert invariant in {
        violation.invariant for violation in find_violations(observations)
    }


@pytest.mark.parametrize(
    "observations",
    [
        # Invariants with time limits do not apply during a fault on the instance.
        replace(
            with_request(OBSERVATIONS, ended_s=13.1), fault_periods={"e": [(9.0, 9.5)]}
        ),
        replace(
            OBSERVATIONS,
            leaves=(BackendLeave("s1", 7.0),),
            fault_periods={"m1": [(8.0, 8.1)]},
        ),
        replace(
            with_run(OBSERVATIONS, service="pages"),
            fault_periods={"store": [(9.0, 9.5)]},
        ),
        replace(
            with_request(OBSERVATIONS, status=CALLER_DISCONNECTED, ended_s=20.0),
            recovered_by_s=5.0,
        ),
    ],
)
def test_time_limits_do_not_apply_during_a_fault(observations: Observations) -> None:
    found = {violation.invariant for violation in find_violations(observations)}
    # Recovery is not shown if every caller disconnected before its response.
    assert found <= {"recovery"}

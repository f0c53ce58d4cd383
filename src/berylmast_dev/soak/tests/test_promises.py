"""Tests of the soak test's checks.

A check that reports no violation where there is one would let every run pass.
"""

from dataclasses import replace

import pytest

from ..promises import CLOSED, LEFT, Configured, Leave, Record, Run, Sent
from ..promises import find_violations as judge

SENT = Sent("a", "e", "/read/x", "d", True, 10.0, 10.1, 2.0, 200)
ORDER = replace(SENT, path="/write/x", idempotent=False)
RUN = Run("a", "s1", "orders", "m1", "web", "/read/x", "d", 2_000, 10.0)
RECORD = Record(
    sent=(SENT,),
    runs=(RUN,),
    leaves=(),
    disturbed={},
    configurations=(
        Configured(0.0, 0.1, {"/read/": "orders", "/write/": "orders"}),
        Configured(100.0, 100.1, {"/read/": "pages", "/write/": "orders"}),
    ),
    callers={"e": "web"},
    calm_from_s=10.0,
    leave_s=2.0,
    max_attempts=2,
)
WRITE = replace(RUN, path="/write/x")
ORDERED = replace(RECORD, sent=(ORDER,), runs=(WRITE,))


def sent_as(base: Record, **changes: object) -> Record:
    return replace(base, sent=(replace(base.sent[0], **changes),))  # type: ignore[arg-type]


def run_as(base: Record, **changes: object) -> Record:
    return replace(base, runs=(replace(base.runs[0], **changes),))  # type: ignore[arg-type]


@pytest.mark.parametrize("record", [RECORD, ORDERED])
def test_a_good_run_keeps_all_promises(record: Record) -> None:
    assert judge(record) == []


@pytest.mark.parametrize(
    ("promise", "record"),
    [
        ("at most once", replace(ORDERED, runs=(WRITE, replace(WRITE, server="s2")))),
        ("no run after refusal", sent_as(ORDERED, status=503)),
        ("no run after refusal", sent_as(RECORD, status=429)),
        ("response integrity", sent_as(RECORD, whole=False)),
        ("known requests", run_as(RECORD, attempt="b")),
        ("known requests", run_as(RECORD, attempt="b-call")),
        ("request integrity", run_as(RECORD, body_digest="e")),
        ("request integrity", run_as(RECORD, path="/read/y")),
        ("caller service", run_as(RECORD, caller_service="forged")),
        ("routes", run_as(RECORD, service="fittings")),
        ("configuration in force", run_as(RECORD, service="pages")),
        ("configuration in force", sent_as(RECORD, status=404)),
        (
            "maximum attempts",
            replace(RECORD, runs=tuple(replace(RUN, server=f"s{n}") for n in range(3))),
        ),
        ("deadlines", run_as(RECORD, deadline_ms=2_501)),
        ("deadlines", run_as(RECORD, deadline_ms=0)),
        ("leaving backend servers", replace(RECORD, leaves=(Leave("s1", 7.0),))),
        ("answers in time", sent_as(RECORD, ended_s=13.1)),
        (
            "closed connections",
            replace(RECORD, sent=(replace(SENT, status=CLOSED, at_s=9.0),) * 4),
        ),
        ("recovery", sent_as(RECORD, status=502)),
        ("recovery", replace(RECORD, callers={"e": "web", "f": "web"})),
    ],
)
def test_each_broken_promise_is_seen(promise: str, record: Record) -> None:
    assert promise in {violation.promise for violation in judge(record)}


@pytest.mark.parametrize(
    "record",
    [
        # Invariants with time limits do not apply during a fault on the instance.
        replace(sent_as(RECORD, ended_s=13.1), disturbed={"e": [(9.0, 9.5)]}),
        replace(RECORD, leaves=(Leave("s1", 7.0),), disturbed={"m1": [(8.0, 8.1)]}),
        replace(run_as(RECORD, service="pages"), disturbed={"store": [(9.0, 9.5)]}),
        replace(sent_as(RECORD, status=LEFT, ended_s=20.0), calm_from_s=5.0),
    ],
)
def test_what_a_fault_excuses_is_no_violation(record: Record) -> None:
    found = {violation.promise for violation in judge(record)}
    # Recovery is not shown if every caller disconnected before its response.
    assert found <= {"recovery"}

"""Tests that delayed or repeated reports neither revive nor replace a server.

Reports can arrive out of order, also after the server that sent them has departed or
another server has started at the same address.
"""

import pytest

from ..backend_state import BackendReport, BackendState, Departure


def make_report(
    backend: str = "i-1", born_ms: int = 10, sequence: int = 1, draining: bool = False
) -> BackendReport:
    return BackendReport(backend, "orders", "h:1", 6, draining, born_ms, sequence)


@pytest.mark.parametrize(
    ("steps", "current", "serving"),
    [
        ([make_report()], "i-1", True),
        (
            [make_report(sequence=2), make_report(sequence=1, draining=True)],
            "i-1",
            True,
        ),
        ([make_report(), make_report(sequence=2, draining=True)], "i-1", False),
        ([make_report("i-2", 20), make_report("i-1", 10, 99)], "i-2", True),
        ([make_report("i-1", 10, 99), make_report("i-2", 20, 1)], "i-2", True),
        ([make_report(sequence=9), make_report(born_ms=20, sequence=1)], "i-1", True),
        ([make_report(), Departure("i-1", 0), make_report(sequence=2)], "i-1", False),
        ([make_report(), Departure("i-1", 5)], "i-1", True),
        ([make_report("i-2", 20), Departure("i-1", 0)], "i-2", True),
        ([Departure("i-1", 10), make_report(sequence=7)], None, False),
        ([Departure("i-1", 10), make_report(born_ms=11)], "i-1", True),
        ([make_report(), Departure("i-1", 10), make_report("i-2", 20)], "i-2", True),
    ],
    ids=[
        "first",
        "late-report",
        "draining",
        "late-report-of-a-stopped-server",
        "replaced",
        "restarted-under-its-id",
        "report-after-departure",
        "departure-of-an-earlier-start",
        "departure-of-another",
        "departure-before-any-report",
        "new-start-after-departure",
        "successor",
    ],
)
def test_report_of_the_latest_start_takes_precedence(
    steps: list[BackendReport | Departure], current: str | None, serving: bool
) -> None:
    backend_state = BackendState()
    for step in steps:
        if isinstance(step, Departure):
            backend_state.apply_departure(step)
        else:
            backend_state.apply_report(step)
    current_report = backend_state.current
    assert (current_report.backend if current_report else None) == current
    assert (backend_state.serving is not None) == serving

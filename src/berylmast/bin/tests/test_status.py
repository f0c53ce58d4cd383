"""Guards against a status that hides daemons on an old document version."""

from typing import Any

import pytest

from ...model import Endpoint, EndpointState
from ...operators.fleet_status import FleetStatus
from .._output import Exit
from .._status import list_admin_addresses, make_report


def make_answer(version: int) -> dict[str, Any]:
    lifecycle = {"leaving": False, "reasons": []}
    return {"lifecycle": lifecycle, "load": None, "membership": {"version": version}}


ACCEPTED = FleetStatus("trial", 5, "d" * 64, (), ())


@pytest.mark.parametrize(
    ("found", "versions", "errors", "code", "lagging"),
    [
        (ACCEPTED, [5, 5], {}, Exit.OK, []),
        (ACCEPTED, [5, 6], {}, Exit.OK, []),
        (ACCEPTED, [5, 4], {}, Exit.LAGGING, ["1"]),
        (ACCEPTED, [4, 5], {"x": "gone"}, Exit.UNAVAILABLE, ["0"]),
        (ACCEPTED, [], {}, Exit.OK, []),
        (None, [4], {}, Exit.OK, []),
        (None, [], {"x": "gone"}, Exit.UNAVAILABLE, []),
    ],
)
def test_lagging_and_unreachable_daemons(
    found: FleetStatus | None,
    versions: list[int],
    errors: dict[str, str],
    code: Exit,
    lagging: list[str],
) -> None:
    answers = {str(n): make_answer(version) for n, version in enumerate(versions)}
    report = make_report(found, answers, errors)
    assert report.code is code
    assert report.text.count("lagging") == len(lagging)
    assert all(error in report.text for error in errors.values())
    assert isinstance(report.data, dict)
    assert report.data["lagging"] == lagging


def test_every_instance_that_is_not_gone_is_asked_once() -> None:
    states = [EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
    records = tuple(
        Endpoint(f"{n}-{m}", "orders", f"host-{n}", 1, "north", "n1", 1, 1, state)
        for n, state in enumerate(states)
        for m in range(2)
    )
    found = FleetStatus("trial", 5, "", (), records)
    addresses = [str(address) for address in list_admin_addresses(found, 8082)]
    assert addresses == ["host-0:8082", "host-1:8082"]

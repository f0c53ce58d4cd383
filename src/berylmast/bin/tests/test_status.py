"""Guards against a status that hides daemons on an old document version."""

from typing import Any

import pytest

from ...model import Endpoint, EndpointState
from ...operators.fleet_status import FleetStatus
from .._output import ExitCode
from .._status import list_admin_addresses, make_status_result


def make_status_response(version: int) -> dict[str, Any]:
    lifecycle = {"leaving": False, "reasons": []}
    return {"lifecycle": lifecycle, "load": None, "membership": {"version": version}}


ACCEPTED_STATUS = FleetStatus("trial", 5, "d" * 64, (), ())


@pytest.mark.parametrize(
    ("fleet_status", "versions", "errors", "code", "lagging"),
    [
        (ACCEPTED_STATUS, [5, 5], {}, ExitCode.OK, []),
        (ACCEPTED_STATUS, [5, 6], {}, ExitCode.OK, []),
        (ACCEPTED_STATUS, [5, 4], {}, ExitCode.LAGGING, ["1"]),
        (ACCEPTED_STATUS, [4, 5], {"x": "gone"}, ExitCode.UNAVAILABLE, ["0"]),
        (ACCEPTED_STATUS, [], {}, ExitCode.OK, []),
        (None, [4], {}, ExitCode.OK, []),
        (None, [], {"x": "gone"}, ExitCode.UNAVAILABLE, []),
    ],
)
def test_lagging_and_unreachable_daemons(
    fleet_status: FleetStatus | None,
    versions: list[int],
    errors: dict[str, str],
    code: ExitCode,
    lagging: list[str],
) -> None:
    responses = {
        str(n): make_status_response(version) for n, version in enumerate(versions)
    }
    result = make_status_result(fleet_status, responses, errors)
    assert result.code is code
    assert result.text.count("lagging") == len(lagging)
    assert all(error in result.text for error in errors.values())
    assert isinstance(result.data, dict)
    assert result.data["lagging"] == lagging


def test_each_instance_that_is_not_gone_is_queried_once() -> None:
    states = [EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
    records = tuple(
        Endpoint(f"{n}-{m}", "orders", f"host-{n}", 1, "north", "n1", 1, 1, state)
        for n, state in enumerate(states)
        for m in range(2)
    )
    fleet_status = FleetStatus("trial", 5, "", (), records)
    addresses = [str(address) for address in list_admin_addresses(fleet_status, 8082)]
    assert addresses == ["host-0:8082", "host-1:8082"]

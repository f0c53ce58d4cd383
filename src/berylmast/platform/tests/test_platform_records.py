"""Tests which objects of the store count as endpoint records."""

from dataclasses import replace

import pytest

from ...model import FINAL_SEQ, Endpoint, EndpointState
from ..records import format_record, parse_record

RECORD = Endpoint("b1", "orders", "10.0.0.1", 7, "n", "n1", 1_700_000_000_000, 501)


@pytest.mark.parametrize("seq", [0, 501, FINAL_SEQ])
@pytest.mark.parametrize("state", list(EndpointState))
def test_record_is_read_as_it_was_written(state: EndpointState, seq: int) -> None:
    record = replace(RECORD, state=state, seq=seq)
    assert parse_record(format_record(record)).unwrap() == record


@pytest.mark.parametrize(
    "change",
    [
        {"incarnation": "1800000000000"},
        {"incarnation": True},
        {"seq": 1.5},
        {"seq": 2.0},
        {"port": "7"},
        {"backend": 5},
        {"state": "lost"},
        {"state": 1},
        {"service": None},
    ],
    ids=str,
)
def test_field_of_another_type_makes_no_record(change: dict[str, object]) -> None:
    """Numbers as text were accepted, so such a record replaced that of a server."""
    assert parse_record({**format_record(RECORD), **change}).is_err()


@pytest.mark.parametrize("spec", [None, 5, "x", [], {}, {"backend": "b1"}], ids=repr)
def test_other_value_makes_no_record(spec: object) -> None:
    assert parse_record(spec).is_err()

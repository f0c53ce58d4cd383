"""Guards against records that revert to an older state.

Copies of a record reach a daemon in any order, from the store and from other daemons.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...daemon import make_incarnation
from ...model import Endpoint, EndpointState
from ...platform.records import format_record, parse_record
from ..directory import Directory
from ..records import (
    RecordTable,
    pack_record,
    split_records,
    supersedes,
    unpack_record,
    unpack_records,
)
from ..registry import EndpointRegistry

READY, DRAINING, GONE = EndpointState


def make_record(
    backend: str = "a0",
    incarnation: int = 1,
    seq: int = 1,
    state: EndpointState = READY,
    domain: str = "n1",
) -> Endpoint:
    return Endpoint(
        backend, "orders", "h", 1, domain[0], domain, incarnation, seq, state
    )


@pytest.mark.parametrize(
    ("new", "old", "expected"),
    [
        ((1, 2, READY), (1, 1, GONE), True),
        ((2, 1, READY), (1, 9, DRAINING), True),
        ((1, 1, READY), (1, 1, READY), False),
        ((1, 1, GONE), (1, 1, READY), True),
        ((1, 1, READY), (1, 1, GONE), False),
        ((1, 1, GONE), (1, 2, READY), False),
        ((1, 9, READY), (2, 1, GONE), False),
    ],
)
def test_order_of_records(
    new: tuple[int, int, EndpointState],
    old: tuple[int, int, EndpointState],
    expected: bool,
) -> None:
    assert supersedes(make_record("a0", *new), make_record("a0", *old)) is expected


records = st.builds(
    make_record,
    st.sampled_from(["a0", "a1"]),
    st.integers(1, 3),
    st.integers(1, 3),
    # A daemon never announces two states with one seq; other daemons set only GONE.
    st.sampled_from([READY, GONE]),
)


@given(st.lists(records), st.randoms())
def test_tables_agree_on_records_merged_in_any_order(
    items: list[Endpoint], rng: object
) -> None:
    shuffled = list(items)
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    tables = [RecordTable(), RecordTable()]
    tables[0].merge(items)
    for record in shuffled:
        tables[1].merge([record])
    for backend in ("a0", "a1"):
        assert tables[0].get(backend) == tables[1].get(backend)


def test_records_survive_the_wire_and_unknown_states_are_left_out() -> None:
    many = [make_record(f"a{n}", state=DRAINING) for n in range(1200)]
    parts = split_records(many)
    assert [len(part) for part in parts] == [500, 500, 200]
    assert [unpack_record(record) for part in parts for record in part] == many
    unknown_state = (*pack_record(many[0])[:8], "hibernating")
    assert unpack_records([unknown_state, pack_record(many[1])]) == [many[1]]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (0, "b" * 129),
        (2, "\ufffd"),
        (2, ""),
        (2, "a b"),
        (3, 0),
        (3, 65_536),
        (6, 2**63),
        (6, -1),
        (7, 2**64),
    ],
)
def test_invalid_record_of_another_daemon_hides_no_other_one(
    field: int, value: object
) -> None:
    """It comes with sound ones, which would be refused with it."""
    sound = pack_record(make_record())
    invalid = list(pack_record(make_record("a1")))
    invalid[field] = value
    assert unpack_records([tuple(invalid), sound]) == [make_record()]  # type: ignore[list-item]


def test_record_with_the_incarnation_of_a_daemon_survives_the_wire() -> None:
    """Without reports a server's start is its daemon's, which is above 2**53.

    A bound of 2**53 made daemons of the own interface unknown to each other.
    """
    record = make_record(incarnation=make_incarnation())
    assert unpack_records([pack_record(record)]) == [record]
    assert parse_record(format_record(record)).unwrap() == record


def test_gone_backend_stays_gone_in_a_directory() -> None:
    directory = Directory()
    directory.put_endpoint(make_record())
    directory.put_endpoint(make_record(state=GONE))
    directory.mark_draining("a0")
    assert not directory.put_endpoint(make_record())
    assert list(directory.endpoints("orders")) == []
    assert directory.put_endpoint(make_record(seq=2))
    assert len(directory.endpoints("orders")) == 1


def test_memory_for_gone_backends_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("berylmast.membership.records.MAX_GONE_RECORDS", 10)
    monkeypatch.setattr("berylmast.membership.directory.MAX_GONE_RECORDS", 10)
    table, directory = RecordTable(), Directory()
    for number in range(50):
        gone = make_record(f"a{number}", state=GONE)
        table.merge([gone])
        directory.put_endpoint(gone)
    assert len(table.of_service("orders")) == 10
    assert len(directory._gone) == 10
    assert len(table) == 0


@pytest.mark.parametrize(
    ("records", "expected"),
    [
        ([], False),
        ([make_record("a0")], True),
        ([make_record("a0", state=DRAINING)], True),
        ([make_record("a0", state=GONE)], False),
        ([make_record("a0"), make_record("a1", incarnation=2, state=GONE)], True),
        ([make_record("a0"), make_record("a1", 2), make_record("a1", 2, 9)], True),
    ],
)
def test_daemon_knows_whether_others_count_it(
    records: list[Endpoint], expected: bool
) -> None:
    """Guards against duties that others assign to a daemon which doesn't know it.

    The record of a server that is gone stays if its daemon lost its memory. The other
    daemons go on counting that daemon.
    """
    registry = EndpointRegistry(Directory())
    registry.merge(records)
    assert registry.knows_daemon(("h", 1)) is expected
    assert bool(registry.peers(("other", 1)).all) is expected
    assert not registry.knows_daemon(("h", 2))

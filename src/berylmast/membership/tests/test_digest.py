"""Guards against differences that comparisons miss, and against sending all records."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...model import Endpoint, EndpointState
from ..digest import BUCKET_COUNT, DigestTable, get_bucket, parse_digest


def make_record(number: int, seq: int = 1) -> Endpoint:
    return Endpoint(f"i-{number}", "orders", f"h{number}", 1, "n", "n1", 1, seq)


@given(st.lists(st.integers(0, 50), unique=True), st.integers(0, 2**16))
def test_digest_depends_on_the_records_and_not_on_their_order(
    numbers: list[int], seed: int
) -> None:
    table = DigestTable(make_record(number) for number in numbers)
    shuffled = list(numbers)
    Random(seed).shuffle(shuffled)
    other = DigestTable(make_record(number, seq=9) for number in shuffled)
    if numbers:
        assert table.get_digest() != other.get_digest()
    for number in shuffled:
        other.put(make_record(number))
    assert table.get_digest() == other.get_digest()


def test_difference_of_one_record_is_found_in_its_bucket_only() -> None:
    """A comparison sent all records of the fleet for one that differed."""
    first = DigestTable(make_record(number) for number in range(500))
    second = DigestTable(make_record(number) for number in range(500))
    second.put(make_record(7, seq=2))
    found = first.get_digest().find_differing_buckets(second.get_digest())
    assert found == {get_bucket("i-7")}


@pytest.mark.parametrize(
    ("with_buckets", "expected"), [(True, 1), (False, BUCKET_COUNT)]
)
def test_digest_survives_the_wire(with_buckets: bool, expected: int) -> None:
    digest = DigestTable(make_record(number) for number in range(9)).get_digest()
    received = parse_digest(digest.format(with_buckets=with_buckets))
    other = DigestTable(make_record(number) for number in range(10)).get_digest()
    assert received.total == digest.total
    assert len(received.find_differing_buckets(other)) == expected


@pytest.mark.parametrize("text", ["", "/", "x/12", "a1b2c3d4e5f60718", "/" * 300])
def test_digest_of_an_unknown_form_differs_in_every_bucket(text: str) -> None:
    digest = DigestTable([make_record(1)]).get_digest()
    found = digest.find_differing_buckets(parse_digest(text))
    assert len(found) == BUCKET_COUNT


def test_departure_changes_the_digest() -> None:
    record = make_record(1)
    gone = replace(record, state=EndpointState.GONE)
    assert DigestTable([record]).get_digest() != DigestTable([gone]).get_digest()

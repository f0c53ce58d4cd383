"""Guards against requests that leave the home regions of their route or tenant."""

import pytest

from ..home_regions import combine_home_regions, describe_home_regions

A, B, AB, NONE = (frozenset(x) for x in ("a", "b", "ab", ""))


@pytest.mark.parametrize(
    ("homes", "expected"),
    [
        ((), None),
        ((NONE,), None),
        ((NONE, NONE), None),
        ((A,), A),
        ((A, NONE), A),
        ((NONE, AB), AB),
        ((AB, A), A),
        ((A, B), NONE),
        ((A, B, NONE), NONE),
    ],
)
def test_all_restrictions_apply(
    homes: tuple[frozenset[str], ...], expected: frozenset[str] | None
) -> None:
    """An empty intersection must not be taken for "no restriction"."""
    assert combine_home_regions(*homes) == expected


@pytest.mark.parametrize(("regions", "text"), [(AB, "a, b"), (NONE, "none in common")])
def test_refusals_name_the_homes(regions: frozenset[str], text: str) -> None:
    assert text in describe_home_regions(regions)

"""Guards against a region without watchers, or with as many as it has daemons."""

import pytest

from ..peers import PeerAddress
from ..watchers import choose_watchers


def make_daemons(**domains: int) -> list[tuple[PeerAddress, str]]:
    return sorted(
        ((f"{domain}-{number:02}", 1), domain)
        for domain, count in domains.items()
        for number in range(count)
    )


@pytest.mark.parametrize(
    ("domains", "unreachable", "expected"),
    [
        ({"a": 1}, (), ["a-00"]),
        ({"a": 50}, (), ["a-00", "a-01", "a-02", "a-03"]),
        ({"a": 50, "b": 50}, (), ["a-00", "b-00", "a-01", "b-01"]),
        ({"a": 9, "b": 9, "c": 9}, (), ["a-00", "b-00", "c-00", "a-01"]),
        ({"a": 9, "b": 9}, ("a-00", "b-01"), ["a-01", "b-00", "a-02", "b-02"]),
        ({"a": 9, "b": 1}, (), ["a-00", "b-00", "a-01", "a-02"]),
    ],
    ids=["alone", "one-domain", "two", "three", "unreachable", "unequal"],
)
def test_watchers_are_few_and_spread_over_the_failure_domains(
    domains: dict[str, int], unreachable: tuple[str, ...], expected: list[str]
) -> None:
    chosen = choose_watchers(
        make_daemons(**domains), {(host, 1) for host in unreachable}
    )
    assert [host for host, _ in chosen] == expected

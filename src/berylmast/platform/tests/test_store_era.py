"""Guards against a revision of an older era that is used in a newer one.

The store gives the same revisions out again after it came back from a copy.
"""

import anyio
import pytest

from ..objects import PlatformUnavailable, RevisionExpired
from ..store_era import StoreEra, check_era

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("named", "usable", "current", "risen"),
    [
        ([], [], 0, []),
        ([0, 0], [True, True], 0, []),
        ([3], [True], 3, []),
        ([3, 3], [True, True], 3, []),
        ([3, 4], [True, True], 4, [4]),
        ([3, 4, 3, 4], [True, True, False, True], 4, [4]),
        ([3, 6, 0], [True, True, True], 6, [6]),
    ],
    ids=["none", "unnamed", "first", "same", "risen", "late-response", "unnamed-later"],
)
async def test_only_a_rise_is_told_and_older_responses_are_rejected(
    named: list[int], usable: list[bool], current: int, risen: list[int]
) -> None:
    era = StoreEra()
    told: list[int] = []
    era.add_listener(told.append)
    assert [era.observe(number) for number in named] == usable
    assert era.current == current
    assert told == risen


async def test_wait_ends_when_another_response_shows_the_rise() -> None:
    """The watch would wait on a revision that was given out again."""
    era = StoreEra()
    era.observe(1)
    ended_s: list[float] = []

    async def watch() -> None:
        with pytest.raises(RevisionExpired):
            await era.run_in_era(anyio.sleep_forever)
        ended_s.append(anyio.current_time())

    async with anyio.create_task_group() as tg:
        tg.start_soon(watch)
        await anyio.sleep(1.0)
        started_s = anyio.current_time()
        era.observe(2)
    assert ended_s == [started_s]


@pytest.mark.parametrize("first", [0, 1])
async def test_response_of_the_call_itself_is_returned_when_it_shows_the_rise(
    first: int,
) -> None:
    era = StoreEra()
    era.observe(first)

    async def call() -> str:
        await anyio.sleep(0.1)
        check_era(era, 2)
        return "changes"

    assert await era.run_in_era(call) == "changes"


@pytest.mark.parametrize("error", [PlatformUnavailable("x"), RevisionExpired("x")])
async def test_errors_of_the_call_are_raised_as_they_are(error: Exception) -> None:
    era = StoreEra()
    era.observe(1)

    async def call() -> None:
        await anyio.sleep(0.1)
        raise error

    with pytest.raises(type(error)) as raised:
        await era.run_in_era(call)
    assert raised.value is error


async def test_late_response_of_an_older_era_counts_as_none() -> None:
    era = StoreEra()
    check_era(era, 2)
    with pytest.raises(PlatformUnavailable):
        check_era(era, 1)

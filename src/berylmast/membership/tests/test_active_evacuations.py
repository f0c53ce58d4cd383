"""Guards against acting on old evacuations, or missing newer ones."""

import anyio
import pytest

from ...model import Evacuations
from ..active_evacuations import ActiveEvacuations
from ..evacuation_sync import MIN_WATCH_S, SPREAD_TIME_S, get_watch_time_s
from ..watchers import WatchRole

pytestmark = pytest.mark.anyio

BASE = Evacuations(1, 5, ("z1",))


@pytest.mark.parametrize(
    ("new", "failure_domains"),
    [
        (Evacuations(1, 6, ()), set()),
        (Evacuations(1, 6, ("z1", "z2")), {"z1", "z2"}),
        (Evacuations(1, 6, ("z2",)), {"z2"}),
        (Evacuations(1, 6, ("z1",)), {"z1"}),
        (Evacuations(1, 5, ()), {"z1"}),
        (Evacuations(1, 4, ()), {"z1"}),
        (Evacuations(2, 3, ()), set()),
        (Evacuations(2, 3, ("z3",)), {"z3"}),
        (Evacuations(0, 9, ()), {"z1"}),
    ],
)
async def test_newest_value_counts(new: Evacuations, failure_domains: set[str]) -> None:
    """A lower revision of a later era is newer than any of an earlier one."""
    active = ActiveEvacuations()
    heard: list[frozenset[str]] = []
    active.add_listener(heard.append)
    assert active.adopt(BASE, "store")
    changed = active.adopt(new, "peer")
    assert active.failure_domains == failure_domains
    assert changed == (failure_domains != {"z1"})
    assert heard == [{"z1"}, *([failure_domains] if changed else [])]
    assert active.current is not None
    assert active.current.order == max(new.order, BASE.order)


async def test_first_value_without_evacuations_is_known_but_no_change() -> None:
    """Otherwise each start of a daemon would be spread through the fleet."""
    active = ActiveEvacuations()
    assert active.report() is None
    assert not active.adopt(Evacuations(1, 5), "store")
    assert active.current == Evacuations(1, 5)


async def test_age_counts_from_the_last_word_that_is_not_older() -> None:
    active = ActiveEvacuations()
    active.adopt(BASE, "store")
    ages = []
    for value in (Evacuations(1, 4), BASE, Evacuations(1, 6, ("z1",))):
        await anyio.sleep(2)
        active.adopt(value, "peer")
        ages.append(active.age_s)
    assert ages == [2, 0, 0]
    report = active.report()
    assert report == {"era": 1, "revision": 6, "failure_domains": ["z1"], "age_s": 0}


@pytest.mark.parametrize("within_s", [0.5, 2.0, 5.0, 30.0])
def test_silent_first_watch_ends_within_the_bound(within_s: float) -> None:
    watch_s = get_watch_time_s(WatchRole.FIRST, within_s)
    assert watch_s <= max(MIN_WATCH_S, within_s - SPREAD_TIME_S)
    assert watch_s <= get_watch_time_s(WatchRole.BACKUP, within_s)

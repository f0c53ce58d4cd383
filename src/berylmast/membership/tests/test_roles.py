"""Guards against two holders of one registrar role, and against roles left vacant."""

from random import Random
from typing import Any

import anyio
import pytest

from berylmast_dev.objects import ObjectTable

from ...platform import Listing, PlatformObject
from ...platform.tests.fake import FakePlatform
from ..election import HAND_OVER_LIMIT_S
from ..holding import RELEASE_LIMIT_S, hold_lease
from ..lease_reader import LeaseReader
from ..leases import LEASE_KIND, LEASE_S, Claim, Lease, LeaseTable
from .fleet import Fleet, run_fleet

pytestmark = pytest.mark.anyio

CLAIM = Claim(Lease("n1-0", "a0", "n", "n1", "a0", 1), 7)


async def start(fleet: Fleet, registrars: int = 1) -> None:
    fleet.apply(1, orders=6)
    for number in range(4):
        fleet.start(f"a{number}", "n1", registrars=registrars)
        fleet.start(f"b{number}", "s1", registrars=registrars)
    await anyio.sleep(15)


async def test_holder_cut_off_past_its_lease_is_fenced() -> None:
    async with run_fleet() as fleet:
        await start(fleet)
        old = fleet.registrars()["n1-0"]
        fleet.daemons[old].platform.down = True
        await fleet.wait_until(
            lambda: fleet.holders()["n1-0"] != old, LEASE_S + 5.0 + 8.0
        )
        new = fleet.holders()["n1-0"]
        fleet.daemons[old].platform.down = False
        await anyio.sleep(12)
        assert fleet.daemons[old].member.role is None
        assert fleet.registrars()["n1-0"] == new
        everyone = set(fleet.daemons)
        assert all(fleet.known(name) == everyone for name in everyone)


async def test_dead_holder_is_replaced_by_its_domain() -> None:
    async with run_fleet() as fleet:
        await start(fleet)
        old = fleet.registrars()["s1-0"]
        fleet.stop(old)
        await fleet.wait_until(
            lambda: fleet.registrars().get("s1-0", old) != old, LEASE_S + 5.0 + 8.0
        )
        assert fleet.registrars()["s1-0"][0] == "b"
        await anyio.sleep(10)
        for name, daemon in fleet.daemons.items():
            attached = daemon.member.attached
            assert attached is not None
            assert attached.failure_domain[0] == ("n" if name[0] == "a" else "s")


@pytest.mark.parametrize("daemons", [4, 40])
async def test_stopping_holder_hands_its_role_over_at_once(daemons: int) -> None:
    """Without a release the takeover waits for the lapse, 15 to 25 s."""
    async with run_fleet() as fleet:
        await start(fleet)
        for number in range(4, daemons):
            fleet.start(f"a{number}", "n1")
        await anyio.sleep(10)
        old = fleet.registrars()["n1-0"]
        calls = sum(d.platform.calls for d in fleet.daemons.values())
        fleet.daemons[old].member.hand_over()
        await fleet.wait_until(
            lambda: fleet.registrars().get("n1-0", old) != old, HAND_OVER_LIMIT_S
        )
        calls = sum(d.platform.calls for d in fleet.daemons.values()) - calls
        assert calls < 20, "one daemon claims, not all"
        for _ in range(100):
            await anyio.sleep(0.1)
            for name in fleet.daemons:
                assert fleet.known(name) == set(fleet.daemons)
        assert fleet.daemons[old].member.role is None
        for name, daemon in fleet.daemons.items():
            assert daemon.member.attached is not None
            assert (
                daemon.member.attached.shard == f"{'n' if name[0] == 'a' else 's'}1-0"
            )


async def test_stopping_holder_waits_for_no_platform() -> None:
    async with run_fleet() as fleet:
        await start(fleet)
        old = fleet.registrars()["n1-0"]
        fleet.set_down(True)
        fleet.daemons[old].member.hand_over()
        await fleet.wait_until(
            lambda: fleet.daemons[old].member.role is None, RELEASE_LIMIT_S + 0.1
        )
        await anyio.sleep(10)
        attached = fleet.daemons[old].member.attached
        assert attached is not None and attached.shard == "s1-0"


async def test_few_daemons_compete_for_a_vacant_role() -> None:
    async with run_fleet() as fleet:
        for number in range(60):
            fleet.start(f"a{number}", "n1")
        fleet.start("b0", "s1")
        await anyio.sleep(15)
        fleet.stop(fleet.registrars()["n1-0"])
        before = {name: d.platform.calls for name, d in fleet.daemons.items()}
        await anyio.sleep(45)
        registrars = set(fleet.registrars().values())
        calls = sum(
            daemon.platform.calls - before[name]
            for name, daemon in fleet.daemons.items()
            if name not in registrars
        )
        assert len(registrars) == 2
        assert calls <= 12


async def test_leases_are_not_all_read_at_every_renewal() -> None:
    """At 120 registrars every renewal sent to everyone would cost 7 KB/s each."""
    async with run_fleet() as fleet:
        for number in range(6):
            fleet.start(f"a{number}", f"n{number}")
        await anyio.sleep(30)
        assert len(fleet.registrars()) == 6
        for daemon in fleet.daemons.values():
            daemon.platform.log.clear()
        await anyio.sleep(120)
        for daemon in fleet.daemons.values():
            assert ("watch", LEASE_KIND) not in daemon.platform.log
            assert daemon.platform.log.count(("list", LEASE_KIND)) <= 3
            assert daemon.platform.log.count(("get", LEASE_KIND)) <= 31


class ChangingLinks:
    def __init__(self) -> None:
        self.link_changed = anyio.Event()
        self.changed_shards: set[str] = set()

    def is_linked(self, shard: str) -> bool:
        return True


async def test_links_that_keep_changing_cause_few_lists() -> None:
    """One list for every change would cost megabytes at a restart of everything."""
    platform, links = FakePlatform(ObjectTable()), ChangingLinks()
    table = LeaseTable(anyio.current_time)
    reader = LeaseReader(platform, table, "n1-0", links, Random(1), lambda: None)
    async with anyio.create_task_group() as tg:
        tg.start_soon(reader.run)
        for number in range(400):
            await anyio.sleep(0.05)
            links.changed_shards.add(f"n1-{number}")
            links.link_changed.set()
        tg.cancel_scope.cancel()
    assert 5 <= platform.calls <= 15


async def test_holder_removed_for_good_is_not_searched_for_ever() -> None:
    async with run_fleet() as fleet:
        await start(fleet)
        for number in range(4):
            fleet.stop(f"a{number}")
        await anyio.sleep(120)
        platform = fleet.daemons[fleet.registrars()["s1-0"]].platform
        platform.log.clear()
        await anyio.sleep(120)
        assert platform.log.count(("list", LEASE_KIND)) <= 3


async def test_reads_far_apart_prove_no_lapse() -> None:
    """Between them the platform may have been down, and the holder without a fault."""
    platform = FakePlatform(ObjectTable())
    item = make_lease(platform, "a0")
    table = LeaseTable(anyio.current_time, max_gap_s=10.0)
    for wait_s, lapsed in [(0, False), (60, False), (8, False), (8, True), (60, True)]:
        await anyio.sleep(wait_s)
        table.take_object(item)
        assert table.leases()["n1-0"].lapsed is lapsed


async def test_two_registrars_of_a_domain_share_its_daemons() -> None:
    async with run_fleet() as fleet:
        await start(fleet, registrars=2)
        assert set(fleet.registrars()) == {"n1-0", "n1-1", "s1-0", "s1-1"}
        assert len(set(fleet.registrars().values())) == 4
        everyone = set(fleet.daemons)
        assert all(fleet.known(name) == everyone for name in everyone)


@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_answers_of_renewals_do_not_end_a_role(lost: int) -> None:
    async with run_fleet() as fleet:
        await start(fleet)
        roles = fleet.registrars()
        for _ in range(10):
            for name in roles.values():
                fleet.daemons[name].platform.lose_puts = lost
            await anyio.sleep(5)
        assert fleet.registrars() == roles


def make_lease(platform: FakePlatform, daemon: str) -> PlatformObject:
    spec = {
        "daemon": daemon,
        "region": "n",
        "failure_domain": "n1",
        "host": daemon,
        "port": 1,
        "incarnation": 7,
        "renewed": 0,
    }
    stored = platform.table.put(LEASE_KIND, "n1-0", spec, None)
    return PlatformObject.model_validate(stored)


async def test_paused_holder_steps_down_at_its_first_renewal() -> None:
    platform = FakePlatform(ObjectTable())
    mine = make_lease(platform, "a0")
    make_lease(platform, "a1")
    with anyio.fail_after(6):
        await hold_lease(platform, CLAIM, mine, anyio.Event())
    stored = platform.table.get(LEASE_KIND, "n1-0")
    assert stored is not None
    assert stored["spec"]["daemon"] == "a1"


async def test_renewal_of_unknown_outcome_is_found_later() -> None:
    platform = FakePlatform(ObjectTable())
    mine = make_lease(platform, "a0")
    make_lease(platform, "a0")
    with anyio.move_on_after(60) as scope:
        await hold_lease(platform, CLAIM, mine, anyio.Event())
    assert scope.cancelled_caught, "the newer object is this holder's own"


@pytest.mark.parametrize(
    ("steps", "lapsed"),
    [
        ([("list", 1), ("wait", 14)], False),
        # Only a read proves that the holder has not renewed.
        ([("list", 1), ("wait", 16)], False),
        ([("list", 1), ("wait", 14), ("list", 1)], False),
        ([("list", 1), ("wait", 16), ("list", 1)], True),
        ([("list", 1), ("wait", 16), ("list", 1), ("wait", 60)], True),
        ([("list", 1), ("wait", 16), ("list", 1), ("list", 2)], False),
        ([("list", 1), ("wait", 14), ("list", 2), ("wait", 14)], False),
        ([("list", 1), ("wait", 14), ("list", 1), ("wait", 2), ("list", 1)], True),
        # While nothing can be observed, no lease lapses; the clock then starts anew.
        ([("list", 1), ("lose", 0), ("wait", 60)], False),
        ([("list", 1), ("lose", 0), ("wait", 60), ("list", 1), ("wait", 14)], False),
        (
            [
                ("list", 1),
                ("lose", 0),
                ("wait", 60),
                ("list", 1),
                ("wait", 16),
                ("list", 1),
            ],
            True,
        ),
    ],
)
async def test_lease_lapses_by_the_observers_clock(
    steps: list[tuple[str, int]], lapsed: bool
) -> None:
    table = LeaseTable(anyio.current_time)
    spec: dict[str, Any] = {
        "daemon": "a0",
        "region": "n",
        "failure_domain": "n1",
        "host": "a0",
        "port": 1,
        "incarnation": 7,
    }
    for step, value in steps:
        if step == "wait":
            await anyio.sleep(value)
        elif step == "lose":
            table.lose()
        else:
            item = {
                "kind": LEASE_KIND,
                "metadata": {"name": "n1-0", "resourceVersion": value},
                "spec": spec,
            }
            table.take_listing(Listing(value, (PlatformObject.model_validate(item),)))
    assert table.leases()["n1-0"].lapsed is lapsed

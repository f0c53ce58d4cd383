"""Guards against members that miss records, documents or a lost registrar."""

from collections import Counter

import anyio
import pytest

from ...daemons.frames import Endpoints
from ...model import EndpointState
from ..leases import LEASE_KIND
from ..links import BEAT_INTERVAL_S, BEAT_LIMIT_S
from ..registrar import ADOPT_S, GONE_DELAY_S
from .fleet import Fleet, run_fleet

pytestmark = pytest.mark.anyio

SETTLED_S = 10.0


async def start_two_domains(fleet: Fleet) -> None:
    fleet.apply(1, orders=6, drawings=6)
    for number in range(3):
        fleet.start(f"a{number}", "n1")
        fleet.start(f"b{number}", "s1")
    await anyio.sleep(SETTLED_S)


ALL = {"a0", "a1", "a2", "b0", "b1", "b2"}


async def test_fleet_elects_one_registrar_per_domain_and_agrees() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        assert set(fleet.registrars()) == {"n1-0", "s1-0"}
        assert fleet.holders() == fleet.registrars()
        for name, daemon in fleet.daemons.items():
            assert fleet.known(name) == ALL
            attached = daemon.member.attached
            assert attached is not None
            assert attached.shard == ("n1-0" if name[0] == "a" else "s1-0")
        assert fleet.versions() == {1}


async def test_only_registrars_call_the_platform_at_rest() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        for daemon in fleet.daemons.values():
            daemon.platform.log.clear()
        await anyio.sleep(100)
        registrars = set(fleet.registrars().values())
        for name, daemon in fleet.daemons.items():
            calls = Counter(daemon.platform.log)
            if name not in registrars:
                assert not calls
                continue
            assert calls.pop(("put", LEASE_KIND)) == 20, "one renewal per 5 s"
            assert calls.pop(("get", LEASE_KIND)) <= 25, "one lease per 4 s"
            assert calls.pop(("list", LEASE_KIND)) <= 3, "all leases per 60 s"
            assert not calls


async def test_daemon_holds_only_what_it_serves_or_calls() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        drawer = fleet.start("d0", "n1", "drawings")
        await anyio.sleep(SETTLED_S)
        assert drawer.directory.services() == ["drawings"]
        assert fleet.known("d0", "orders") == set()
        assert fleet.known("a0", "drawings") == set()
        found = await drawer.directory.wait_service("orders.example")
        assert found is not None
        assert found.service == "orders"
        assert fleet.known("d0", "orders") == ALL, "the slice comes with endpoints"


@pytest.mark.parametrize("host", ["nobody.example", ""])
async def test_unknown_host_is_answered_soon_and_once(host: str) -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        daemon = fleet.daemons["a0"]
        started_s = anyio.current_time()
        assert await daemon.directory.wait_service(host) is None
        assert anyio.current_time() - started_s < 0.5
        frames = fleet.frames
        assert await daemon.directory.wait_service(host) is None
        assert fleet.frames == frames


async def test_wait_for_a_host_ends_with_the_deadline_when_detached() -> None:
    async with run_fleet() as fleet:
        daemon = fleet.start("a0", "n1")
        daemon.platform.down = True
        for timeout_s, limit_s in [(0.2, 0.25), (5.0, 1.05)]:
            started_s = anyio.current_time()
            assert await daemon.directory.wait_service("x.example", timeout_s) is None
            assert anyio.current_time() - started_s <= limit_s


async def test_crashed_daemon_is_gone_soon() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        ordinary = sorted(ALL - set(fleet.registrars().values()))[0]
        fleet.stop(ordinary)
        left = ALL - {ordinary}
        await fleet.wait_until(
            lambda: all(fleet.known(name) == left for name in fleet.daemons),
            GONE_DELAY_S + 1.0,
        )


async def test_silent_daemon_is_gone_and_returns_when_heard() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        registrars = set(fleet.registrars().values())
        ordinary = sorted(ALL - registrars)[0]
        others = [name for name in fleet.daemons if name != ordinary]
        fleet.cut = {frozenset({ordinary, name}) for name in others}
        left = ALL - {ordinary}
        await fleet.wait_until(
            lambda: all(fleet.known(name) == left for name in others),
            BEAT_LIMIT_S + GONE_DELAY_S + 1.0,
        )
        fleet.cut.clear()
        await fleet.wait_until(
            lambda: all(fleet.known(name) == ALL for name in others), 45.0
        )


async def test_registrar_change_keeps_its_daemons_in_force() -> None:
    """A daemon that re-attached elsewhere must not be marked gone by anyone."""
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        crashed = fleet.registrars()["n1-0"]
        fleet.stop(crashed)
        left = ALL - {crashed}
        for _ in range(int(60 / 0.05)):
            await anyio.sleep(0.05)
            for name in fleet.daemons:
                assert fleet.known(name) >= left
        assert fleet.registrars()["n1-0"] != crashed
        assert all(fleet.known(name) == left for name in fleet.daemons), (
            "the new holder of the shard knows who did not come back"
        )


async def test_whole_domain_is_marked_gone_when_nobody_takes_over() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        for name in ("a0", "a1", "a2"):
            fleet.stop(name)
        left = {"b0", "b1", "b2"}
        await fleet.wait_until(
            lambda: all(fleet.known(name) == left for name in left), 20 + ADOPT_S
        )


async def test_drain_spreads_within_seconds_without_goaway() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        fleet.set_down(True)
        fleet.daemons["a1"].member.announce_state(EndpointState.DRAINING)
        left = ALL - {"a1"}
        took_s = await fleet.wait_until(
            lambda: all(fleet.known(name) == left for name in fleet.daemons), 2.0
        )
        assert took_s < 1.0


async def test_joins_and_versions_spread_while_the_platform_is_down() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        stale = fleet.registrars()["s1-0"]
        fleet.daemons[stale].platform.silent = True
        await anyio.sleep(1.5)
        fleet.apply(2, orders=7, drawings=6)
        await anyio.sleep(0.2)
        assert fleet.versions() == {1, 2}, "one registrar has not seen the document"
        fleet.set_down(True)
        await fleet.wait_until(lambda: fleet.versions() == {2}, 9.0)
        late = fleet.start("a9", "n1", seeds=("b1",))
        late.platform.down = True
        await fleet.wait_until(
            lambda: all(fleet.known(n) == ALL | {"a9"} for n in fleet.daemons), 9.0
        )
        assert late.directory.document_version == 2
        assert fleet.holders() == fleet.registrars(), "no role changes in an outage"


async def test_outage_longer_than_the_lease_moves_no_role() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        roles = fleet.registrars()
        fleet.set_down(True)
        await anyio.sleep(120)
        fleet.set_down(False)
        fleet.apply(2, orders=8, drawings=6)
        await fleet.wait_until(lambda: fleet.versions() == {2}, 9.0)
        await anyio.sleep(60)
        assert fleet.registrars() == roles


async def test_restart_of_everything_recovers_and_does_not_stampede() -> None:
    async with run_fleet() as fleet:
        fleet.apply(1, orders=6)
        names = [(f"{d}-{n}", d) for d in ("n1", "n2", "s1") for n in range(12)]
        for name, domain in names:
            fleet.start(name, domain)
        await anyio.sleep(SETTLED_S)
        for name, _ in names:
            fleet.stop(name)
        for name, domain in names:
            fleet.start(name, domain)
        everyone = {name for name, _ in names}
        await fleet.wait_until(
            lambda: all(fleet.known(name) == everyone for name in fleet.daemons), 40.0
        )
        ordinary = everyone - set(fleet.registrars().values())
        assert max(fleet.daemons[name].platform.calls for name in ordinary) <= 6


async def test_flapping_daemon_is_announced_ever_later() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        registrars = set(fleet.registrars().values())
        flapping = sorted(ALL - registrars)[0]
        watcher = sorted(registrars)[0]
        waits = []
        for _ in range(6):
            fleet.stop(flapping)
            await anyio.sleep(GONE_DELAY_S + 1.0)
            assert flapping not in fleet.known(watcher)
            fleet.start(flapping, "n1" if flapping[0] == "a" else "s1")
            waits.append(
                await fleet.wait_until(lambda: flapping in fleet.known(watcher), 30.0)
            )
        assert max(waits[:3]) < 3.0, "a few restarts are not delayed"
        assert waits[4] > waits[2] + 2.0
        assert waits[5] > waits[4]


async def test_daemon_restarted_with_another_service_leaves_the_first() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        registrars = set(fleet.registrars().values())
        moved, watcher = sorted(ALL - registrars)[:2]
        fleet.stop(moved)
        fleet.start(moved, "n1" if moved[0] == "a" else "s1", "drawings")
        await anyio.sleep(SETTLED_S)
        assert moved not in fleet.known(watcher)
        assert fleet.known(moved, "drawings") == {moved}


async def test_endpoints_are_written_in_batches_and_only_when_changed() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        name = fleet.registrars()["n1-0"]
        daemon = fleet.daemons[name]
        daemon.platform.log.clear()
        for number in range(20):
            fleet.start(f"late{number}", "n1")
        await anyio.sleep(10)
        writes = daemon.platform.log.count(("put", "endpoints"))
        assert 1 <= writes <= 10
        daemon.platform.log.clear()
        daemon.platform.lose_puts = 1
        fleet.stop("late3")
        await anyio.sleep(60)
        assert daemon.platform.log.count(("put", "endpoints")) <= 3
        stored = fleet.table.get("endpoints", "n1-0")
        assert stored is not None
        states = {record[0]: record[8] for record in stored["spec"]["records"]}
        assert states["late3"] == "gone"
        assert states["late4"] == "ready"


async def test_partitioned_regions_serve_what_they_know_and_merge_later() -> None:
    async with run_fleet() as fleet:
        await start_two_domains(fleet)
        north, south = ("a0", "a1", "a2"), ("b0", "b1", "b2")
        fleet.cut = {frozenset({a, b}) for a in north for b in south}
        for name in south:
            fleet.daemons[name].platform.down = True
        await anyio.sleep(60)
        assert all(fleet.known(name) >= set(north) for name in north)
        assert all(fleet.known(name) == ALL for name in south)
        fleet.start("a9", "n1")
        south_new = fleet.start("b9", "s1", seeds=("b0",))
        south_new.platform.down = True
        await anyio.sleep(20)
        assert all(fleet.known(name) == ALL | {"b9"} for name in south)
        assert all(fleet.known(name) >= {*north, "a9"} for name in north)
        fleet.cut.clear()
        fleet.set_down(False)
        both = ALL | {"a9", "b9"}
        home = {"a": {*north, "a9"}, "b": {*south, "b9"}}

        def merged() -> bool:
            known = {name: fleet.known(name) for name in fleet.daemons}
            assert all(known[name] >= home[name[0]] for name in known)
            return all(backends == both for backends in known.values())

        await fleet.wait_until(merged, 20.0)


async def test_daemon_at_rest_costs_few_frames_and_no_session() -> None:
    """A heartbeat that ends a session, or one too many, costs every registrar."""
    async with run_fleet() as fleet:
        for number in range(4):
            fleet.start(f"a{number}", "n1")
        await anyio.sleep(SETTLED_S)
        registrar = fleet.daemons[fleet.registrars()["n1-0"]].member.registrar
        assert registrar is not None
        sessions, frames = dict(registrar.sessions), fleet.frames
        await anyio.sleep(20 * BEAT_INTERVAL_S)
        assert registrar.sessions == sessions
        assert fleet.frames - frames <= 4 * 2 * 21


async def test_joins_in_a_row_reach_a_daemon_once_a_second() -> None:
    """A frame for each change to each daemon makes a mass restart costly."""
    async with run_fleet() as fleet:
        for number in range(10):
            fleet.start(f"a{number}", "n1")
        await anyio.sleep(SETTLED_S)
        fleet.kinds.clear()
        for number in range(40):
            fleet.start(f"late{number}", "n1", "orders", seeds=("a0",))
            await anyio.sleep(0.1)
        await fleet.wait_until(
            lambda: all(len(fleet.known(name)) == 50 for name in fleet.daemons), 2.0
        )
        # About 5 to each of 50 daemons; one per change would be about 1,000.
        assert fleet.kinds[Endpoints] <= 300

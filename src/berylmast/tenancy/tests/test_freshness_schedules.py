"""Guards against an order of events in which a removed key is accepted for too long.

Two daemons read, watch and compare at random times. Each message is on its way for a
random time, which also stands for a suspended process or a silent connection. The store
gets configurations at random times, and changes its era.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ..freshness import Freshness

WITHIN_S = 5.0
WATCH_S = 1.0
END_S = 40.0
CHECK_INTERVAL_S = 0.25

MakeFreshness = Callable[[Callable[[], int], Callable[[], float]], Freshness]


@dataclass(frozen=True)
class Step:
    """One action of a daemon or the store; messages need ``out_s`` and ``back_s``.

    With ``lost`` the configuration that a reply brings along is lost.
    """

    action: str
    daemon: int
    at_s: float
    out_s: float
    back_s: float
    lost: bool


TIMES_S = st.floats(0.0, END_S)
DELAYS_S = st.one_of(st.just(0.0), st.floats(0.0, 0.2), st.floats(0.0, 15.0))
ACTIONS = ["read", "read", "watch", "watch", "compare", "compare", "stale", "write"]
STEPS = st.builds(
    Step,
    st.sampled_from([*ACTIONS, "restore"]),
    st.integers(0, 1),
    TIMES_S,
    DELAYS_S,
    DELAYS_S,
    st.booleans(),
)
SCHEDULES = st.lists(STEPS, min_size=5, max_size=60)


@dataclass
class Daemon:
    """The version that a daemon holds, and its evidence."""

    version: int = 1
    freshness: Freshness = field(init=False)

    def adopt(self, version: int) -> None:
        self.version = max(version, self.version)


class World:
    """The store and two daemons; ``violations`` names each key accepted too late."""

    def __init__(self, make_freshness: MakeFreshness) -> None:
        self.now_s = 0.0
        self.era = 1
        self.written_s = {1: -100.0}
        self.accepted = 0
        self.violations: list[str] = []
        self.daemons = [Daemon(), Daemon()]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        for daemon in self.daemons:
            daemon.freshness = self._make(make_freshness, daemon)

    def _make(self, make_freshness: MakeFreshness, daemon: Daemon) -> Freshness:
        return make_freshness(lambda: daemon.version, lambda: self.now_s)

    def run(self, steps: list[Step]) -> None:
        for step in steps:
            self._at(step.at_s, self._make_action(step))
        for number in range(int(END_S / CHECK_INTERVAL_S)):
            self._at(number * CHECK_INTERVAL_S, self._check)
        while self._events:
            self.now_s, _, act = heapq.heappop(self._events)
            act()

    def _at(self, time_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), act))

    def _after(self, delay_s: float, act: Callable[[], None]) -> None:
        self._at(self.now_s + delay_s, act)

    @property
    def _stored_version(self) -> int:
        return max(self.written_s)

    def _check(self) -> None:
        removed = [
            version
            for version, written_s in self.written_s.items()
            if written_s + WITHIN_S < self.now_s
        ]
        for daemon in self.daemons:
            if not daemon.freshness.is_current():
                continue
            self.accepted += 1
            if daemon.version < max(removed):
                self.violations.append(f"{self.now_s}: {daemon.version}")

    def _make_action(self, step: Step) -> Callable[[], None]:
        daemon, peer = self.daemons[step.daemon], self.daemons[1 - step.daemon]
        actions: dict[str, Callable[[], None]] = {
            "read": lambda: self._read(step, daemon),
            "stale": lambda: self._read_stale(step, daemon),
            "watch": lambda: self._watch(step, daemon),
            "compare": lambda: self._compare(step, daemon, peer),
            "write": self._write,
            "restore": self._restore,
        }
        return actions[step.action]

    def _write(self) -> None:
        self.written_s[self._stored_version + 1] = self.now_s

    def _restore(self) -> None:
        self.era += 1

    def _read(self, step: Step, daemon: Daemon) -> None:
        sent_s = daemon.freshness.get_time_s()

        def serve() -> None:
            version, era = self._stored_version, self.era
            self._after(step.back_s, lambda: receive(version, era))

        def receive(version: int, era: int) -> None:
            daemon.adopt(version)
            daemon.freshness.record_answer(sent_s, era)

        self._after(step.out_s, serve)

    def _read_stale(self, step: Step, daemon: Daemon) -> None:
        version = self._stored_version
        self._after(step.out_s + step.back_s, lambda: daemon.adopt(version))

    def _watch(self, step: Step, daemon: Daemon) -> None:
        """Wait for a change of what was last read, as a watcher does."""
        sent_s, known = daemon.freshness.get_time_s(), daemon.version
        era = self.era

        def hold() -> None:
            if self._stored_version > known:
                reply(expired=False)
                return
            end_s = self.now_s + WATCH_S
            self._at(end_s, lambda: reply(expired=self._stored_version == known))

        def reply(*, expired: bool) -> None:
            version, now_era = self._stored_version, self.era
            self._after(step.back_s, lambda: receive(version, now_era, expired))

        def receive(version: int, now_era: int, expired: bool) -> None:
            daemon.adopt(version)
            if now_era == era:
                held_s = WATCH_S if expired else 0.0
                daemon.freshness.record_answer(sent_s, now_era, held_s)

        self._after(step.out_s, hold)

    def _compare(self, step: Step, daemon: Daemon, peer: Daemon) -> None:
        sent_s = daemon.freshness.get_time_s()

        def serve() -> None:
            version, age_ms = peer.version, peer.freshness.get_age_ms()
            self._after(step.back_s, lambda: receive(version, age_ms))

        def receive(version: int, age_ms: int) -> None:
            if not step.lost:
                daemon.adopt(version)
            daemon.freshness.record_reply(sent_s, age_ms, version)

        self._after(step.out_s, serve)


def make_freshness(
    get_version: Callable[[], int], clock: Callable[[], float]
) -> Freshness:
    return Freshness(WITHIN_S, get_version, clock)


def find_violations(steps: list[Step], make: MakeFreshness) -> list[str]:
    world = World(make)
    world.run(steps)
    return world.violations


@settings(max_examples=1000)
@given(SCHEDULES)
def test_removed_key_is_never_accepted_after_the_bound(steps: list[Step]) -> None:
    assert find_violations(steps, make_freshness) == []


class CountsFromArrival(Freshness):
    """Takes an answer for current at its arrival, not when the call was sent."""

    def record_answer(self, sent_s: float, era: int, held_s: float = 0.0) -> None:
        super().record_answer(self.get_time_s(), era)


class CountsRepliesFromArrival(Freshness):
    """The same for other daemons' replies."""

    def record_reply(self, sent_s: float, age_ms: int, version: int) -> None:
        super().record_reply(self.get_time_s(), age_ms, version)


class IgnoresAges(Freshness):
    """Takes another daemon for current whatever age it states."""

    def record_reply(self, sent_s: float, age_ms: int, version: int) -> None:
        super().record_reply(sent_s, 0 if age_ms >= 0 else age_ms, version)


class IgnoresVersions(Freshness):
    """Counts a reply although the configuration that came with it was lost."""

    def record_reply(self, sent_s: float, age_ms: int, version: int) -> None:
        super().record_reply(sent_s, age_ms, 0)


def steps_of(*steps: tuple[str, int, float, float, float, bool]) -> list[Step]:
    return [Step(*step) for step in steps]


START = [("read", 0, 0.0, 0.0, 0.0, False), ("read", 1, 0.0, 0.0, 0.0, False)]
SLOW_ANSWER = steps_of(
    *START,
    ("write", 0, 10.0, 0.0, 0.0, False),
    ("read", 0, 9.0, 0.0, 8.0, False),
)
SLOW_REPLY = steps_of(
    *START,
    ("read", 1, 9.0, 0.0, 0.0, False),
    ("compare", 0, 9.1, 0.0, 8.0, False),
    ("write", 0, 10.0, 0.0, 0.0, False),
)
OLD_PEER = steps_of(
    *START,
    ("write", 0, 2.0, 0.0, 0.0, False),
    ("compare", 0, 9.0, 0.0, 0.0, False),
)
LOST_DOCUMENT = steps_of(
    *START,
    ("write", 0, 2.0, 0.0, 0.0, False),
    ("read", 1, 8.0, 0.0, 0.0, False),
    ("compare", 0, 9.0, 0.0, 0.0, True),
)


@pytest.mark.parametrize(
    ("faulty", "steps"),
    [
        (CountsFromArrival, SLOW_ANSWER),
        (CountsRepliesFromArrival, SLOW_REPLY),
        (IgnoresAges, OLD_PEER),
        (IgnoresVersions, LOST_DOCUMENT),
    ],
)
def test_schedules_reveal_faulty_rules(
    faulty: type[Freshness], steps: list[Step]
) -> None:
    """A world that finds no violation in any schedule would show nothing."""

    def make_faulty(
        get_version: Callable[[], int], clock: Callable[[], float]
    ) -> Freshness:
        return faulty(WITHIN_S, get_version, clock)

    assert find_violations(steps, make_faulty)
    assert not find_violations(steps, make_freshness)


def test_keys_are_accepted_in_a_sound_schedule() -> None:
    """Evidence that never counts would violate nothing either."""
    reads = [("read", n % 2, float(n), 0.01, 0.01, False) for n in range(int(END_S))]
    world = World(make_freshness)
    world.run(steps_of(*reads))
    assert world.accepted > END_S / CHECK_INTERVAL_S

"""Guards against a removed key that is accepted because old evidence passes for new."""

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from ..boot_clock import read_boot_clock_s
from ..freshness import (
    CURRENT_FRACTION,
    ERA_CONFIRMATION_BOUNDS,
    START_CONFIRMATION_S,
    UNKNOWN_AGE_MS,
    Freshness,
)

WITHIN_S = 5.0


@dataclass
class Clock:
    """A boot clock that a test moves."""

    now_s: float = 1000.0

    def __call__(self) -> float:
        return self.now_s


class Fixture:
    """The evidence of one daemon, with its clock and the version it holds.

    The era of the store is confirmed, and the evidence is of the present.
    """

    def __init__(self, within_s: float = WITHIN_S) -> None:
        self.clock = Clock()
        self.version = 1
        self.freshness = Freshness(within_s, lambda: self.version, self.clock)
        self.freshness.record_answer(self.clock(), 1)
        self.freshness.record_reply(self.clock(), 0, 1)
        self.started_s = self.clock()

    def advance(self, duration_s: float) -> None:
        self.clock.now_s += duration_s


def answer(
    sent_s: float, era: int = 1, held_s: float = 0.0
) -> Callable[[Fixture], None]:
    """Return a step: the store's answer to a call sent that long after the start."""
    return lambda f: f.freshness.record_answer(f.started_s + sent_s, era, held_s)


def reply(sent_s: float, age_ms: int, version: int = 1) -> Callable[[Fixture], None]:
    """Return a step: a reply to a comparison sent that long after the start."""
    return lambda f: f.freshness.record_reply(f.started_s + sent_s, age_ms, version)


@pytest.mark.parametrize(
    ("step", "age_s"),
    [
        (answer(2.0), 8.0),
        (answer(2.0, held_s=1.0), 7.0),
        (answer(9.5, held_s=1.0), 0.5),
        (answer(-1.0), 10.0),
        (answer(9.0, era=0), 10.0),
        (answer(9.0, era=2), 10.0),
        (reply(9.0, 500), 1.5),
        (reply(2.0, 1500), 9.5),
        (reply(9.0, 500, version=2), 10.0),
        (reply(9.0, UNKNOWN_AGE_MS), 10.0),
        (reply(9.0, -5), 10.0),
        (reply(9.0, 60_000), 10.0),
    ],
    ids=[
        "answer-counts-from-its-call",
        "expired-watch-counts-from-the-time-it-was-held",
        "watch-that-ended-early-counts-from-its-call",
        "older-answer-changes-nothing",
        "answer-of-an-earlier-era-is-none",
        "answer-of-a-new-era-counts-later",
        "reply-counts-from-its-comparison-minus-the-age",
        "reply-that-was-delayed-on-its-way",
        "reply-that-names-a-version-not-held",
        "reply-without-an-age",
        "reply-with-an-invalid-age",
        "reply-with-older-evidence",
    ],
)
def test_evidence_of_ten_seconds_ago_is_renewed_by(
    step: Callable[[Fixture], None], age_s: float
) -> None:
    fixture = Fixture()
    fixture.advance(10.0)
    step(fixture)
    assert fixture.freshness.get_age_s() == pytest.approx(age_s)


@pytest.mark.parametrize("within_s", [0.5, 5.0, 60.0])
def test_keys_are_relied_on_for_a_part_of_the_bound(within_s: float) -> None:
    """Also a suspension, in which only the boot clock goes on, makes them unusable."""
    fixture = Fixture(within_s)
    fixture.advance(CURRENT_FRACTION * within_s - 0.01)
    assert fixture.freshness.is_current()
    fixture.advance(0.02)
    assert not fixture.freshness.is_current()
    reply(fixture.clock() - fixture.started_s, 0)(fixture)
    assert fixture.freshness.is_current()


def test_daemon_that_has_started_has_no_evidence() -> None:
    freshness = Freshness(WITHIN_S, lambda: 1, Clock())
    assert not freshness.is_current()
    assert freshness.get_age_ms() == UNKNOWN_AGE_MS
    assert freshness.needs_comparison()
    assert freshness.needs_read(is_watcher=False)


@pytest.mark.parametrize(
    ("asked_after_s", "age_ms", "version", "confirmed"),
    [
        (0.1, 10_000, 1, True),
        (-0.1, 10_000, 1, False),
        (0.1, UNKNOWN_AGE_MS, 1, False),
        (0.1, 10_000, 2, False),
    ],
    ids=[
        "asked-after-the-change",
        "asked-before-the-change",
        "peer-without-evidence",
        "newer-configuration-not-received",
    ],
)
def test_new_era_counts_once_another_daemon_was_asked(
    asked_after_s: float, age_ms: int, version: int, confirmed: bool
) -> None:
    """The copy lacked the removal of a key that other daemons had heard of.

    The reply's own evidence is too old to count.
    """
    fixture = Fixture()
    fixture.advance(20.0)
    answer(20.0, era=2)(fixture)
    assert not fixture.freshness.is_current()
    assert fixture.freshness.needs_comparison()
    assert not fixture.freshness.needs_read(is_watcher=True)
    fixture.advance(0.5)
    reply(20.0 + asked_after_s, age_ms, version)(fixture)
    assert fixture.freshness.is_current() == confirmed


@pytest.mark.parametrize(
    ("first_era", "limit_s"),
    [(True, START_CONFIRMATION_S), (False, ERA_CONFIRMATION_BOUNDS * WITHIN_S)],
    ids=["after-a-start", "after-the-store-came-back"],
)
def test_store_alone_counts_if_no_other_daemon_replies(
    first_era: bool, limit_s: float
) -> None:
    """A daemon that is the only one would refuse requests forever."""
    clock = Clock()
    freshness = Freshness(WITHIN_S, lambda: 1, clock)
    if not first_era:
        freshness.record_answer(clock() - 100.0, 1)
        clock.now_s += 100.0
    changed_s = clock()
    while clock() < changed_s + limit_s - 0.2:
        freshness.record_answer(clock(), 2)
        assert not freshness.is_current()
        clock.now_s += 0.1
    clock.now_s += 0.3
    assert freshness.is_current()


@pytest.mark.parametrize(
    ("age_s", "compares", "watcher_reads", "reads"),
    [
        (0.9, False, False, False),
        (1.1, True, False, False),
        (1.8, True, True, False),
        (3.2, True, True, False),
        (3.3, True, True, True),
    ],
)
def test_evidence_is_renewed_by_comparisons_first(
    age_s: float, compares: bool, watcher_reads: bool, reads: bool
) -> None:
    """Guards against store calls of a whole fleet where a comparison would do."""
    fixture = Fixture()
    fixture.advance(age_s)
    assert fixture.freshness.needs_comparison() == compares
    assert fixture.freshness.needs_read(is_watcher=True) == watcher_reads
    assert fixture.freshness.needs_read(is_watcher=False) == reads


def test_age_is_stated_rounded_up() -> None:
    """An age that is rounded down makes the evidence of the asking daemon newer."""
    fixture = Fixture()
    fixture.advance(0.0001)
    assert fixture.freshness.get_age_ms() == 1


def test_boot_clock_runs() -> None:
    assert read_boot_clock_s() <= read_boot_clock_s()

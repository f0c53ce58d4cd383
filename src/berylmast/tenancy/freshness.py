"""Tracks how long ago the configuration in force is known to have been current.

Load pattern: none. Answers the removal of a key while this daemon is cut off, frozen or
just restarted, while a connection is silent, while the store answers only some daemons
or from stale data, and while it comes back from a copy of its data.

There are two kinds of evidence. Each has a time, at which no configuration newer than
the one in force existed:

- The store's linearizable answer: the time at which the call was sent. A watch that
  expired was held by the store, which adds the time for which it was held.
- Another daemon's reply to a comparison, which states how old that daemon's evidence
  is: the time at which the comparison was sent, minus that age. The daemon replied
  after that, so it doesn't matter how long the reply took.

A store that comes back from a copy has lost what was written last, and answers with an
older configuration as if it were current. So the answers of a new era of the store
count only after a comparison with another daemon, which may hold what the store has
lost. An era is new to a daemon that has just started, too.
"""

import math
from collections.abc import Callable

from .boot_clock import read_boot_clock_s

UNKNOWN_AGE_MS = -1

CURRENT_FRACTION = 0.9
"""Largest age of the evidence at which keys are relied on, as a part of the bound."""

READ_FRACTION = 0.65
"""Part of the bound after which a daemon reads the store itself. Two failed reads and
their repetition fit into the time that is left."""

WATCHER_READ_FRACTION = 0.35
"""The same for a watcher, with which the other daemons compare."""

COMPARE_AGE_S = 1.0
"""Age of the evidence from which this daemon compares with a watcher."""

START_CONFIRMATION_S = 1.0
"""Time after the first answer of the store within which a daemon that has started
compares with another one. Without a reply, it relies on the store alone: perhaps there
is no other daemon. The time is enough for comparisons with a few daemons in turn."""

ERA_CONFIRMATION_BOUNDS = 3.0
"""The same after the era of the store has risen, in units of the bound. By then, the
operators have written again what the store had lost."""


class Freshness:
    """The age of the evidence for the configuration of this daemon.

    ``within_s`` is the bound after which no removed key may be used. ``get_version``
    returns the version of the configuration in force. All times are in seconds on
    ``clock``. ``refusals`` counts the requests that were refused for old evidence.
    """

    def __init__(
        self,
        within_s: float,
        get_version: Callable[[], int],
        clock: Callable[[], float] = read_boot_clock_s,
    ) -> None:
        self.within_s = within_s
        self.refusals = 0
        self._get_version = get_version
        self._clock = clock
        self._evidence_s = -math.inf
        # Evidence of the store that counts once its era is confirmed.
        self._unconfirmed_s = -math.inf
        self._era: int | None = None
        self._era_seen_s = math.inf
        self._confirmed_from_s = math.inf
        self._confirmed = True

    def get_time_s(self) -> float:
        """Return the clock's time, to be passed as ``sent_s`` of what is sent now."""
        return self._clock()

    def get_age_s(self) -> float:
        """Return the age of the evidence in seconds, infinite if there is none."""
        self._confirm_if_due()
        return max(0.0, self._clock() - self._evidence_s)

    def get_age_ms(self) -> int:
        """Return the age for another daemon, ``UNKNOWN_AGE_MS`` without evidence."""
        age_s = self.get_age_s()
        return UNKNOWN_AGE_MS if math.isinf(age_s) else math.ceil(age_s * 1000)

    def is_current(self) -> bool:
        """Return whether requests with a key may be accepted."""
        return self.get_age_s() <= CURRENT_FRACTION * self.within_s

    def needs_comparison(self) -> bool:
        """Return whether this daemon is to compare with another one now."""
        return self.get_age_s() > COMPARE_AGE_S or not self._confirmed

    def needs_read(self, *, is_watcher: bool) -> bool:
        """Return whether this daemon is to read the store itself."""
        fraction = WATCHER_READ_FRACTION if is_watcher else READ_FRACTION
        answered_s = max(self._evidence_s, self._unconfirmed_s)
        return self._clock() - answered_s > fraction * self.within_s

    def record_answer(self, sent_s: float, era: int, held_s: float = 0.0) -> None:
        """Record an answer of the store, after its configuration was adopted.

        The call was sent at ``sent_s``, the store answered no sooner than ``held_s``
        later. An answer of an earlier era than the last one is no evidence.
        """
        now_s = self._clock()
        if self._era is None or era > self._era:
            self._begin_era(era, now_s)
        if era != self._era:
            return
        time_s = sent_s + held_s if now_s - sent_s >= held_s else sent_s
        self._unconfirmed_s = max(self._unconfirmed_s, time_s)
        if self._confirmed:
            self._evidence_s = max(self._evidence_s, self._unconfirmed_s)

    def record_reply(self, sent_s: float, age_ms: int, version: int) -> None:
        """Record another daemon's reply, after what it sent was adopted.

        The comparison was sent at ``sent_s``. The other daemon held ``version`` and had
        evidence of age ``age_ms``. It is evidence only if this daemon now holds at
        least that version.
        """
        if age_ms < 0 or self._get_version() < version:
            return
        self._evidence_s = max(self._evidence_s, sent_s - age_ms / 1000)
        if sent_s >= self._era_seen_s:
            self._confirm()

    def _begin_era(self, era: int, now_s: float) -> None:
        is_first = self._era is None
        wait_s = START_CONFIRMATION_S
        if not is_first:
            wait_s = ERA_CONFIRMATION_BOUNDS * self.within_s
        self._era = era
        self._era_seen_s = now_s
        self._confirmed_from_s = now_s + wait_s
        self._confirmed = False
        self._unconfirmed_s = -math.inf

    def _confirm_if_due(self) -> None:
        if not self._confirmed and self._clock() >= self._confirmed_from_s:
            self._confirm()

    def _confirm(self) -> None:
        self._confirmed = True
        self._evidence_s = max(self._evidence_s, self._unconfirmed_s)

"""Scheduling of queued requests: which starts next, and which to refuse early.

The rules address three load patterns:

- Bursts of one to three times the capacity for some seconds, or all callers returning
  after a power loss: requests that can still be on time go first, by urgency, then
  newest first. In order of arrival, each request would wait until it is just too late,
  even long after the burst.
- Nested calls among long requests of the same urgency: short requests go first, because
  the caller's own request holds a slot while it waits for each of them.
- Service times that change several-fold within a tenth of a second: a request that is
  expected to start too late for its deadline is refused as soon as that is known, not
  when the deadline has passed.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

ON_TIME_SHARE = 0.8
"""Share of the typical service time that must remain before the target for a request
to count as on time. It is below 1 because half of the requests take less than the
typical time."""

SHORT_SHARE = 0.4
"""A request is short if its typical service time is at most this share of the longest
typical service time at its backend server."""

LATE_SHARE = 0.7
"""Share of the slots up to which late requests are started.

The remaining slots, at least one if there are two or more, are left to requests that
can be on time. If late requests could take all slots, a temporary overload would
persist, because callers retry after late responses.
"""

LATE_PLACES = 0.5
"""Most late requests in the queue, as a share of the slots.

New requests overtake late ones, so that any more would wait without being served; it
is better for their callers to retry.
"""

SLOW_FACTOR = 1.5
"""Multiple of the typical service time that must remain before the deadline.

A request that is aborted at its deadline has wasted its slot.
"""

_SHORTEST_S = 0.001


@dataclass(slots=True, eq=False)
class Waiting:
    """A request that waits for a slot.

    ``work_s`` is the typical service time in seconds; the other times are seconds on
    the event loop's clock. The response is on time until ``target_s`` and useless after
    ``deadline_s``. ``short`` marks a request that takes a small share of the time that
    others take at this server: it may be a nested call, whose caller's request holds a
    slot elsewhere and fails if this one does.
    """

    rank: int
    work_s: float
    arrived_s: float
    target_s: float
    deadline_s: float
    short: bool = False


@dataclass(frozen=True, slots=True)
class Turn:
    """The expected time until a waiting request gets its slot, in seconds."""

    item: Waiting
    wait_s: float


def is_late(item: Waiting, now_s: float) -> bool:
    """Return whether a request that starts now is unlikely to be on time.

    Short requests never count as late: refusing one saves little work and wastes all
    the work that its caller has done.
    """
    if item.short:
        return False
    return now_s + ON_TIME_SHARE * item.work_s > item.target_s


def get_order(item: Waiting, now_s: float) -> tuple[bool, int, int, float]:
    """Return the sort key: on time before late, then by rank, length and newest first.

    Service times within a factor of about two compare as equal.
    """
    late = is_late(item, now_s)
    length = round(math.log2(max(item.work_s, _SHORTEST_S)))
    return (late, item.rank, length, -item.arrived_s)


def find_next(
    waiting: Collection[Waiting],
    now_s: float,
    slots: int,
    in_use: int,
    kept: int = 0,
) -> Waiting | None:
    """Return the request that gets the next slot, or None if none may start.

    ``kept`` is the number of slots that only short requests may use.
    """
    if in_use >= slots:
        return None
    startable = [
        item for item in waiting if in_use < _count_slots(item, now_s, slots, kept)
    ]
    return min(startable, key=lambda item: get_order(item, now_s), default=None)


def _count_slots(item: Waiting, now_s: float, slots: int, kept: int) -> float:
    """Return the most slots that may be in use, counting the slot of this request."""
    if item.short:
        return slots
    most = max(1, slots - kept)
    if is_late(item, now_s):
        return min(most, max(1, min(LATE_SHARE * slots, slots - 1)))
    return most


def plan_turns(
    waiting: Collection[Waiting], now_s: float, slots: int, free_in_s: float
) -> list[Turn]:
    """Return the expected waits of all requests, in the order in which they start.

    ``free_in_s`` is the expected time in seconds until the next slot becomes free.
    """
    ordered = sorted(waiting, key=lambda item: get_order(item, now_s))
    turns = []
    wait_s = free_in_s
    for item in ordered:
        turns.append(Turn(item, wait_s))
        wait_s += item.work_s / slots
    return turns


def find_hopeless(turns: Collection[Turn], now_s: float, slots: int) -> list[Turn]:
    """Return the requests to refuse now.

    These are late requests beyond the allowed number, and requests that are expected to
    finish after their deadline.
    """
    late = [turn for turn in turns if is_late(turn.item, now_s)]
    surplus = late[max(1, math.ceil(LATE_PLACES * slots)) :]
    return surplus + [
        turn
        for turn in turns
        if turn not in surplus
        and now_s + turn.wait_s + SLOW_FACTOR * turn.item.work_s > turn.item.deadline_s
    ]

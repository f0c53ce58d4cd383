"""The order in which waiting requests get slots, and which of them have no hope.

Answers three load patterns. Bursts of one to three times the capacity for some
seconds, and the return of all callers after a power loss: what can still be on time
goes first, by urgency, and the newest of equal ones first. In the order of arrival each
request would wait until it is just too late, also long after the burst. Nested calls
beside long requests of the same urgency: short ones go first, since a caller's slot
waits for each. Service times that change several-fold within a tenth of a second: a
request whose turn would come after its deadline is refused when that is known, not when
the deadline has passed.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

ON_TIME_SHARE = 0.8
"""Share of the typical service time that must be left for a request to count as still
on time; half of the requests take less than the typical time."""


SHORT_SHARE = 0.4
"""A request is short up to this share of the longest typical time at a server."""

LATE_SHARE = 0.7
"""Share of the slots up to which late requests are started. The rest stays free for
those that can be on time, at least one of two or more: where both get all slots, a
passing overload lasts, because callers of late answers come again."""

LATE_PLACES = 0.5
"""Late requests that may wait, as a share of the slots. New requests pass them by, so
that more would wait in vain; their callers do better to come again."""

SLOW_FACTOR = 1.5
"""Multiple of the typical service time that must be left before the deadline: a request
that is cut at its deadline has used a slot for nothing."""

_SHORTEST_S = 0.001


@dataclass(slots=True, eq=False)
class Waiting:
    """A request that waits for a slot.

    Times are in seconds of the runtime's clock. ``work_s`` is the typical service time.
    The answer is on time up to ``target_s`` and useless after ``deadline_s``. ``short``
    marks a request that takes a small part of what others take at this server: it may
    be a call of a request that holds a slot elsewhere and fails with it.
    """

    rank: int
    work_s: float
    arrived_s: float
    target_s: float
    deadline_s: float
    short: bool = False


@dataclass(frozen=True, slots=True)
class Turn:
    """When a waiting request is expected to get its slot, in seconds from now."""

    item: Waiting
    wait_s: float


def is_late(item: Waiting, now_s: float) -> bool:
    """Tell whether a request that starts now will hardly be on time.

    Short requests never count as late: refusing one saves little, and wastes all that
    its caller has done.
    """
    if item.short:
        return False
    return now_s + ON_TIME_SHARE * item.work_s > item.target_s


def get_order(item: Waiting, now_s: float) -> tuple[bool, int, int, float]:
    """Return the sort key: on time, urgent, short and new requests first.

    Service times within a factor of about two count as equal.
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
    """Return the request that gets the next slot, None if none may.

    ``kept`` is the number of slots that only short requests may take.
    """
    if in_use >= slots:
        return None
    startable = [
        item for item in waiting if in_use < _count_slots(item, now_s, slots, kept)
    ]
    return min(startable, key=lambda item: get_order(item, now_s), default=None)


def _count_slots(item: Waiting, now_s: float, slots: int, kept: int) -> float:
    """Return how many slots may be in use once a request has started."""
    if item.short:
        return slots
    most = max(1, slots - kept)
    if is_late(item, now_s):
        return min(most, max(1, min(LATE_SHARE * slots, slots - 1)))
    return most


def plan_turns(
    waiting: Collection[Waiting], now_s: float, slots: int, free_in_s: float
) -> list[Turn]:
    """Return the expected turns, the next first.

    ``free_in_s`` is the expected time until the next slot becomes free.
    """
    ordered = sorted(waiting, key=lambda item: get_order(item, now_s))
    turns = []
    wait_s = free_in_s
    for item in ordered:
        turns.append(Turn(item, wait_s))
        wait_s += item.work_s / slots
    return turns


def find_hopeless(turns: Collection[Turn], now_s: float, slots: int) -> list[Turn]:
    """Return the turns that won't come, or would end after the deadline."""
    late = [turn for turn in turns if is_late(turn.item, now_s)]
    surplus = late[max(1, math.ceil(LATE_PLACES * slots)) :]
    return surplus + [
        turn
        for turn in turns
        if turn not in surplus
        and now_s + turn.wait_s + SLOW_FACTOR * turn.item.work_s > turn.item.deadline_s
    ]

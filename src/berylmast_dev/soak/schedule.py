"""Generates the faults of a run and their times from a seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

FAULTS = (8, 18)
MOST_REPEATS = 4
GAP_S = (0.1, 1.2)
DURATION_S = (0.2, 3.5)


class Kind(StrEnum):
    """What a fault does, and thereby whether to a process, a link or the store."""

    DAEMON_KILL = "daemon_kill"
    DAEMON_STOP = "daemon_stop"
    DAEMON_FREEZE = "daemon_freeze"
    DAEMON_HUP = "daemon_hup"
    DAEMONS_KILL = "daemons_kill"
    CLOCK_STEP = "clock_step"
    BACKEND_KILL = "backend_kill"
    BACKEND_FREEZE = "backend_freeze"
    BACKEND_LEAVE = "backend_leave"
    BACKEND_SLOW = "backend_slow"
    BACKEND_GARBLE = "backend_garble"
    STORE_FREEZE = "store_freeze"
    STORE_FAULT = "store_fault"
    LINK_HOLD = "link_hold"
    LINK_DELAY = "link_delay"
    LINK_REFUSE = "link_refuse"
    LINK_RESET = "link_reset"
    CONFIGURATION = "configuration"


HOWS: dict[Kind, tuple[str, ...]] = {
    Kind.BACKEND_GARBLE: ("unsealed", "cut", "crossed"),
    Kind.STORE_FAULT: (
        "refuse",
        "limit",
        "hang",
        "refuse_some",
        "limit_some",
        "hang_some",
        "slow",
        "lose",
        "late",
        "compact",
        "silent_watches",
    ),
    Kind.LINK_HOLD: ("hold_requests", "hold_answers", "silent"),
    Kind.CLOCK_STEP: ("ahead", "back"),
    Kind.CONFIGURATION: ("route", "move", "timeout"),
}

LINKS = ("callers", "peers", "backend", "reports", "store")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    It begins ``at_s`` seconds after the start of traffic and lasts ``for_s`` seconds.
    ``how`` is its variant, empty for kinds without variants.
    """

    at_s: float
    for_s: float
    kind: Kind
    member: int
    link: str
    how: str


def draw_faults(seed: int, members: int, seconds: float) -> list[Fault]:
    """Return the faults of one run in order of time.

    Some faults are repeated in series; faults and series may overlap.
    """
    rng = Random(seed)
    faults: list[Fault] = []
    for _ in range(rng.randint(*FAULTS)):
        kind = rng.choice(list(Kind))
        member, link = rng.randrange(members), rng.choice(LINKS)
        at_s, for_s = rng.uniform(0.0, seconds), rng.uniform(*DURATION_S)
        how = rng.choice(HOWS.get(kind, ("",)))
        repeats = rng.choice((1, 1, rng.randint(2, MOST_REPEATS)))
        for _ in range(repeats):
            faults.append(Fault(at_s, for_s, kind, member, link, how))
            at_s += for_s + rng.uniform(*GAP_S)
    return sorted(
        (fault for fault in faults if fault.at_s < seconds), key=lambda f: f.at_s
    )

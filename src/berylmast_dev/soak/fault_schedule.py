"""Generates the faults of a run and their times from a seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

FAULT_COUNT_RANGE = (8, 18)
MAX_REPEATS = 4
REPEAT_GAP_RANGE_S = (0.1, 1.2)
FAULT_DURATION_RANGE_S = (0.2, 3.5)


class FaultKind(StrEnum):
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
    OTHER_WRITER = "other_writer"


VARIANTS: dict[FaultKind, tuple[str, ...]] = {
    FaultKind.BACKEND_GARBLE: ("unsealed", "cut", "crossed"),
    FaultKind.STORE_FAULT: (
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
    FaultKind.LINK_HOLD: ("hold_requests", "hold_answers", "silent"),
    FaultKind.CLOCK_STEP: ("ahead", "back"),
    FaultKind.CONFIGURATION: ("route", "move", "timeout"),
    FaultKind.OTHER_WRITER: (
        "report_id",
        "report_field",
        "report_bytes",
        "report_server",
        "entry_nested",
        "entry_bytes",
        "entry_field",
        "entry_number",
    ),
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
    kind: FaultKind
    member: int
    link: str
    how: str


def generate_faults(seed: int, member_count: int, seconds: float) -> list[Fault]:
    """Return the faults of one run in order of time.

    Some faults are repeated in series; faults and series may overlap.
    """
    rng = Random(seed)
    faults: list[Fault] = []
    for _ in range(rng.randint(*FAULT_COUNT_RANGE)):
        kind = rng.choice(list(FaultKind))
        member, link = rng.randrange(member_count), rng.choice(LINKS)
        at_s, for_s = rng.uniform(0.0, seconds), rng.uniform(*FAULT_DURATION_RANGE_S)
        how = rng.choice(VARIANTS.get(kind, ("",)))
        repeats = rng.choice((1, 1, rng.randint(2, MAX_REPEATS)))
        for _ in range(repeats):
            faults.append(Fault(at_s, for_s, kind, member, link, how))
            at_s += for_s + rng.uniform(*REPEAT_GAP_RANGE_S)
    return sorted(
        (fault for fault in faults if fault.at_s < seconds), key=lambda f: f.at_s
    )

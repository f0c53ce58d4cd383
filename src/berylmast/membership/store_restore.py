"""Decides what a daemon writes again after the store came back from a copy.

Fault: all daemons learn of it at once, and the copy holds records of servers that have
been replaced or have left since.
"""

from collections.abc import Callable, Iterable

from ..model import Endpoint, EndpointState
from .store import StoredRecord

JITTER_PER_RECORD_S = 0.02
"""Makes fifty daemons a second read the records again, each with one full read and up
to two writes. The store takes several hundred writes a second."""

MIN_JITTER_S = 0.2
MAX_JITTER_S = 30.0


def compute_jitter_s(records: int) -> float:
    """Return the longest time in seconds for which a daemon waits before it reads."""
    return min(max(MIN_JITTER_S, JITTER_PER_RECORD_S * records), MAX_JITTER_S)


def find_lost_removals(
    listed: Iterable[StoredRecord],
    own: Endpoint | None,
    get_known: Callable[[str], Endpoint | None],
) -> list[Endpoint]:
    """Return the known records of the servers whose removal the store has lost.

    ``listed`` are the stored records of this daemon's address, ``own`` is the record of
    the server there. ``get_known`` returns the newest record known of a server.
    """
    if own is None:
        return []
    lost = []
    for stored in listed:
        known = get_known(stored.endpoint.backend)
        if known is None or stored.endpoint.backend == own.backend:
            continue
        gone = known.state is EndpointState.GONE
        if gone and known.incarnation <= own.incarnation:
            lost.append(known)
    return lost

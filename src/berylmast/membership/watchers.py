"""Decides which daemons watch the configuration in the store.

Load pattern: a change of the configuration wakes every waiting watch at once, and each
wake is a call to the store. A few watchers in each region pass the change on to the
others, so that the number of calls does not grow with the fleet. Every daemon derives
the watchers from the records it knows, without an election. If the views of two daemons
differ, there are more or fewer watchers for a while, which costs calls or time but
never leads to an older configuration.
"""

from collections.abc import Container, Iterable
from enum import Enum

from ..model import Endpoint
from .peers import PeerAddress, get_address

WATCHERS_PER_REGION = 4
"""Further watchers cover for those that are frozen, dead or cut off from the store."""


class WatchRole(Enum):
    """What a daemon does for the configuration of its region.

    A watch may be silent because nothing has changed or because its connection is dead.
    The first watcher ends its watches so often that a dead one is noticed before the
    next change is due. The others cover for the first one, at a lower cost.
    """

    NONE = "none"
    FIRST = "first"
    BACKUP = "backup"


def choose_watchers(
    daemons: Iterable[tuple[PeerAddress, str]], unreachable: Container[PeerAddress]
) -> list[PeerAddress]:
    """Choose the watchers among the daemons of one region.

    ``daemons`` are addresses with their failure domains, in order of the addresses. The
    first daemons of all failure domains come first, then the second ones and so on, so
    that the loss of a failure domain leaves watchers in the others. Daemons in
    ``unreachable`` are passed over.
    """
    daemons_before: dict[str, int] = {}
    ranked: list[tuple[int, str, PeerAddress]] = []
    for address, domain in daemons:
        if address in unreachable:
            continue
        rank = daemons_before.get(domain, 0)
        daemons_before[domain] = rank + 1
        if rank < WATCHERS_PER_REGION:
            ranked.append((rank, domain, address))
    return [address for _, _, address in sorted(ranked)[:WATCHERS_PER_REGION]]


def list_locations(peers: Iterable[Endpoint]) -> list[tuple[PeerAddress, str]]:
    """Return the address and failure domain of each daemon."""
    return [(get_address(peer), peer.failure_domain) for peer in peers]

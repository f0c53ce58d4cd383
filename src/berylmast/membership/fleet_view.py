"""This daemon's view of the other daemons: whom to compare with and who watches."""

from bisect import insort
from collections.abc import Sequence
from random import Random

import anyio

from ..model import DaemonLocation, Endpoint
from .peers import PeerAddress, PeerIndex, get_address
from .registry import EndpointRegistry
from .watchers import WatchRole, choose_watchers, list_locations

ANY_REGION_FRACTION = 0.1
"""Fraction of comparisons whose peer is drawn from the daemons of all regions.

The others stay in this daemon's region, because the link between regions is billed by
volume.
"""

WATCHER_FRACTION = 0.2
"""Fraction of comparisons whose peer is a watcher of this region, so that every daemon
notices within seconds that a watcher is dead."""

UNREACHABLE_S = 30.0
"""Time for which a daemon that did not respond is not counted as a watcher."""

ISOLATION_LIMIT_S = 1.5
"""Time without contact to any other daemon after which this one watches by itself. It
may be cut off from the others and still reach the store."""

MAX_BROADCAST_PEERS = 64
"""Maximum number of daemons that a change is sent to directly; in larger fleets the
others receive it through comparisons."""

RELAY_PEERS = 2
"""Number of daemons of the region to which a configuration is passed on that came from
another daemon. It reaches those whose failure domain has no working watcher."""


class FleetView:
    """Chooses among the daemons that are known from the records."""

    def __init__(
        self, registry: EndpointRegistry, own: DaemonLocation, rng: Random
    ) -> None:
        self._registry = registry
        self._own = own
        self._rng = rng
        self._unreachable_until: dict[PeerAddress, float] = {}
        self._last_contact_s = anyio.current_time()

    @property
    def size(self) -> int:
        """Return the number of daemons that are known, including this one."""
        return len(self._peers.all) + 1

    @property
    def is_isolated(self) -> bool:
        """Return whether no other daemon has been in contact for a while."""
        silent_s = anyio.current_time() - self._last_contact_s
        return self.size > 1 and silent_s > ISOLATION_LIMIT_S

    def get_watch_role(self) -> WatchRole:
        """Return whether and how this daemon watches the configuration."""
        if self.is_isolated:
            return WatchRole.FIRST
        watchers = self._choose_watchers()
        if self._own.address not in watchers:
            return WatchRole.NONE
        is_first = watchers[0] == self._own.address
        return WatchRole.FIRST if is_first else WatchRole.BACKUP

    def choose_comparison_peer(self) -> Endpoint | None:
        """Choose the daemon of the next comparison; None if no other one is known."""
        if self._rng.random() < WATCHER_FRACTION:
            watchers = self._list_other_watchers()
            if watchers:
                return self._rng.choice(watchers)
        candidates: Sequence[Endpoint] = self._regional_peers
        if not candidates or self._rng.random() < ANY_REGION_FRACTION:
            candidates = self._peers.all
        return self._rng.choice(candidates) if candidates else None

    def choose_evidence_peer(self) -> Endpoint | None:
        """Choose the daemon whose evidence for the configuration is likely the newest.

        It is a watcher of this region, for a watcher the first one. Returns None for
        the first watcher itself, or if no such daemon is known.
        """
        watchers = self._choose_watchers()
        peers = [p for p in self._regional_peers if get_address(p) in watchers]
        if self._own.address in watchers:
            peers = [p for p in peers if get_address(p) == watchers[0]]
        return self._rng.choice(peers) if peers else None

    def choose_record_targets(self) -> list[Endpoint]:
        """Choose the daemons to which a changed record is sent."""
        return self._sample(self._peers.all, MAX_BROADCAST_PEERS)

    def choose_document_targets(self) -> list[Endpoint]:
        """Choose the daemons to which a configuration from the store is passed on.

        These are the daemons of this failure domain, and one of each other domain in
        case the watchers there cannot reach the store.
        """
        by_domain = dict(self._peers.by_domain)
        own_domain = by_domain.pop(self._own.failure_domain, ())
        targets = self._sample(own_domain, MAX_BROADCAST_PEERS)
        return targets + [self._rng.choice(peers) for peers in by_domain.values()]

    def choose_relay_targets(self) -> list[Endpoint]:
        """Choose daemons to pass on a configuration that came from a peer.

        Comparisons with them also look for evidence that the watchers don't have.
        """
        return self._sample(self._regional_peers, RELAY_PEERS)

    def choose_regional_targets(self) -> list[Endpoint]:
        """Choose the daemons that a watcher asks whether they have a configuration.

        These are the daemons of the region's other failure domains, whose own watchers
        have passed it on unless they cannot reach the store.
        """
        others = [
            peer
            for peer in self._regional_peers
            if peer.failure_domain != self._own.failure_domain
        ]
        return self._sample(others, MAX_BROADCAST_PEERS)

    def record_contact(self, peer: Endpoint, *, responded: bool) -> None:
        """Record whether a daemon responded."""
        address = get_address(peer)
        if responded:
            self.record_comparison()
            self._unreachable_until.pop(address, None)
        else:
            self._unreachable_until[address] = anyio.current_time() + UNREACHABLE_S

    def record_comparison(self) -> None:
        """Record that a comparison with another daemon has been completed."""
        self._last_contact_s = anyio.current_time()

    @property
    def _peers(self) -> PeerIndex:
        return self._registry.peers(self._own.address)

    @property
    def _regional_peers(self) -> Sequence[Endpoint]:
        return self._peers.by_region.get(self._own.region, ())

    def _choose_watchers(self) -> list[PeerAddress]:
        locations = list_locations(self._regional_peers)
        insort(locations, (self._own.address, self._own.failure_domain))
        return choose_watchers(locations, self._list_unreachable())

    def _list_other_watchers(self) -> list[Endpoint]:
        watchers = self._choose_watchers()
        return [peer for peer in self._regional_peers if get_address(peer) in watchers]

    def _list_unreachable(self) -> set[PeerAddress]:
        now_s = anyio.current_time()
        self._unreachable_until = {
            address: until_s
            for address, until_s in self._unreachable_until.items()
            if until_s > now_s
        }
        return set(self._unreachable_until)

    def _sample(self, peers: Sequence[Endpoint], size: int) -> list[Endpoint]:
        return self._rng.sample(peers, min(size, len(peers)))

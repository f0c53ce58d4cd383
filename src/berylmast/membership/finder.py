"""Finds registrars without one: through seeds, or from the platform."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import anyio

from ..daemons import ConnectionLost, ExchangeLost, Identity
from ..daemons.frames import Announce, Registrars
from ..platform import Platform, PlatformUnavailable
from .leases import LEASE_KIND, Claim, Lease, LeaseTable, unpack_lease
from .links import Dial, receive_within_limit

SEEDS_ASKED = 3
"""Seeds tried at a time, in random order."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where a daemon is and how it finds registrars; ``start_spread_s`` in seconds."""

    environment: str
    region: str
    failure_domain: str
    host: str
    port: int
    seeds: tuple[tuple[str, int], ...] = ()
    registrars_per_domain: int = 1
    start_spread_s: float = 15.0


def make_claims(identity: Identity, place: Place) -> Callable[[str], Claim]:
    """Return the function that makes a daemon's claim to a shard."""

    def make_claim(shard: str) -> Claim:
        lease = Lease(
            shard,
            identity.daemon,
            place.region,
            place.failure_domain,
            place.host,
            place.port,
        )
        return Claim(lease, identity.incarnation)

    return make_claim


class Finder:
    """Asks for registrars and observes their leases between two lists."""

    def __init__(
        self,
        identity: Identity,
        place: Place,
        platform: Platform,
        dial: Dial,
        rng: Random,
    ) -> None:
        self._identity = identity
        self._seeds = list(place.seeds)
        self._platform = platform
        self._dial = dial
        self._rng = rng
        self._lease_table = LeaseTable(anyio.current_time)

    async def ask_seeds(self) -> list[Lease]:
        """Return the registrars that a seed knows, none if no seed answers."""
        self._rng.shuffle(self._seeds)
        for host, port in self._seeds[:SEEDS_ASKED]:
            try:
                async with self._dial(host, port) as exchange:
                    await exchange.send(
                        Announce(exchange.id, self._identity.daemon, "", "", ())
                    )
                    frame = await receive_within_limit(exchange)
            except (ConnectionLost, ExchangeLost):
                continue
            if isinstance(frame, Registrars) and frame.leases:
                return [unpack_lease(item) for item in frame.leases]
        return []

    async def list_leases(self) -> dict[str, Lease] | None:
        """Return the leases that the platform holds, None if it does not answer.

        A lease of an earlier process of this daemon is marked as lapsed at once.
        """
        try:
            listing = await self._platform.list(LEASE_KIND)
        except PlatformUnavailable:
            self._lease_table.lose()
            return None
        self._lease_table.take_listing(listing)
        return {
            shard: replace(lease, lapsed=lease.lapsed or self._is_remnant(shard))
            for shard, lease in self._lease_table.leases().items()
        }

    def _is_remnant(self, shard: str) -> bool:
        identity = self._identity
        return self._lease_table.is_own_remnant(
            shard, identity.daemon, identity.incarnation
        )

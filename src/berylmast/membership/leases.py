"""Registrar roles as lease objects of the platform."""

import math
from collections.abc import Callable
from dataclasses import astuple, dataclass, replace

from pydantic import TypeAdapter, ValidationError

from ..daemons.frames import LeaseItem
from ..platform import (
    Listing,
    PlatformObject,
)

LEASE_KIND = "registrars"
RENEW_INTERVAL_S = 5.0
LEASE_S = 15.0
"""A lease lapses when an observer has seen no new version for three renewals."""


@dataclass(frozen=True, slots=True)
class Lease:
    """Who holds the registrar role of a shard, and how to reach it.

    ``daemon`` is empty once the holder has released the role.
    """

    shard: str
    daemon: str
    region: str
    failure_domain: str
    host: str
    port: int
    lapsed: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """A lease as its holder writes it; ``incarnation`` is that of the holder."""

    lease: Lease
    incarnation: int


@dataclass(slots=True)
class _Observed:
    lease: Lease
    incarnation: int
    version: int
    since_s: float
    read_s: float


_LEASE = TypeAdapter(Lease)


def pack_lease(lease: Lease) -> LeaseItem:
    """Return the wire form of a lease."""
    return astuple(lease)


def unpack_lease(item: LeaseItem) -> Lease:
    """Return the lease of a wire form."""
    return Lease(*item)


def name_shard(failure_domain: str, number: int) -> str:
    """Return the name of a registrar role of a failure domain."""
    return f"{failure_domain}-{number}"


class LeaseTable:
    """Leases as one observer saw them change, by its own clock.

    Clocks of other daemons are never compared. While the platform can't be observed
    no lease lapses, and afterwards every holder has a whole lease time to renew. The
    same holds after reads more than ``max_gap_s`` apart, between which an outage may
    have gone unnoticed; a lease that has lapsed stays so until its version changes.
    """

    def __init__(self, now: Callable[[], float], max_gap_s: float = math.inf) -> None:
        self._now = now
        self._max_gap_s = max_gap_s
        self._observed: dict[str, _Observed] = {}
        self.observing = False

    def take_listing(self, listing: Listing) -> None:
        """Replace all leases by those listed."""
        self._resume()
        for item in listing.items:
            self._take(item)
        names = {item.metadata.name for item in listing.items}
        for shard in set(self._observed) - names:
            del self._observed[shard]

    def take_object(self, item: PlatformObject) -> None:
        """Take one lease as it is stored now."""
        self._resume()
        self._take(item)

    def lose(self) -> None:
        """Note that the platform can't be observed."""
        self.observing = False

    def leases(self) -> dict[str, Lease]:
        """Return all leases by shard, each marked whether it has lapsed."""
        return {
            shard: replace(
                observed.lease,
                lapsed=not observed.lease.daemon or self._has_lapsed(observed),
            )
            for shard, observed in self._observed.items()
        }

    def lapsed_s(self, shard: str) -> float:
        """Return for how long a lease has lapsed, 0 if it has not."""
        observed = self._observed.get(shard)
        if observed is None or not self._has_lapsed(observed):
            return 0.0
        return max(0.0, self._now() - observed.since_s - LEASE_S)

    def is_own_remnant(self, shard: str, daemon: str, incarnation: int) -> bool:
        """Tell whether an earlier process of this daemon holds a lease.

        Only one process of a daemon runs at a time, so the holder has ended.
        """
        observed = self._observed.get(shard)
        return (
            observed is not None
            and observed.lease.daemon == daemon
            and observed.incarnation != incarnation
        )

    def _has_lapsed(self, observed: _Observed) -> bool:
        return self.observing and observed.read_s - observed.since_s >= LEASE_S

    def _resume(self) -> None:
        if not self.observing:
            self.observing = True
            for observed in self._observed.values():
                observed.since_s = observed.read_s = self._now()

    def _take(self, item: PlatformObject) -> None:
        version = item.metadata.resource_version
        old = self._observed.get(item.metadata.name)
        if old is not None and old.version == version:
            gap_s = self._now() - old.read_s
            if gap_s > self._max_gap_s and not self._has_lapsed(old):
                old.since_s = self._now()
            old.read_s = self._now()
            return
        claim = read_claim(item)
        if claim is not None:
            self._observed[item.metadata.name] = _Observed(
                claim.lease, claim.incarnation, version, self._now(), self._now()
            )


def read_claim(item: PlatformObject) -> Claim | None:
    """Return the claim of a stored lease, None if the object is damaged."""
    spec = {**item.spec, "shard": item.metadata.name, "lapsed": False}
    try:
        lease = _LEASE.validate_python(
            {name: spec.get(name) for name in Lease.__dataclass_fields__}
        )
        return Claim(lease, int(spec["incarnation"]))
    except (ValidationError, KeyError, ValueError):
        return None

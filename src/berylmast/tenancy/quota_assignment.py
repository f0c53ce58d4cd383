"""Decides to which groups of tenants this daemon lends, and who lends to the others.

Fault: a daemon that becomes a lender while the one that it replaces is cut off from it
and goes on lending. A new lender therefore begins only after each daemon that it
replaces has confirmed a claim: that it no longer lends. A daemon that never replies may
be gone for good without a notice; after ``CLAIM_LIMIT_S`` the new lender begins without
its confirmation. What a daemon decided before it knew any other one does not count:
after a start the records of the others may arrive late.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..membership.peers import PeerAddress
from ..model import DaemonLocation
from .quota_shares import LENDER_GROUPS, choose_lenders, find_displaced

CLAIM_LIMIT_S = 30.0
"""Longest wait for confirmations, longer than most network partitions. Meanwhile the
other lender of the group lends its part."""

CLAIM_INTERVAL_S = 0.5
"""Interval at which claims that are not confirmed are sent again."""


@dataclass(slots=True)
class _Claim:
    """A claim of this daemon to a group; ``confirmed`` by these replaced daemons."""

    since_s: float
    confirmed: set[PeerAddress] = field(default_factory=set)
    accepted: bool = False


class LenderAssignment:
    """The lenders of all groups as this daemon knows them, and its own claims.

    ``lenders`` are the lenders by group, in the order of their rank.
    Times are in seconds on a clock that goes on while the process is suspended.
    """

    def __init__(self, own: DaemonLocation) -> None:
        self._own = own
        self._claims: dict[int, _Claim] = {}
        self._replaced: dict[int, frozenset[PeerAddress]] = {}
        self._knows_others = False
        self.lenders: dict[int, tuple[DaemonLocation, ...]] = {}

    def set_daemons(
        self, others: Sequence[DaemonLocation], now_s: float, *, is_announced: bool
    ) -> None:
        """Set the other daemons that are known, and choose the lenders again.

        ``is_announced`` states whether the others know this daemon by its record. If
        they don't, it is no lender.
        """
        if others and not self._knows_others:
            self._claims.clear()
        self._knows_others = bool(others)
        known = [self._own, *others] if is_announced else others
        for group in range(LENDER_GROUPS):
            self.lenders[group] = choose_lenders(group, known)
            if self._own not in self.lenders[group]:
                self._claims.pop(group, None)
                continue
            replaced = find_displaced(group, self._own, others)
            self._replaced[group] = frozenset(d.address for d in replaced)
            self._claims.setdefault(group, _Claim(now_s))

    def list_groups(self, now_s: float) -> list[int]:
        """Return the groups to which this daemon may lend.

        A claim that was accepted stays so when other daemons come and go.
        """
        for group, claim in self._claims.items():
            waited_s = now_s - claim.since_s
            if claim.confirmed >= self._replaced[group] or waited_s > CLAIM_LIMIT_S:
                claim.accepted = True
        return [group for group, claim in self._claims.items() if claim.accepted]

    def list_open_claims(self, now_s: float) -> dict[PeerAddress, list[int]]:
        """Return the groups that each of the replaced daemons is to confirm."""
        accepted = self.list_groups(now_s)
        claims: dict[PeerAddress, list[int]] = {}
        for group, claim in self._claims.items():
            if group in accepted:
                continue
            for address in sorted(self._replaced[group] - claim.confirmed):
                claims.setdefault(address, []).append(group)
        return claims

    def find_disputed(self, groups: Iterable[int]) -> tuple[int, ...]:
        """Return those of the groups of which this daemon is a lender itself."""
        return tuple(group for group in groups if group in self._claims)

    def record_confirmation(
        self, address: PeerAddress, groups: Iterable[int], disputed: Iterable[int]
    ) -> None:
        """Record the reply of a replaced daemon to a claim."""
        for group in set(groups) - set(disputed):
            if group in self._claims:
                self._claims[group].confirmed.add(address)

    def order_for_borrowing(self, group: int) -> tuple[PeerAddress, ...]:
        """Return the addresses of a group's lenders, those of this region first."""
        lenders = self.lenders.get(group, ())
        ordered = sorted(lenders, key=lambda d: d.region != self._own.region)
        return tuple(lender.address for lender in ordered)

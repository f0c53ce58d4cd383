"""Decides to which groups of tenants this daemon lends.

Fault: a daemon that becomes a lender while the one that it replaces is cut off from it
and goes on lending. A new lender therefore begins only after each daemon that it
replaces has confirmed that it no longer lends. A daemon that never replies may be gone
for good without a notice; after ``CLAIM_LIMIT_S`` the new lender begins without its
confirmation.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..membership.peers import PeerAddress
from ..model import DaemonLocation
from .quota_shares import LENDER_GROUPS, choose_lenders, find_displaced

CLAIM_LIMIT_S = 30.0
"""Longer than most cuts. Meanwhile the other lender of the group lends its part."""

CLAIM_INTERVAL_S = 0.5


@dataclass(slots=True)
class _Claim:
    since_s: float
    confirmed: set[PeerAddress] = field(default_factory=set)
    accepted: bool = False


class QuotaDuties:
    """The lenders of all groups as this daemon knows them, and its own claims.

    Times are in seconds on a clock that goes on while the process is suspended.
    """

    def __init__(self, own: DaemonLocation) -> None:
        self._own = own
        self._claims: dict[int, _Claim] = {}
        self._replaced: dict[int, frozenset[PeerAddress]] = {}
        self.lenders: dict[int, tuple[DaemonLocation, ...]] = {}

    def set_daemons(
        self, others: Sequence[DaemonLocation], now_s: float, *, is_announced: bool
    ) -> None:
        """Set the other daemons that are known.

        The others know this daemon only if it ``is_announced`` by its record.
        """
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
        """Return those groups for which this daemon takes itself for a lender."""
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

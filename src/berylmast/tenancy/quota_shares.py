"""Divides a tenant's quota between its lenders and the reserve, and chooses lenders.

Fault: a lender that is lost, restarted or cut off. Each of two lenders lends its own
fixed part of the quota, so that the loss of one leaves the other, without an agreement
between them. A small reserve is spread over all daemons and needs no loan. The lenders
are in different regions if there are several, so that each side of a cut between
regions keeps one.

Why the sum holds: the parts of the rate add up to ``rate * (1 + 0.3 * overrun) + 0.25 *
slack / window_s`` and those of the burst to ``burst * (1 + 0.3 * overrun) + 0.5 *
overrun * window_s * rate + 0.4 * slack``. A token is made in one place and spent once;
no place holds more tokens than its part of the burst. So a window of ``window_s`` sees
at most ``(rate * window_s + burst) * (1 + overrun) + slack`` requests, less a margin of
``0.2 * overrun * rate * window_s + 0.35 * slack`` for tokens in transit and for daemons
that know different numbers of daemons.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..model import DaemonLocation
from ..settings import QuotaSettings

MAX_LENDERS = 2

RESERVE_FRACTION = 0.1
"""Part of the quota that all daemons share equally and spend without a loan."""

LENDER_GROUPS = 4
"""Number of groups that all tenants are divided into; a group shares its lenders. One
exchange carries the loan requests of all tenants of a group, so the number of exchanges
does not grow with that of tenants."""

_RATE_OVERRUN = 0.3
_BURST_OVERRUN = 0.3
_WINDOW_OVERRUN = 0.5
_BURST_SLACK = 0.4
_RATE_SLACK = 0.25
"""Part of the slack that is added to the rate. The reserve of a small tenant is spread
over so many daemons that it serves nobody; this makes up for it."""

_MIN_BURST = 1.0
"""Tokens. A smaller bucket never holds enough for one request."""


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """A part of a quota: tokens per second, and the most tokens that are kept."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The parts of one tenant's quota.

    ``lender`` is the part of each lender if there are ``MAX_LENDERS``. ``reserve`` is
    the part that all daemons share.
    """

    rate_per_s: float
    lender: QuotaShare
    reserve: QuotaShare

    def get_lender_share(self, lenders: int) -> QuotaShare:
        """Return the part of each lender if there are only ``lenders`` of them."""
        factor = MAX_LENDERS / lenders
        return QuotaShare(self.lender.rate_per_s * factor, self.lender.burst * factor)

    def get_reserve_share(self, daemons: int) -> QuotaShare:
        """Return the part of the reserve that each of ``daemons`` daemons has."""
        return QuotaShare(
            self.reserve.rate_per_s / daemons, self.reserve.burst / daemons
        )


def make_terms(rate_per_s: float, burst: float, bound: QuotaSettings) -> QuotaTerms:
    """Divide a quota, using part of the bound's margins for the burst.

    Without a burst in the quota no request could run, since a bucket that is full holds
    less than one token.
    """
    overrun = bound.overrun
    rate = rate_per_s * (1 + _RATE_OVERRUN * overrun)
    rate += _RATE_SLACK * bound.slack / bound.window_s
    total_burst = (
        burst * (1 + _BURST_OVERRUN * overrun)
        + _WINDOW_OVERRUN * overrun * bound.window_s * rate_per_s
        + _BURST_SLACK * bound.slack
    )
    lent = (1 - RESERVE_FRACTION) / MAX_LENDERS
    return QuotaTerms(
        rate_per_s,
        QuotaShare(rate * lent, max(_MIN_BURST, total_burst * lent)),
        QuotaShare(rate * RESERVE_FRACTION, total_burst * RESERVE_FRACTION),
    )


def get_group(tenant: str) -> int:
    """Return the group of a tenant, equal on all daemons."""
    return int.from_bytes(_digest(tenant)[:4]) % LENDER_GROUPS


def choose_lenders(
    group: int, daemons: Iterable[DaemonLocation]
) -> tuple[DaemonLocation, ...]:
    """Choose the lenders of a group by rendezvous hash over the peer addresses.

    They are in different regions, or else in different failure domains, if there are
    several. Every daemon that knows the same daemons chooses the same lenders.
    """
    ranked = sorted(daemons, key=lambda daemon: _rank(group, daemon), reverse=True)
    by_region = {daemon.region: daemon for daemon in reversed(ranked)}
    by_domain = {daemon.failure_domain: daemon for daemon in reversed(ranked)}
    for best in (by_region, by_domain):
        if len(best) >= MAX_LENDERS:
            chosen = set(best.values())
            return tuple(d for d in ranked if d in chosen)[:MAX_LENDERS]
    return tuple(ranked[:MAX_LENDERS])


def find_displaced(
    group: int, own: DaemonLocation, others: Sequence[DaemonLocation]
) -> tuple[DaemonLocation, ...]:
    """Return the daemons that are lenders as long as they do not know this one."""
    chosen = choose_lenders(group, [own, *others])
    before = choose_lenders(group, others)
    return tuple(daemon for daemon in before if daemon not in chosen)


def _rank(group: int, daemon: DaemonLocation) -> tuple[bytes, str, int]:
    return (
        _digest(f"{group} {daemon.host} {daemon.port}"),
        daemon.host,
        daemon.port,
    )


def _digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()

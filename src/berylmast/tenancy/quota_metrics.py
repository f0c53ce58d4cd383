"""Counts and log lines of the quotas at one daemon."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

from ..membership.peers import PeerAddress
from ..telemetry import log_event
from ..telemetry.logs import EventRateLimiter

LINES_PER_S = 1.0
"""Log lines per tenant and second about refused requests."""

MAX_LOGGED_TENANTS = 100
"""Tenants with log lines of their own; the others share one limit."""


class QuotaRefusalReason(StrEnum):
    """Why a request got no token."""

    SHORT = "lenders-short"
    NO_LENDER = "no-lender"
    TIMEOUT = "lender-timeout"


def describe_refusal(
    tenant: str,
    rate_per_s: float,
    reason: QuotaRefusalReason,
    demand_per_s: float,
    loan_ages_s: Mapping[PeerAddress, float | None],
) -> str:
    """Return why a request is refused, for its caller and the log.

    ``demand_per_s`` is the rate of requests at this daemon, ``loan_ages_s`` the age of
    the last loan of each lender.
    """
    loans = ", ".join(
        f"{host}:{port} {'never' if age is None else f'{age:.2f} s ago'}"
        for (host, port), age in loan_ages_s.items()
    )
    return (
        f"tenant {tenant} is over its quota of {rate_per_s:g}/s ({reason};"
        f" {demand_per_s:.1f}/s arrive here; last loans: {loans or 'none'})"
    )


class QuotaCounts:
    """Counts since the start of the daemon.

    ``charged`` and ``given_back`` count requests of callers. ``exchanges_opened``
    counts the ``Borrow`` frames sent to other daemons, ``exchanges_served`` those
    received from them.
    """

    def __init__(self) -> None:
        self.charged = 0
        self.given_back = 0
        self.exchanges_opened = 0
        self.exchanges_served = 0
        self.refused: Counter[QuotaRefusalReason] = Counter()
        self._logged: set[str] = set()
        self._limiter = EventRateLimiter(LINES_PER_S)

    @property
    def is_used(self) -> bool:
        """Return whether any request was charged or any loan exchanged."""
        return bool(
            self.charged
            or self.refused
            or self.exchanges_opened
            or self.exchanges_served
        )

    def record_refusal(
        self, tenant: str, reason: QuotaRefusalReason, detail: str
    ) -> None:
        """Count a refused request and log it, at a limited rate."""
        self.refused[reason] += 1
        if len(self._logged) < MAX_LOGGED_TENANTS:
            self._logged.add(tenant)
        key = tenant if tenant in self._logged else ""
        self._limiter.write(
            key, "quota_refused", tenant=tenant, reason=reason, detail=detail
        )

    def log_lending(self, group: int, *, lending: bool) -> None:
        """Log that this daemon begins or ends to lend to a group of tenants."""
        log_event("quota_lending", group=group, lending=lending)

"""Counts and log lines of the quotas at one daemon."""

from collections import Counter
from enum import StrEnum

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


class QuotaCounts:
    """Counts since the start of the daemon."""

    def __init__(self) -> None:
        self.charged = 0
        self.given_back = 0
        self.questions = 0
        self.served = 0
        self.refused: Counter[QuotaRefusalReason] = Counter()
        self._logged: set[str] = set()
        self._limiter = EventRateLimiter(LINES_PER_S)

    @property
    def is_used(self) -> bool:
        """Return whether any request was charged or any question asked or served."""
        return bool(self.charged or self.refused or self.questions or self.served)

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

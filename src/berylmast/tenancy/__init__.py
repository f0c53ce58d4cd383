"""Keys and quotas of tenants at the entry."""

from .quota_metrics import QuotaRefusalReason
from .quotas import QuotaFleet, Quotas, make_boot_clock

__all__ = ["QuotaFleet", "QuotaRefusalReason", "Quotas", "make_boot_clock"]
